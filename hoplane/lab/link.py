"""A link between two processes on loopback that drops, delays, doubles, reorders or cuts messages on command.

It passes HTTP calls on, each a message each way. Faults (`schedule.LINK`): `request_ms` and `reply_ms`
delay each message by a draw from a range, so that messages overtake each other; `drop_requests` and
`drop_replies` lose that share of them one way, with no sign; `duplicate` passes that share of requests on
twice, the second after another draw; `cut` loses all of both ways and what is on its way. A lost message
leaves its caller waiting."""

from __future__ import annotations

import asyncio
import random

import aiohttp
from aiohttp import web

from .listener import Listener
from .schedule import HEALED

LOST = 60.0  # seconds after which the caller of a lost message is let go


def broken(request: web.BaseRequest) -> web.Response:
    """Break the caller's connection, and give what the server then writes in vain."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


class Link(Listener):
    """A listener that stands for the server at `target` (HOST:PORT)."""

    def __init__(self, target: str, seed: int = 1, name: str = "") -> None:
        self.name = name  # told to the server in `X-Through`, so that it can tell its callers apart
        self.target, self.rng = target, random.Random(seed)
        self.faults = dict(HEALED)
        self.cut = asyncio.Event()
        self.beside: set[asyncio.Task] = set()

    async def __aenter__(self) -> Link:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True, limit=0))
        await self.listen(self.serve)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.beside:
            task.cancel()
        await self.unlisten()
        await self.session.close()

    def apply(self, faults: dict) -> None:
        """Put faults in force; those not named are healed. A cut also loses what is on its way."""
        self.faults = {**HEALED, **faults}
        if self.faults["cut"]:
            self.cut.set()
            self.cut = asyncio.Event()

    def drawn(self, name: str) -> float:
        least, most = self.faults[name]
        return self.rng.uniform(least, most) / 1000

    def loses(self, name: str) -> bool:
        return self.faults["cut"] or self.rng.random() < self.faults[name]

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Pass a call on, unless a cut or a loss takes it."""
        body, cut = await request.read(), self.cut
        passing = asyncio.create_task(self.passes(request, body))
        cutting = asyncio.create_task(cut.wait())
        try:
            await asyncio.wait({passing, cutting}, return_when=asyncio.FIRST_COMPLETED)
            if passing.done() and (response := passing.result()) is not None:
                return response
            await asyncio.sleep(LOST)
            return broken(request)
        finally:
            passing.cancel()
            cutting.cancel()

    async def passes(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
        """Pass a call and its answer on, each with its delay; None where either is lost."""
        await asyncio.sleep(self.drawn("request_ms"))
        if self.loses("drop_requests"):
            return None
        if self.rng.random() < self.faults["duplicate"]:
            task = asyncio.create_task(self.again(request, body, self.drawn("request_ms")))
            self.beside.add(task)
            task.add_done_callback(self.beside.discard)
        try:
            async with self.call(request, body) as answer:
                if answer.headers.get("Transfer-Encoding") == "chunked":
                    return await self.stream(request, answer)
                read = await answer.read()
        except (aiohttp.ClientError, OSError, RuntimeError):  # the last: our own session is closed at the end
            return broken(request)
        await asyncio.sleep(self.drawn("reply_ms"))
        if self.loses("drop_replies"):
            return None
        return web.Response(status=answer.status, body=read, content_type=answer.content_type)

    async def stream(
        self, request: web.BaseRequest, answer: aiohttp.ClientResponse
    ) -> web.StreamResponse | None:
        """Pass a stream on as it comes; a lost part loses all that follows."""
        response = web.StreamResponse(status=answer.status)
        await response.prepare(request)
        async for part in answer.content.iter_any():
            await asyncio.sleep(self.drawn("reply_ms"))
            if self.loses("drop_replies"):
                return None
            await response.write(part)
        return response

    async def again(self, request: web.BaseRequest, body: bytes, after: float) -> None:
        """Pass a request on once more; nobody reads its answer."""
        await asyncio.sleep(after)
        try:
            async with self.call(request, body) as answer:
                await answer.read()
        except (aiohttp.ClientError, OSError):
            return

    def call(self, request: web.BaseRequest, body: bytes):
        headers = {k: v for k, v in request.headers.items() if k.lower() not in ("host", "content-length")}
        if self.name:
            headers["X-Through"] = self.name
        url = f"http://{self.target}{request.path_qs}"
        return self.session.request(request.method, url, data=body or None, headers=headers)
