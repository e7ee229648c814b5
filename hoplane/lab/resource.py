"""A stand-in endpoint for fleet-wide tasks: it compares fencing tokens and writes down every act."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from .checker import Action
from .listener import Listener


class Resource(Listener):
    """Answers each act after `takes` seconds; a v2 server's sign of life else.

    `fenced`: an act under a token lower than the highest seen is answered 412, and one under a new token
    begins once those under older ones have ended. Without, every act is done as it comes, and only written
    down."""

    def __init__(self, name: str, takes: float, fenced: bool) -> None:
        self.name, self.takes, self.fenced = name, takes, fenced
        self.highest = self.refused = 0
        self.acts: list[Action] = []
        self.sends: list[tuple[float, str]] = []  # requests, by time and whom they came through
        self.failing = False
        self.under: dict[int, int] = {}  # acts under way, by token
        self.changed = asyncio.Condition()

    async def __aenter__(self) -> Resource:
        await self.listen(self.serve)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.unlisten()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Do an act, whether or not its caller waits for its end."""
        if request.method == "POST":
            return await self.infer(request)
        if "X-Fencing-Token" not in request.headers:
            return web.Response()
        token, holder = int(request.headers["X-Fencing-Token"]), request.headers["X-Holder"]
        return web.Response(status=await asyncio.shield(asyncio.create_task(self.act(token, holder))))

    async def infer(self, request: web.BaseRequest) -> web.Response:
        """Answer a request as a v2 server does, or with an error while it is failing."""
        await request.read()
        self.sends.append((time.monotonic(), request.headers.get("X-Through", "")))
        await asyncio.sleep(self.takes)
        if self.failing:
            return web.Response(status=500)
        return web.json_response({"model_name": "m", "outputs": []})

    async def act(self, token: int, holder: str) -> int:
        """Do an act and give its status."""
        async with self.changed:
            if self.fenced:
                if token < self.highest:
                    self.refused += 1
                    return 412
                self.highest = token
                await self.changed.wait_for(lambda: not any(other < token for other in self.under))
                if token < self.highest:
                    self.refused += 1
                    return 412
            self.under[token] = self.under.get(token, 0) + 1
        begun = time.monotonic()
        await asyncio.sleep(self.takes)
        self.acts.append(Action(self.name, holder, token, begun, time.monotonic()))
        async with self.changed:
            self.under[token] -= 1
            if not self.under[token]:
                del self.under[token]
            self.changed.notify_all()
        return 200
