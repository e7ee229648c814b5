"""Stand-in endpoint that checks fencing tokens and records every action of a lease holder."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from .checker import Action
from .listener import Listener


class FencedResource(Listener):
    """Performs each action in `action_seconds`; also serves health checks and v2 inference requests.

    With `fenced`, an action with a stale token (lower than the highest seen) is rejected with 412, and one
    with a new token starts after those with older tokens have ended. Otherwise every action is performed at
    once and only recorded."""

    def __init__(self, name: str, action_seconds: float, fenced: bool) -> None:
        self.name, self.action_seconds, self.fenced = name, action_seconds, fenced
        self.highest_token = self.rejected_actions = 0
        self.actions: list[Action] = []
        # Time and proxy name (`X-Through`) of each inference request.
        self.received_requests: list[tuple[float, str]] = []
        self.failing = False
        self.in_flight: dict[int, int] = {}  # number of running actions by token
        self.state_changed = asyncio.Condition()

    async def __aenter__(self) -> FencedResource:
        await self.start_listening(self.serve)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop_listening()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve a request. An action runs to its end even if its caller disconnects."""
        if request.method == "POST":
            return await self.infer(request)
        if "X-Fencing-Token" not in request.headers:
            return web.Response()
        token, holder = int(request.headers["X-Fencing-Token"]), request.headers["X-Holder"]
        return web.Response(
            status=await asyncio.shield(asyncio.create_task(self.perform_action(token, holder)))
        )

    async def infer(self, request: web.BaseRequest) -> web.Response:
        """Answer an inference request as a v2 server does, or with status 500 while `failing` is set."""
        await request.read()
        self.received_requests.append((time.monotonic(), request.headers.get("X-Through", "")))
        await asyncio.sleep(self.action_seconds)
        if self.failing:
            return web.Response(status=500)
        return web.json_response({"model_name": "m", "outputs": []})

    async def perform_action(self, token: int, holder: str) -> int:
        """Perform an action and return its HTTP status."""
        async with self.state_changed:
            if self.fenced:
                if token < self.highest_token:
                    self.rejected_actions += 1
                    return 412
                self.highest_token = token
                await self.state_changed.wait_for(
                    lambda: not any(other_token < token for other_token in self.in_flight)
                )
                if token < self.highest_token:
                    self.rejected_actions += 1
                    return 412
            self.in_flight[token] = self.in_flight.get(token, 0) + 1
        started_at = time.monotonic()
        await asyncio.sleep(self.action_seconds)
        self.actions.append(Action(self.name, holder, token, started_at, time.monotonic()))
        async with self.state_changed:
            self.in_flight[token] -= 1
            if not self.in_flight[token]:
                del self.in_flight[token]
            self.state_changed.notify_all()
        return 200
