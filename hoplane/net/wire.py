"""What a front has to offer: the runtime knows endpoints and clients through these alone."""

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
    """A request on its way to an endpoint."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Verdict:
    """What an answer's head tells: a stream to pass on (status None), or how the attempt ended."""

    status: Status | None
    note: int = 0
    load: dict[str, float] = field(default_factory=dict)


class Sink(Protocol):
    """Where an answer goes."""

    whole: bool  # the answer is one event: it counts from its last byte on
    done: asyncio.Future  # set with the final answer

    def sound(self, data: bytes) -> bool: ...

    def begin(self) -> None: ...

    def take(self, data: bytes) -> bytes: ...

    def rest(self, framed: bool) -> bytes: ...

    async def start(self) -> None: ...

    async def write(self, data: bytes) -> None: ...

    async def finish(self) -> None: ...

    def abort(self) -> None: ...


class Exchange(Protocol):
    """A client's request, as its front holds it."""

    asked: RequestReceived
    sink: Sink

    @property
    def gone(self) -> bool: ...  # whether the client has left, also where the loop has not come to see it yet

    def call(self, forward: Forward) -> Call: ...

    def told(self, left: timedelta) -> Mapping[str, str]: ...  # headers of an attempt that goes now

    def read_head(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict: ...

    def read_tail(self, tail: bytes) -> tuple[int, dict[str, float]]: ...

    def refuse(self, pause: timedelta | None) -> None: ...

    def fail(self, clash: bool) -> None: ...
