"""Writes log events to standard error, one JSON object per line."""

from __future__ import annotations

import logging
import os
import select
import time
from datetime import UTC, datetime, timedelta

import orjson

STDERR_FILENO = 2
PIPE_BUF = 4096  # bytes that a pipe accepts in one write without blocking when poll reports it writable
MAX_PENDING_BYTES = 64 * 1024  # unwritten remainder of a partly written line


class Output:
    """Writes whole lines to standard error without raising, and without blocking when it is a full pipe.

    Lines that cannot be written are dropped and counted; the next call of `write_event` reports the count and
    resets it. A partly written line is completed before the next one starts, unless more than
    MAX_PENDING_BYTES of it remain: then the rest is dropped."""

    def __init__(self, descriptor: int = STDERR_FILENO) -> None:
        self.descriptor = descriptor
        self.pending = b""  # remainder of a partly written line
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line after the remainder of the previous one, or drop it."""
        if not self.flush():
            self.dropped += 1
            return
        self.pending = line
        started = self.flush() or len(self.pending) < len(line)
        if not started or len(self.pending) > MAX_PENDING_BYTES:
            self.pending = b""
            self.dropped += 1

    def flush(self) -> bool:
        """Write the pending bytes as far as possible; return whether none are left."""
        try:
            while self.pending and self.is_writable():
                self.pending = self.pending[os.write(self.descriptor, self.pending[:PIPE_BUF]) :]
        except OSError:
            return False
        return not self.pending

    def is_writable(self) -> bool:
        """Return whether a write would neither block nor fail."""
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return any(mask & select.POLLOUT for _, mask in poll.poll(0))

    def reset_dropped_count(self) -> int:
        """Set the count of dropped lines to 0 and return its last value."""
        dropped, self.dropped = self.dropped, 0
        return dropped


output = Output()


def write_event(event: str, **fields: object) -> None:
    """Write one log line. Never raises. docs/on-call.md describes the events."""
    line = {"at": datetime.now(UTC), "event": event, **fields}
    if output.dropped:
        line["lines_dropped"] = output.reset_dropped_count()
    try:
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS)
    except (TypeError, ValueError) as error:
        fallback = {"event": event, "unwritable": str(error)[:200]}
        data = orjson.dumps(fallback, option=orjson.OPT_APPEND_NEWLINE)
    output.write(data)


RATE_LIMIT_INTERVAL = timedelta(seconds=1)
last_written: dict[str, tuple[float, int]] = {}  # by event: time of the last line, lines suppressed since


def write_event_limited(event: str, **fields: object) -> None:
    """Write at most one line per second for each event; `more` is the number of lines suppressed before it.

    Without the limit a burst of errors would fill the log and use up the process's single core."""
    written_at, suppressed = last_written.get(event, (float("-inf"), 0))
    if time.monotonic() - written_at < RATE_LIMIT_INTERVAL.total_seconds():
        last_written[event] = written_at, suppressed + 1
        return
    last_written[event] = time.monotonic(), 0
    write_event(event, **fields, **({"more": suppressed} if suppressed else {}))


class LibraryHandler(logging.Handler):
    """Writes the log records of third-party libraries in the same format."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info and repr(record.exc_info[1])
        write_event(
            "library", logger=record.name, level=record.levelname, text=record.getMessage(), error=error
        )
