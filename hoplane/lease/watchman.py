"""One process's part in the fleet's patrol: the lease, the rounds, and their end. Beside the request path."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from hoplane.config import Config

from .etcd import Etcd
from .keeper import Keeper, clock
from .patrol import Patrol

LIVE = "/v2/health/live"


class Watchman:
    """Keeps the lease and goes on patrol while it holds it; nothing of a request ever waits on it."""

    def __init__(self, config: Config, endpoints: Callable[[], list[tuple[str, str]]]) -> None:
        told = config.lease
        self.engine = Etcd(list(told.engine), told.call)
        seed = int.from_bytes(os.urandom(8))  # two conductors with one seed must not ask in step
        self.keeper = Keeper(told.key, config.name, told.terms, self.engine, clock(told.clock_rate), seed)
        self.patrol = Patrol(self.keeper, told.every, LIVE, endpoints)
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self.tasks = [asyncio.create_task(part.run()) for part in (self.keeper, self.patrol)]

    async def leave(self) -> None:
        """Give the lease back as the end begins, so that another can take it at once."""
        self.tasks[1].cancel()
        await self.keeper.stop()
        self.tasks[0].cancel()
        await self.engine.close()

    async def stop(self) -> None:
        """Do nothing more once all requests are answered."""
