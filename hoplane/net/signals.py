"""Signals: SIGTERM and SIGINT ask for the end, SIGHUP for the configuration anew."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def ignore_reload() -> None:
    """Guard against SIGHUP before we serve or when we are done: its default ends the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def heed(stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call back on the event loop when a signal comes."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    # Guards against the loop's own handler, which falls back to the default when the loop closes.
    signal.signal(signal.SIGHUP, lambda number, frame: loop.call_soon_threadsafe(reload))
