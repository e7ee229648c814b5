"""Signal handling: SIGTERM and SIGINT shut down, SIGHUP reloads the configuration.

Handlers are installed from the process's first moment to its last. The default action of SIGHUP ends the
process, and one that arrives during startup may announce a file that is newer than the one already read. The
default action of SIGTERM would look like a crash.
"""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable

pending_reloads: list[int] = []  # received before the event loop can handle them


def install_early_handlers() -> None:
    """Record SIGHUPs from now on; exit at once on SIGTERM, as no work has begun."""
    signal.signal(signal.SIGHUP, lambda number, frame: pending_reloads.append(number))
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))


def ignore_reload() -> None:
    """Ignore SIGHUP during the last part of the shutdown."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def on_shutdown_signal(stop: Callable[[], None]) -> None:
    """Call `stop` on the event loop when SIGTERM or SIGINT arrives."""
    import asyncio  # slow to import, which must not delay the early handlers

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)


def on_reload_signal(reload: Callable[[], None]) -> None:
    """Call `reload` on the event loop when SIGHUP arrives, and once for any recorded earlier."""
    import asyncio

    loop = asyncio.get_running_loop()
    # The loop's own handler would restore the default action when the loop closes.
    signal.signal(signal.SIGHUP, lambda number, frame: loop.call_soon_threadsafe(reload))
    if pending_reloads:
        pending_reloads.clear()
        loop.call_soon(reload)
