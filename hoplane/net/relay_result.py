"""How passing a response on ended, and the log line of a malformed one."""

from __future__ import annotations

from dataclasses import dataclass

from hoplane import log
from hoplane.core import events as ev
from hoplane.decision.interface import Status


def log_malformed(effect: ev.Forward, error: Exception) -> Status:
    """Log a malformed response: the endpoint is up, and the request may have run."""
    log.write_event_limited(
        "answer_spoilt", endpoint=effect.endpoint.name, request=effect.id, error=str(error)[:200]
    )
    return Status.ERROR


@dataclass(slots=True, frozen=True)
class RelayResult:
    """How passing a response on ended; `tail` is the end of its data, which contains the load report."""

    status: Status
    tail: bytes = b""
