"""Starts one conductor: `python -m hoplane [FILE]`.

FILE is the configuration of the v2 front; without it the platform's configuration is read."""

import sys

from hoplane.net import signals


def start() -> int:
    """Install signal handlers before the slow imports: the default actions would end the process."""
    signals.install_early_handlers()
    from hoplane.conductor import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(start())
