"""The log: one JSON line an event, on standard error."""

from __future__ import annotations

import logging
import os
from datetime import UTC, datetime

import orjson


def say(event: str, **facts: object) -> None:
    """Write a line; the page docs/on-call.md tells what each event means."""
    line = {"at": datetime.now(UTC), "event": event, **facts}
    os.write(2, orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))


class Lines(logging.Handler):
    """Writes what the libraries log as lines of the same kind."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info and repr(record.exc_info[1])
        say("library", logger=record.name, level=record.levelname, text=record.getMessage(), error=error)
