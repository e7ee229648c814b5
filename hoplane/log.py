"""The log: one JSON line an event, on standard error."""

from __future__ import annotations

import logging
import os
import select
import time
from datetime import UTC, datetime, timedelta

import orjson

STANDARD_ERROR = 2
PIPE_BUF = 4096  # bytes that a pipe takes at once where poll says that it takes any
PENDING_MOST = 64 * 1024  # bytes of a line that may wait for its rest to be written


class Output:
    """Writes whole lines to standard error and never raises, nor waits for whoever reads them.

    A line that cannot be written is dropped and counted; the next one that can tells how many there were. A
    line of which a part went out is finished before another begins."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.descriptor = descriptor
        self.rest = b""  # of a line whose first part was written
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, with what is left of the one before it."""
        if not self.flush():
            self.dropped += 1
            return
        self.rest = line
        begun = self.flush() or len(self.rest) < len(line)
        if not begun or len(self.rest) > PENDING_MOST:
            self.rest = b""
            self.dropped += 1

    def flush(self) -> bool:
        """Write what waits; tell whether all of it went."""
        try:
            while self.rest and self.takes_more():
                self.rest = self.rest[os.write(self.descriptor, self.rest[:PIPE_BUF]) :]
        except OSError:
            return False
        return not self.rest

    def takes_more(self) -> bool:
        """Tell whether a write would neither wait nor be pointless."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return any(mask & select.POLLOUT for _, mask in poll.poll(0))

    def take_dropped(self) -> int:
        """Give how many lines were dropped since this was asked last."""
        dropped, self.dropped = self.dropped, 0
        return dropped


output = Output()


def write_event(event: str, **facts: object) -> None:
    """Write a line; the page docs/on-call.md tells what each event means. Never raises."""
    line = {"at": datetime.now(UTC), "event": event, **facts}
    if output.dropped:
        line["lines_dropped"] = output.take_dropped()
    try:
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS)
    except (TypeError, ValueError) as error:
        told = {"event": event, "unwritable": str(error)[:200]}
        data = orjson.dumps(told, option=orjson.OPT_APPEND_NEWLINE)
    output.write(data)


EVERY = timedelta(seconds=1)
lately: dict[str, tuple[float, int]] = {}  # by event: when it was said last, and how many came since


def write_event_limited(event: str, **facts: object) -> None:
    """Write a line at most once a second; `more` tells how many others of its kind went unsaid before it.

    Guards against floods that would fill the log, and keep the one core at work with it."""
    said, more = lately.get(event, (float("-inf"), 0))
    if time.monotonic() - said < EVERY.total_seconds():
        lately[event] = said, more + 1
        return
    lately[event] = time.monotonic(), 0
    write_event(event, **facts, **({"more": more} if more else {}))


class Lines(logging.Handler):
    """Writes what the libraries log as lines of the same kind."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info and repr(record.exc_info[1])
        write_event(
            "library", logger=record.name, level=record.levelname, text=record.getMessage(), error=error
        )
