"""Interface through which the runtime knows the fronts, and so the protocols of clients and endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from hoplane.core.events import Forward, RequestReceived
from hoplane.decision.interface import Status


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
    """Destination of a response."""

    buffered: bool  # the response is passed on as one event, once its last byte is there
    done: asyncio.Future  # set with the final response

    def is_complete(self, data: bytes) -> bool: ...

    def reset(self) -> None: ...

    def push(self, data: bytes) -> bytes: ...

    def flush(self, has_framing: bool) -> bytes: ...

    async def start(self) -> None: ...

    async def write(self, data: bytes) -> None: ...

    async def finish(self) -> None: ...

    def abort(self) -> None: ...


class Exchange(Protocol):
    """A client's request, as held by its front."""

    received: RequestReceived
    sink: Sink

    @property
    def disconnected(self) -> bool: ...  # also if the event loop has not processed it yet

    def call(self, forward: Forward) -> Call: ...

    def time_headers(self, remaining: timedelta) -> Mapping[str, str]: ...  # of an attempt that is sent now

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> HeadOutcome: ...

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]: ...

    def refuse(self, retry_after: timedelta | None) -> None: ...

    def fail(self, duplicate: bool) -> None: ...
