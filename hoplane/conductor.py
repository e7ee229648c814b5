"""One conductor: its parts, and its startup, reload and shutdown."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import random
import time
from collections.abc import Callable
from dataclasses import fields, replace
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING

from hoplane import config as configuration
from hoplane import log
from hoplane.config import Config, ConfigError, TransientReadError
from hoplane.core.events import SettingsReloaded
from hoplane.core.pacing import Pacing
from hoplane.core.transient_errors import RESOURCE_EXHAUSTED
from hoplane.decision.interface import State
from hoplane.fronts import platform
from hoplane.fronts.operator import OperatorServer
from hoplane.net import signals
from hoplane.net.discovery import Discovery
from hoplane.net.handover import Handover
from hoplane.net.pool import Pool
from hoplane.net.runtime import Runtime
from hoplane.net.shared_ids import SharedIds
from hoplane.raw_settings import unset_limits

if TYPE_CHECKING:
    from hoplane import xds
    from hoplane.fronts import kserve

# Delay between attempts to read a file that cannot be read.
REREAD_DELAY, MAX_REREAD_DELAY = timedelta(milliseconds=50), timedelta(seconds=1)
# Attempts at startup to read the configuration and to create the event loop, `REREAD_DELAY` apart.
STARTUP_ATTEMPTS = 40
# Between garbage collections, each of which blocks the event loop for 5 to 8 ms.
GC_INTERVAL = timedelta(seconds=10)


class Conductor:
    """A running conductor: its front, its endpoint watch, and what a reload changes."""

    def __init__(self, config: Config, load_config: Callable[[Config], Config]) -> None:
        self.config, self.load_config = config, load_config
        self.read_failures = 0  # consecutive failures to read the file
        self.reread_timer: asyncio.TimerHandle | None = None
        self.pool = Pool(config)
        self.front, self.endpoint_watch = self.create_kserve() if config.files else self.create_platform()
        self.watch_task = asyncio.create_task(self.endpoint_watch.watch())
        server = self.front.server
        self.operator = config.operator and OperatorServer(
            config.operator, self.not_ready_reason, self.statistics, server.start_drain, server.cancel_drain
        )
        self.fleet_tasks = self.make_fleet_tasks()
        self.handover = config.can_hand_over and Handover(
            config.scratch, lambda: server.open_requests, server.hand_over
        )

    # The imports are local, because the platform's conductor has no such tasks and need not load them.
    def make_fleet_tasks(self) -> list:
        """Return the tasks that this process runs for the fleet, outside the request path."""
        tasks = []
        if self.config.lease:
            from hoplane.lease.health_check_task import HealthCheckTask

            tasks.append(HealthCheckTask(self.config, self.endpoints))
        if self.config.shared:
            from hoplane.shared.member import Member

            tasks.append(Member(self.config, lambda: self.front.runtimes))
        return tasks

    def endpoints(self) -> list[tuple[str, str]]:
        """Return the names and addresses of the listed endpoints, without those that are gone."""
        fleets = [runtime.state.fleet for runtime in self.front.runtimes]
        listed = [each for fleet in fleets for each in fleet.values() if each.state is not State.GONE]
        return [(each.name, each.address) for each in listed]

    def not_ready_reason(self) -> str | None:
        """Return why this process does not accept new clients, or None if it does."""
        server = self.front.server
        if server.ready:
            return "the process before is finishing" if self.handover and self.handover.waiting else None
        return (
            "stopping" if server.stopping else "draining" if server.draining_since is not None else "starting"
        )

    def statistics(self) -> dict[str, object]:
        """Return the statistics of this process's runtimes, summed if there are several."""
        statistics: dict = {"transactions": {}, "current": 0, "cluster_size": 0, "cluster_unhealthy": 0}
        for runtime in self.front.runtimes:
            each = runtime.statistics()
            for cls, counts in each.pop("transactions").items():
                total = statistics["transactions"].setdefault(cls, dict.fromkeys(counts, 0))
                for name, value in counts.items():
                    total[name] += value
            for name, value in each.items():
                # A file is read once for all models, so its counts are the same for each.
                combine = max if name.startswith("conf_") else int.__add__
                statistics[name] = combine(statistics.get(name, 0), value)
        return statistics

    def create_platform(self) -> tuple[platform.Platform, Discovery]:
        """Create the platform's front and its discovery."""
        config = self.config
        path = platform.probe_path(config.settings)
        runtime = Runtime(config, self.pool, path, platform.reservation_path, platform.parse_load_report)
        address = "{}:{}".format(*config.discovery)
        pacing = Pacing(config.settings, random.Random(config.seed))
        watch = Discovery(self.pool, address, platform.parse_endpoint_list, runtime.feed, pacing)
        if config.known.get("endpoints"):
            try:
                watch.process_response({**config.known, "snapshot": True})
            except ValueError as error:
                raise ConfigError(f"known: {error}") from None
        shared_ids = SharedIds(config.scratch, config.ledger_keep) if config.can_hand_over else None
        return platform.Platform(config, runtime, shared_ids), watch

    def create_kserve(self) -> tuple[kserve.KServe, xds.FileWatch]:
        """Create the v2 front and its files, which must be valid at startup."""
        # Local imports, because the platform's conductor should not load them: loading is half of a startup.
        from hoplane import xds
        from hoplane.fronts import kserve

        front = kserve.KServe(self.config, self.pool)
        watch = xds.FileWatch(*self.config.files, front.feed)
        if problem := watch.poll():
            raise ConfigError(problem)
        return front, watch

    def reload(self) -> None:
        """Reload the configuration; README describes each key. An invalid configuration is not applied.

        The watch is replaced too, because discovery may have a new address.
        """
        try:
            new = self.load_config(self.config)
            watch = self.endpoint_watch.reconfigure(new)
        except TransientReadError as error:
            self.reload_later(error)
            return
        except ConfigError as error:
            log.write_event("reload_failed", error=str(error))
            for runtime in self.front.runtimes:
                runtime.feed(SettingsReloaded(None))
            return
        self.read_failures = 0
        self.endpoint_watch, self.watch_task = watch, asyncio.create_task(watch.watch())
        self.front.server.resize(new.limits)
        self.pool.max_sockets = new.limits.endpoint_connections
        self.pool.response_memory.resize(new.limits.response_bytes)
        self.pool.set_discovery(new.discovery)
        self.front.apply_settings(new.settings)
        never_need_restart = (*configuration.RELOADABLE_FIELDS, *configuration.NOT_COMPARED_FIELDS)
        needs_restart = [
            name
            for name in (field.name for field in fields(new))
            if name not in never_need_restart and getattr(self.config, name) != getattr(new, name)
        ]
        reloaded = {name: getattr(new, name) for name in configuration.RELOADABLE_FIELDS}
        self.config = replace(self.config, raw=new.raw, **reloaded)
        log.write_event("reloaded", watch=str(watch), at_next_start=needs_restart)
        self.log_unset_limits()

    def log_unset_limits(self) -> None:
        """Log the limits that the settings leave unset, as their defaults limit nothing."""
        if unset := unset_limits(self.config.raw["settings"]):
            log.write_event("limits_unset", settings=unset)

    def reload_later(self, error: TransientReadError) -> None:
        """Schedule another reload, because the file could not be read."""
        self.read_failures += 1
        log.write_event_limited("reload_unread", error=str(error), tries=self.read_failures)
        if self.reread_timer is not None:
            self.reread_timer.cancel()
        delay = min(REREAD_DELAY * self.read_failures, MAX_REREAD_DELAY)
        self.reread_timer = asyncio.get_running_loop().call_later(delay.total_seconds(), self.reload)

    async def collect_garbage(self) -> None:
        """Free closed connections regularly; reference cycles keep them in memory until a full collection."""
        while True:
            await asyncio.sleep(GC_INTERVAL.total_seconds())
            gc.collect()

    async def serve(self) -> None:
        """Serve until a signal arrives, then finish the accepted requests."""
        stop = asyncio.Event()
        signals.on_shutdown_signal(stop.set)
        await self.endpoint_watch.wait_until_ready()
        if not stop.is_set():
            await self.run(stop)
        signals.ignore_reload()
        self.watch_task.cancel()
        await self.pool.close()
        log.write_event("stopped", **self.pool.counters.log_fields())

    async def run(self, stop: asyncio.Event) -> None:
        """Accept clients until `stop` is set, then finish the accepted requests."""
        signals.on_reload_signal(self.reload)
        await self.front.server.start()
        if self.operator:
            await self.operator.start()
        gc.collect()
        gc.freeze()  # objects that live as long as the process need not be scanned again
        log.write_event(
            "started", name=self.config.name, listen="{}:{}".format(*self.config.listen), pid=os.getpid()
        )
        self.log_unset_limits()
        background_tasks = [
            asyncio.create_task(self.collect_garbage()),
            asyncio.create_task(self.pool.counters.log_regularly()),
        ]
        if self.handover:
            background_tasks.append(asyncio.create_task(self.handover.run()))
        for fleet_task in self.fleet_tasks:
            fleet_task.start()
        await stop.wait()
        for fleet_task in self.fleet_tasks:
            await fleet_task.begin_shutdown()
        log.write_event("stopping", open=self.front.server.open_requests)
        await self.front.server.stop()
        if self.operator:
            self.operator.stop()
        for runtime in self.front.runtimes:
            await runtime.wait_idle()
        for fleet_task in self.fleet_tasks:
            await fleet_task.stop()
        for task in background_tasks:
            task.cancel()


async def serve(config: Config, load_config: Callable[[Config], Config]) -> None:
    """Serve until shutdown."""
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, context: log.write_event(
            "loop_fault", text=context["message"], error=repr(context.get("exception"))
        )
    )
    await Conductor(config, load_config).serve()


def load_with_retry(file: Path | None) -> Config:
    """Read the configuration, retrying while it cannot be read; raise ConfigError if it is invalid."""
    for _ in range(STARTUP_ATTEMPTS):
        signals.pending_reloads.clear()  # the file read next is newer
        try:
            return configuration.load(os.environ, file)
        except TransientReadError:
            time.sleep(REREAD_DELAY.total_seconds())
    return configuration.load(os.environ, file)


def create_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop, retrying while the system has no descriptors."""
    for _ in range(STARTUP_ATTEMPTS):
        try:
            return asyncio.new_event_loop()
        except OSError as error:
            if error.errno not in RESOURCE_EXHAUSTED:
                raise
            time.sleep(REREAD_DELAY.total_seconds())
    return asyncio.new_event_loop()


def main(arguments: list[str]) -> int:
    """Read the configuration and serve."""
    logging.basicConfig(level=logging.WARNING, handlers=[log.LibraryHandler()])
    parser = argparse.ArgumentParser(prog="hoplane", description="One conductor.")
    parser.add_argument(
        "file",
        nargs="?",
        type=Path,
        help="TOML configuration for serving KServe v2; if absent, the platform's configuration is used",
    )
    file = parser.parse_args(arguments).file
    try:
        config = load_with_retry(file)
        with asyncio.Runner(loop_factory=create_event_loop) as runner:
            runner.run(serve(config, lambda current: configuration.load(os.environ, file, current)))
    except ConfigError as error:
        log.write_event("bad_configuration", error=str(error))
        return 2
    return 0
