"""Signals: SIGTERM and SIGINT ask for the end, SIGHUP for the configuration anew.

Both are heeded from the process's first moment to its last. SIGHUP's default ends a process, and one that
comes while we start may tell of a file that is newer than the one we have read; SIGTERM's default ends it
out of order, which looks like a crash."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable

noted: list[int] = []  # those that came before we can act on them


def note() -> None:
    """Keep in mind each SIGHUP that comes from now on; at a SIGTERM end, as nothing was begun."""
    signal.signal(signal.SIGHUP, lambda number, frame: noted.append(number))
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))


def ignore_reload() -> None:
    """Let SIGHUP do nothing any more, as we are done."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def heed_end(stop: Callable[[], None]) -> None:
    """Call back on the event loop when a signal asks for the end."""
    import asyncio  # only here: it takes its time, which `note` must not wait for

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)


def heed_reload(reload: Callable[[], None]) -> None:
    """Call back on the event loop when SIGHUP comes, and for one that was noted."""
    import asyncio

    loop = asyncio.get_running_loop()
    # Guards against the loop's own handler, which falls back to the default when the loop closes.
    signal.signal(signal.SIGHUP, lambda number, frame: loop.call_soon_threadsafe(reload))
    if noted:
        noted.clear()
        loop.call_soon(reload)
