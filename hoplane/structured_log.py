"""Bound loggers on structlog that write lines in the format of `log.py`."""

from __future__ import annotations

import orjson
import structlog

from hoplane import log


class OutputFile:
    """File-like adapter through which structlog writes to `log.output`."""

    def write(self, data: bytes) -> None:
        log.output.write(data)

    def flush(self) -> None:
        log.output.flush()


def order_keys(_: object, __: str, line: structlog.typing.EventDict) -> structlog.typing.EventDict:
    """Put the time and the event first, in the key order of `log.write_event`."""
    return {"at": line.pop("at"), "event": line.pop("event"), **line}


def make_logger(**fields: object) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds the given fields to each of its lines."""
    return structlog.wrap_logger(
        structlog.BytesLogger(OutputFile()),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="at"),
            structlog.processors.ExceptionRenderer(),
            order_keys,
            structlog.processors.JSONRenderer(serializer=lambda line, **_: orjson.dumps(line, default=str)),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(0),
        **fields,
    )
