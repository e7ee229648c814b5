"""Starts one conductor: `python -m hoplane`, or with a file of ours for the v2 front."""

import sys

from hoplane.net import signals


def start() -> int:
    """Heed signals, and only then load what takes half of a start: their defaults would end the process."""
    signals.install_early_handlers()
    from hoplane.conductor import main

    return main(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(start())
