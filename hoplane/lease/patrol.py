"""A task that one conductor does for all: it asks every listed endpoint for a sign of life.

Without it each conductor of a fleet probes on its own what it finds silent. Each call carries the fencing
token in `X-Fencing-Token`; an endpoint that has seen a higher one answers 412, and the patrol ends its
tenure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import aiohttp

from hoplane import structured_log

from .keeper import Keeper

STALE = 412


class Patrol:
    """Goes round the endpoints while the lease is held."""

    def __init__(
        self, keeper: Keeper, every: timedelta, path: str, endpoints: Callable[[], list[tuple[str, str]]]
    ) -> None:
        self.keeper, self.every, self.path, self.endpoints = keeper, every, path, endpoints
        self.seen: dict[str, str] = {}
        self.log = structured_log.make_logger(name=keeper.name)

    async def run(self) -> None:
        """Go round until cancelled; nothing is done, and nothing waits, while another holds the lease."""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True)) as session:
            while True:
                await self.keeper.began.wait()
                for name, address in self.endpoints():
                    if not await self.visit(session, name, address):
                        break
                await asyncio.sleep(self.every.total_seconds())

    async def visit(self, session: aiohttp.ClientSession, name: str, address: str) -> bool:
        """Ask one endpoint, if an act may begin now; tell whether to go on."""
        async with self.keeper.act() as token:
            if token is None:
                return False
            state = await self.ask(session, address, token)
        if state is None:
            self.log.info("patrol_stale", endpoint=name, token=token)
            return False
        if self.seen.get(name) != state:
            self.seen[name] = state
            self.log.info("patrol_seen", endpoint=name, state=state, token=token)
        return True

    async def ask(self, session: aiohttp.ClientSession, address: str, token: int) -> str | None:
        """Give what the endpoint shows: `well`, `ill` (an error), `silent` or `down`.

        None where it has seen a higher token."""
        limit = aiohttp.ClientTimeout(total=self.keeper.terms.act.total_seconds())
        headers = {"X-Fencing-Token": str(token), "X-Holder": self.keeper.name}
        try:
            url = f"http://{address}{self.path}"
            async with session.get(url, headers=headers, timeout=limit) as response:
                await response.read()
        except TimeoutError:
            return "silent"
        except (aiohttp.ClientError, OSError):
            return "down"
        if response.status == STALE:
            return None
        return "well" if response.status == 200 else "ill"
