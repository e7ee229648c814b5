"""Health checks of all listed endpoints, run by the lease holder for the whole fleet.

Without these checks, each conductor separately probes the endpoints that do not respond to it. Each request
carries the fencing token in `X-Fencing-Token`. An endpoint that has seen a higher token responds with 412,
and the checker ends the round."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import aiohttp

from hoplane import structured_log
from hoplane.net.response_body import MAX_SHORT_RESPONSE_BYTES, read_body

from .elector import LeaderElector

STATUS_STALE_TOKEN = 412


class HealthChecker:
    """Checks the endpoints periodically while the lease is held."""

    def __init__(
        self,
        elector: LeaderElector,
        interval: timedelta,
        path: str,
        list_endpoints: Callable[[], list[tuple[str, str]]],
    ) -> None:
        self.elector, self.interval, self.path, self.list_endpoints = elector, interval, path, list_endpoints
        self.last_states: dict[str, str] = {}
        self.log = structured_log.make_logger(name=elector.name)

    async def run(self) -> None:
        """Run rounds of checks until cancelled; pauses while another conductor holds the lease."""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True)) as session:
            while True:
                await self.elector.leading.wait()
                for name, address in self.list_endpoints():
                    if not await self.check(session, name, address):
                        break
                await asyncio.sleep(self.interval.total_seconds())

    async def check(self, session: aiohttp.ClientSession, name: str, address: str) -> bool:
        """Check one endpoint if an action may start now. Returns whether to continue the round."""
        async with self.elector.guard_action() as token:
            if token is None:
                return False
            state = await self.probe(session, address, token)
        if state is None:
            self.log.info("patrol_stale", endpoint=name, token=token)
            return False
        if self.last_states.get(name) != state:
            self.last_states[name] = state
            self.log.info("patrol_seen", endpoint=name, state=state, token=token)
        return True

    async def probe(self, session: aiohttp.ClientSession, address: str, token: int) -> str | None:
        """Return the endpoint's state: `well`, `ill` (error status), `silent` (timeout) or `down`.

        Returns None if the endpoint has seen a higher token."""
        client_timeout = aiohttp.ClientTimeout(total=self.elector.terms.action_timeout.total_seconds())
        headers = {"X-Fencing-Token": str(token), "X-Holder": self.elector.name}
        try:
            url = f"http://{address}{self.path}"
            async with session.get(url, headers=headers, timeout=client_timeout) as response:
                await read_body(response, MAX_SHORT_RESPONSE_BYTES)
        except TimeoutError:
            return "silent"
        except (aiohttp.ClientError, OSError):
            return "down"
        if response.status == STATUS_STALE_TOKEN:
            return None
        return "well" if response.status == 200 else "ill"
