"""One conductor: its parts put together, its start, its reload and its end."""

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
from hoplane.config import Config, ConfigError, Unreadable
from hoplane.core.events import Reloaded
from hoplane.core.pacing import Pacing
from hoplane.core.transient import EXHAUSTED
from hoplane.decision.interface import State
from hoplane.fronts import platform
from hoplane.fronts.operator import Operator
from hoplane.net import signals
from hoplane.net.discovery import Discovery
from hoplane.net.handover import Handover
from hoplane.net.pool import Pool
from hoplane.net.runtime import Runtime

if TYPE_CHECKING:
    from hoplane import xds
    from hoplane.fronts import kserve

REREAD, REREAD_MOST = timedelta(milliseconds=50), timedelta(seconds=1)  # a file that could not be read
START_TRIES = 40  # of reading the configuration, and of making the event loop, at a start, `REREAD` apart
TIDY = timedelta(seconds=10)  # between collections of garbage, which take 5 to 8 ms


class Conductor:
    """One conductor at work: its front, its watch and what a reload changes."""

    def __init__(self, config: Config, again: Callable[[Config], Config]) -> None:
        self.config, self.again = config, again
        self.unread = 0  # times in a row that the file could not be read
        self.rereading: asyncio.TimerHandle | None = None
        self.pool = Pool(config)
        self.front, self.watch = self.beside() if config.files else self.on_platform()
        self.watching = asyncio.create_task(self.watch.watch())
        server = self.front.server
        self.operator = config.operator and Operator(
            config.operator, self.unready, self.figures, server.start_drain, server.cancel_drain
        )
        shared = config.inherited is not None and config.scratch is not None
        self.beside_path = self.fleet_parts()
        self.handover = shared and Handover(config.scratch, lambda: server.open_requests, server.hand_over)

    def fleet_parts(self) -> list:  # imported here, as the platform's run has none and should not load them
        """Give this process's part in what the fleet does together, beside the request path."""
        parts = []
        if self.config.lease:
            from hoplane.lease.watchman import Watchman

            parts.append(Watchman(self.config, self.endpoints))
        if self.config.shared:
            from hoplane.shared.member import Member

            parts.append(Member(self.config, lambda: self.front.runtimes))
        return parts

    def endpoints(self) -> list[tuple[str, str]]:
        """Give the names and addresses of what is listed and not gone."""
        fleets = [runtime.state.fleet for runtime in self.front.runtimes]
        listed = [each for fleet in fleets for each in fleet.values() if each.state is not State.GONE]
        return [(each.name, each.address) for each in listed]

    def unready(self) -> str | None:
        """Tell why this process does not take new clients, None where it does."""
        server = self.front.server
        if server.ready:
            return "the process before is finishing" if self.handover and self.handover.waiting else None
        return (
            "stopping" if server.stopping else "draining" if server.draining_since is not None else "starting"
        )

    def figures(self) -> dict[str, object]:
        """Give the figures of the conductors of this process, summed where there are several."""
        figures: dict = {"transactions": {}, "current": 0, "cluster_size": 0, "cluster_unhealthy": 0}
        for runtime in self.front.runtimes:
            each = runtime.figures()
            for cls, counts in each.pop("transactions").items():
                mine = figures["transactions"].setdefault(cls, dict.fromkeys(counts, 0))
                for name, value in counts.items():
                    mine[name] += value
            for name, value in each.items():
                # A file is read once for all models: its counts are the same at each.
                together = max if name.startswith("conf_") else int.__add__
                figures[name] = together(figures.get(name, 0), value)
        return figures

    def on_platform(self) -> tuple[platform.Platform, Discovery]:
        """Put the platform's front and its discovery together."""
        config = self.config
        path = platform.probe_path(config.settings)
        runtime = Runtime(config, self.pool, path, platform.hold_path, platform.read_load)
        address = "{}:{}".format(*config.discovery)
        pacing = Pacing(config.settings, random.Random(config.seed))
        watch = Discovery(self.pool, address, platform.read_list, runtime.feed, pacing)
        if config.known.get("endpoints"):
            try:
                watch.take({**config.known, "snapshot": True})
            except ValueError as error:
                raise ConfigError(f"known: {error}") from None
        return platform.Platform(config, runtime), watch

    def beside(self) -> tuple[kserve.KServe, xds.Files]:
        """Put the v2 front and its files together; at the start they must be whole."""
        # Here, as the platform's run should not load them: half of a start is loading.
        from hoplane import xds
        from hoplane.fronts import kserve

        front = kserve.KServe(self.config, self.pool)
        watch = xds.Files(*self.config.files, front.feed)
        if broken := watch.look():
            raise ConfigError(broken)
        return front, watch

    def reload(self) -> None:
        """Read the configuration anew; README tells what each key does. A bad one changes nothing.

        Guards against a watch that stays with an address that discovery has left."""
        try:
            new = self.again(self.config)
            watch = self.watch.moved(new)
        except Unreadable as error:
            self.reload_later(error)
            return
        except ConfigError as error:
            log.write_event("reload_failed", error=str(error))
            for runtime in self.front.runtimes:
                runtime.feed(Reloaded(None))
            return
        self.unread = 0
        self.watch, self.watching = watch, asyncio.create_task(watch.watch())
        self.front.server.resize(new.limits)
        self.pool.max_sockets = new.limits.upstreams
        self.pool.set_discovery(new.discovery)
        self.front.retune(new.settings)
        known = (*configuration.RELOADED, *configuration.IGNORED)
        wait = [
            name
            for name in (field.name for field in fields(new))
            if name not in known and getattr(self.config, name) != getattr(new, name)
        ]
        taken = {name: getattr(new, name) for name in configuration.RELOADED}
        self.config = replace(self.config, told=new.told, **taken)
        log.write_event("reloaded", watch=str(watch), at_next_start=wait)

    def reload_later(self, error: Unreadable) -> None:
        """Read the configuration once more a moment later: the SIGHUP is still owed a reload."""
        self.unread += 1
        log.write_event_limited("reload_unread", error=str(error), tries=self.unread)
        if self.rereading is not None:
            self.rereading.cancel()
        delay = min(REREAD * self.unread, REREAD_MOST)
        self.rereading = asyncio.get_running_loop().call_later(delay.total_seconds(), self.reload)

    async def tidy(self) -> None:
        """Guard against closed connections that stay in memory, tied in cycles, till a full collection."""
        while True:
            await asyncio.sleep(TIDY.total_seconds())
            gc.collect()

    async def serve(self) -> None:
        """Serve until a signal asks for the end, and then to the end of what was taken."""
        stop = asyncio.Event()
        signals.on_shutdown_signal(stop.set)
        await self.watch.first()
        if not stop.is_set():
            await self.work(stop)
        signals.ignore_reload()
        self.watching.cancel()
        await self.pool.close()
        log.write_event("stopped", **self.pool.counters.log_fields())

    async def work(self, stop: asyncio.Event) -> None:
        """Take clients from here on until the end is asked for, and finish what was taken."""
        signals.on_reload_signal(self.reload)
        await self.front.server.start()
        if self.operator:
            await self.operator.start()
        gc.collect()
        gc.freeze()  # what lives from the start to the end need not be looked at again and again
        log.write_event(
            "started", name=self.config.name, listen="{}:{}".format(*self.config.listen), pid=os.getpid()
        )
        beside = [asyncio.create_task(self.tidy()), asyncio.create_task(self.pool.counters.log_regularly())]
        if self.handover:
            beside.append(asyncio.create_task(self.handover.run()))
        for part in self.beside_path:
            part.start()
        await stop.wait()
        for part in self.beside_path:
            await part.leave()
        log.write_event("stopping", open=self.front.server.open_requests)
        await self.front.server.stop()
        if self.operator:
            self.operator.stop()
        for runtime in self.front.runtimes:
            await runtime.rest()
        for part in self.beside_path:
            await part.stop()
        for task in beside:
            task.cancel()


async def serve(config: Config, again: Callable[[Config], Config]) -> None:
    """Serve to the end."""
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, told: log.write_event(
            "loop_fault", text=told["message"], error=repr(told.get("exception"))
        )
    )
    await Conductor(config, again).serve()


def load_patiently(file: Path | None) -> Config:
    """Read the configuration, again where it cannot be read for a moment; raises a ConfigError."""
    for _ in range(START_TRIES):
        signals.pending_reloads.clear()  # the file that we read now is newer
        try:
            return configuration.load(os.environ, file)
        except Unreadable:
            time.sleep(REREAD.total_seconds())
    return configuration.load(os.environ, file)


def patient_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop, again where the system has no descriptors for it at the moment."""
    for _ in range(START_TRIES):
        try:
            return asyncio.new_event_loop()
        except OSError as error:
            if error.errno not in EXHAUSTED:
                raise
            time.sleep(REREAD.total_seconds())
    return asyncio.new_event_loop()


def main(arguments: list[str]) -> int:
    """Read the configuration and serve."""
    logging.basicConfig(level=logging.WARNING, handlers=[log.Lines()])
    parser = argparse.ArgumentParser(prog="hoplane", description="One conductor.")
    parser.add_argument("file", nargs="?", type=Path, help="serve KServe v2 as this file says")
    file = parser.parse_args(arguments).file
    try:
        config = load_patiently(file)
        with asyncio.Runner(loop_factory=patient_loop) as runner:
            runner.run(serve(config, lambda before: configuration.load(os.environ, file, before)))
    except ConfigError as error:
        log.write_event("bad_configuration", error=str(error))
        return 2
    return 0
