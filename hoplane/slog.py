"""Structured log lines on structlog, in the form of `log.py`: one JSON line an event, on standard error."""

from __future__ import annotations

import orjson
import structlog

from hoplane import log


class Lines:
    """What structlog writes its lines to; see `log.Output`."""

    def write(self, data: bytes) -> None:
        log.output.write(data)

    def flush(self) -> None:
        log.output.flush()


def rename(_: object, __: str, line: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Put the time and the event first, as the other lines have them."""
    return {"at": line.pop("at"), "event": line.pop("event"), **line}


def logger(**facts: object) -> structlog.typing.FilteringBoundLogger:
    """Give a logger whose lines all carry these facts."""
    return structlog.wrap_logger(
        structlog.BytesLogger(Lines()),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.ExceptionRenderer(),
            rename,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: orjson.dumps(line, default=str)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(0),
        **facts,
    )
