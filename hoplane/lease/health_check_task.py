"""Runs the leader election and the fleet's health checks in one process, off the request path."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from hoplane.config import Config

from .elector import LeaderElector, monotonic_clock
from .etcd import EtcdClient
from .health_checker import HealthChecker

LIVENESS_PATH = "/v2/health/live"


class HealthCheckTask:
    """Campaigns for the lease and checks endpoints while holding it. No request ever waits for it."""

    def __init__(self, config: Config, list_endpoints: Callable[[], list[tuple[str, str]]]) -> None:
        settings = config.lease
        self.etcd = EtcdClient(list(settings.etcd_members), settings.call_timeout)
        seed = int.from_bytes(os.urandom(8))  # conductors must not back off in lockstep
        self.elector = LeaderElector(
            settings.key, config.name, settings.terms, self.etcd, monotonic_clock(settings.clock_rate), seed
        )
        self.checker = HealthChecker(self.elector, settings.interval, LIVENESS_PATH, list_endpoints)
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self.tasks = [asyncio.create_task(component.run()) for component in (self.elector, self.checker)]

    async def begin_shutdown(self) -> None:
        """Revoke the lease at the start of the shutdown, so that another conductor takes over at once."""
        self.tasks[1].cancel()
        await self.elector.stop()
        self.tasks[0].cancel()
        await self.etcd.close()

    async def stop(self) -> None:
        """Do nothing: `begin_shutdown` has already stopped all work."""
