"""Signals: SIGTERM and SIGINT ask for the end, SIGHUP for the configuration anew.

SIGHUP is heeded from the process's first moment to its last: its default ends a process, and one that comes
while we start may tell of a file that is newer than the one we have read."""

from __future__ import annotations

import signal
from collections.abc import Callable

noted: list[int] = []  # those that came before we can act on them


def note_reload() -> None:
    """Keep in mind each SIGHUP that comes from now on."""
    signal.signal(signal.SIGHUP, lambda number, frame: noted.append(number))


def ignore_reload() -> None:
    """Let SIGHUP do nothing any more, as we are done."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def heed(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call back on the event loop when a signal comes, and for a SIGHUP that was noted."""
    import asyncio  # only here: it takes its time, which `note_reload` must not wait for

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    # Guards against the loop's own handler, which falls back to the default when the loop closes.
    signal.signal(signal.SIGHUP, lambda number, frame: loop.call_soon_threadsafe(reload))
    if noted:
        noted.clear()
        loop.call_soon(reload)
