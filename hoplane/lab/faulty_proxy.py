"""HTTP proxy on loopback that drops, delays, duplicates or reorders messages, or cuts the connection.

Request and reply of a call are separate messages. Faults (`schedule.DEFAULT_PROXY_FAULTS`): `request_ms`
and `reply_ms` delay each message by a random time from a range, so that messages are reordered;
`drop_requests` and `drop_replies` silently drop that share of messages in one direction; `duplicate` forwards
that share of requests twice, the second time after another random delay; `cut` drops all messages in both
directions, including those in flight. The caller of a dropped message gets no reply."""

from __future__ import annotations

import asyncio
import random

import aiohttp
from aiohttp import web

from .listener import Listener
from .schedule import NO_FAULTS

LOST_MESSAGE_TIMEOUT = 60.0  # seconds until the connection of a dropped message is aborted


def abort_connection(request: web.BaseRequest) -> web.Response:
    """Abort the caller's connection. The returned response is required by aiohttp and is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


class FaultyProxy(Listener):
    """A proxy to the server at `target` (HOST:PORT)."""

    def __init__(self, target: str, seed: int = 1, name: str = "") -> None:
        self.name = name  # sent to the server in `X-Through`, to identify the caller
        self.target, self.rng = target, random.Random(seed)
        self.faults = dict(NO_FAULTS)
        self.cut_event = asyncio.Event()
        self.duplicate_tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> FaultyProxy:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True, limit=0))
        await self.start_listening(self.serve)
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.duplicate_tasks:
            task.cancel()
        await self.stop_listening()
        await self.session.close()

    def apply_faults(self, faults: dict) -> None:
        """Set faults; those not named are cleared. A cut also drops messages in flight."""
        self.faults = {**NO_FAULTS, **faults}
        if self.faults["cut"]:
            self.cut_event.set()
            self.cut_event = asyncio.Event()

    def draw_delay(self, name: str) -> float:
        minimum, maximum = self.faults[name]
        return self.rng.uniform(minimum, maximum) / 1000

    def is_lost(self, name: str) -> bool:
        return self.faults["cut"] or self.rng.random() < self.faults[name]

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Forward a call, unless it is dropped or cut off."""
        body, cut_event = await request.read(), self.cut_event
        forwarding = asyncio.create_task(self.forward(request, body))
        waiting_for_cut = asyncio.create_task(cut_event.wait())
        try:
            await asyncio.wait({forwarding, waiting_for_cut}, return_when=asyncio.FIRST_COMPLETED)
            if forwarding.done() and (response := forwarding.result()) is not None:
                return response
            await asyncio.sleep(LOST_MESSAGE_TIMEOUT)
            return abort_connection(request)
        finally:
            forwarding.cancel()
            waiting_for_cut.cancel()

    async def forward(self, request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
        """Forward a call and its reply, each with its delay. Returns None if either is dropped."""
        await asyncio.sleep(self.draw_delay("request_ms"))
        if self.is_lost("drop_requests"):
            return None
        if self.rng.random() < self.faults["duplicate"]:
            task = asyncio.create_task(self.forward_duplicate(request, body, self.draw_delay("request_ms")))
            self.duplicate_tasks.add(task)
            task.add_done_callback(self.duplicate_tasks.discard)
        try:
            async with self.send(request, body) as reply:
                if reply.headers.get("Transfer-Encoding") == "chunked":
                    return await self.forward_stream(request, reply)
                reply_body = await reply.read()
        except (aiohttp.ClientError, OSError, RuntimeError):
            # RuntimeError: the session of this proxy was closed at shutdown.
            return abort_connection(request)
        await asyncio.sleep(self.draw_delay("reply_ms"))
        if self.is_lost("drop_replies"):
            return None
        return web.Response(status=reply.status, body=reply_body, content_type=reply.content_type)

    async def forward_stream(
        self, request: web.BaseRequest, reply: aiohttp.ClientResponse
    ) -> web.StreamResponse | None:
        """Forward a streamed reply by chunks. Everything after a dropped chunk is dropped too."""
        response = web.StreamResponse(status=reply.status)
        await response.prepare(request)
        async for chunk in reply.content.iter_any():
            await asyncio.sleep(self.draw_delay("reply_ms"))
            if self.is_lost("drop_replies"):
                return None
            await response.write(chunk)
        return response

    async def forward_duplicate(self, request: web.BaseRequest, body: bytes, delay: float) -> None:
        """Forward a duplicate of a request, and discard the reply."""
        await asyncio.sleep(delay)
        try:
            async with self.send(request, body) as reply:
                await reply.read()
        except (aiohttp.ClientError, OSError):
            return

    def send(self, request: web.BaseRequest, body: bytes):
        headers = {k: v for k, v in request.headers.items() if k.lower() not in ("host", "content-length")}
        if self.name:
            headers["X-Through"] = self.name
        url = f"http://{self.target}{request.path_qs}"
        return self.session.request(request.method, url, data=body or None, headers=headers)
