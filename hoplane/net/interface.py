"""Interface through which the runtime knows the fronts, and so the protocols of clients and endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from hoplane.core.events import Forward, RequestReceived
from hoplane.decision.interface import Status
from hoplane.net.memory_budget import MemoryLease


@dataclass(slots=True, frozen=True)
class Call:
    """An HTTP request to an endpoint."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class HeadOutcome:
    """What a response's head means: a stream follows (status None), or how the attempt ended."""

    status: Status | None
    detail: int = 0
    load: dict[str, float] = field(default_factory=dict)


class Sink(Protocol):
    """Destination of a response, implemented by each front for its protocol.

    A buffered response uses `is_complete`, `hold_memory`, `start`, `write` and `finish` only.
    """

    buffered: bool  # the response is passed on as one event, once its last byte has arrived
    done: asyncio.Future  # set with the final response

    def is_complete(self, data: bytes, framed: bool) -> bool:
        """Return whether a buffered response was received to its end.

        `framed`: HTTP shows where it ends; otherwise it ends with its connection, which may have broken.
        """
        ...

    def hold_memory(self, lease: MemoryLease) -> None:
        """Keep the memory of a buffered response until it is sent or its client has left."""
        ...

    def reset(self) -> None:
        """Discard the data of an earlier attempt before the stream of a new one."""
        ...

    @property
    def event_count(self) -> int:
        """Complete events of the attempt's stream so far; comments and empty lines are none."""
        ...

    @property
    def partial_bytes(self) -> int:
        """The bytes of the stream that are kept, as they belong to an incomplete event."""
        ...

    @property
    def is_advancing(self) -> bool:
        """Whether all that came since the last event belongs to the next one, or to the stream's end."""
        ...

    @property
    def final_event_seen(self) -> bool:
        """Whether the event that ends a whole stream has come."""
        ...

    def push(self, data: bytes) -> bytes:
        """Take received bytes; return the complete events that may be sent now, or nothing."""
        ...

    def flush(self, has_framing: bool) -> bytes:
        """Return the rest at the stream's end; raise if it is truncated or malformed."""
        ...

    async def start(self) -> None:
        """Send the response's head to the client."""
        ...

    async def write(self, data: bytes) -> None:
        """Send data of the response to the client."""
        ...

    async def finish(self) -> None:
        """End the response regularly and set `done`."""
        ...

    def abort(self) -> None:
        """End a response that cannot be completed, so that the client sees the failure."""
        ...


class Exchange(Protocol):
    """A client's request and its response, implemented by each front for its protocol."""

    received: RequestReceived
    sink: Sink

    @property
    def disconnected(self) -> bool:
        """Whether the client has disconnected, also if the event loop has not processed it yet."""
        ...

    def call(self, forward: Forward) -> Call:
        """Return the HTTP request of an attempt, without its time headers."""
        ...

    def time_headers(self, remaining: timedelta) -> Mapping[str, str]:
        """Return the headers with the time left, for an attempt that is sent now."""
        ...

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome:
        """Interpret a response's head; `body` is empty until a response that is not a stream is read."""
        ...

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]:
        """Return the number of cached tokens and the load report from a stream's last bytes."""
        ...

    def refuse(self, retry_after: timedelta | None) -> None:
        """Give the final answer: refused, with the retry advice if there is one."""
        ...

    def fail(self, duplicate: bool) -> None:
        """Give the final answer: failed; `duplicate` means that the id is in use or may have run."""
        ...
