"""One process's part in a fleet that shares: its conductors' budgets, failures and counts."""

from __future__ import annotations

import asyncio
import os
import time
from datetime import timedelta

from hoplane import slog
from hoplane.config import Config
from hoplane.core import events as ev
from hoplane.core.border import to_ns
from hoplane.decision.interface import Status
from hoplane.lease.etcd import Etcd
from hoplane.lease.keeper import clock
from hoplane.net.runtime import Runtime

from .escrow import Purse
from .sharing import Sharing

FAILURES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED)
ANSWERS = (Status.OK, Status.MISS)
APPLY = timedelta(milliseconds=100)  # between looks at verdicts and counts
TELL = timedelta(seconds=10)  # between lines of the fleet's counts
AGAIN = timedelta(seconds=1)  # a verdict that stands is told the module anew after this


class Member:
    """Connects `Sharing` with the conductors of this process; nothing of a request waits on it."""

    def __init__(self, config: Config, runtimes) -> None:
        told = config.shared
        self.told, self.runtimes = told, runtimes
        self.now = clock(told.clock_rate)
        process = f"{config.name}.{os.urandom(4).hex()}"
        self.engine = Etcd(list(told.engine), told.call)
        seed = int.from_bytes(os.urandom(8))
        self.sharing = Sharing(process, self.engine, told.terms, told.rule, told.every, self.now, seed)
        self.joined: set[int] = set()
        self.applied: dict[str, timedelta] = {}
        self.log = slog.logger(name=process)
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self.tasks = [asyncio.create_task(self.sharing.run()), asyncio.create_task(self.apply())]

    async def leave(self) -> None:
        """Go on as the end begins: requests that are open still spend and count."""

    async def stop(self) -> None:
        """Tell the last counts and give the lease back, once all requests are answered."""
        for task in self.tasks:
            task.cancel()
        self.count()
        self.tell()
        await self.sharing.stop()
        await self.engine.close()

    def join(self, runtime: Runtime) -> None:
        """Put a conductor's cold endpoints under the fleet's budgets, and hear of its failures."""
        self.joined.add(id(runtime))
        turns = runtime.state.router.turns
        turns.fits = lambda server: self.purse(runtime, server).may_spend(self.now())
        turns.book = lambda server: self.book(runtime, server)
        runtime.spend = lambda endpoint: self.spend(runtime, endpoint)
        runtime.heed = self.heed

    def purse(self, runtime: Runtime, server: int) -> Purse:
        """Give the purse of a cold endpoint's budget, which begins with the first look at it."""
        endpoint = runtime.state.fleet.get(server)
        return self.sharing.budget(f"cold/{endpoint.name if endpoint else server}", self.told.cold)

    def book(self, runtime: Runtime, server: int) -> None:
        if self.cold(runtime, server):
            self.purse(runtime, server).book(self.now())

    def spend(self, runtime: Runtime, endpoint: ev.Endpoint) -> bool:
        """Tell whether a send may go as its bytes do; one to a cold endpoint is written down for audits."""
        server = runtime.state.numbers.get(endpoint.name)
        if server is None or not self.cold(runtime, server):
            return True
        if fits := self.purse(runtime, server).go(self.now()):
            self.log.info("cold_send", endpoint=endpoint.name, monotonic=time.monotonic())
        return fits

    @staticmethod
    def cold(runtime: Runtime, server: int) -> bool:
        known, now = runtime.state.router.servers.get(server), to_ns(runtime.clock.now())
        return known is not None and known.warmth(now, runtime.state.settings.cold) < 1

    def heed(self, endpoint: str, status: Status) -> None:
        if status in FAILURES:
            self.sharing.verdicts.failed(self.now(), endpoint)
        elif status in ANSWERS:
            self.sharing.verdicts.answered(endpoint)

    async def apply(self) -> None:
        """Tell the module of what the fleet avoids, count, and end the budgets of what is warm or gone."""
        last = self.now()
        while True:
            for runtime in self.runtimes():
                if id(runtime) not in self.joined:
                    self.join(runtime)
                self.avoid(runtime)
            self.prune()
            self.count()
            if self.now() - last >= TELL:
                last = self.now()
                self.tell()
            await asyncio.sleep(APPLY.total_seconds())

    def avoid(self, runtime: Runtime) -> None:
        now, listed = self.now(), [each.name for each in runtime.state.fleet.values()]
        avoided = self.sharing.verdicts.avoided(now, listed)
        for name in avoided:
            if now - self.applied.get(name, -AGAIN) >= AGAIN:
                if name not in self.applied:
                    self.log.info("endpoint_avoided", endpoint=name)
                self.applied[name] = now
                runtime.feed(ev.EndpointReportedFailing(name))
        for name in [name for name in self.applied if name in listed and name not in avoided]:
            del self.applied[name]
            self.log.info("endpoint_welcome", endpoint=name)

    def prune(self) -> None:
        cold = set()
        for runtime in self.runtimes():
            cold |= {
                f"cold/{endpoint.name}"
                for number, endpoint in runtime.state.fleet.items()
                if self.cold(runtime, number)
            }
        for name in set(self.sharing.purses) - cold:
            self.sharing.drop(name)

    def count(self) -> None:
        """Take our conductors' counts over; they only grow."""
        totals: dict[str, int] = {}
        for runtime in self.runtimes():
            for cls, counts in runtime.state.figures.transactions.items():
                for what, count in counts.items():
                    totals[f"{cls}/{what}"] = totals.get(f"{cls}/{what}", 0) + count
        self.sharing.counter.take(self.sharing.process, totals)

    def tell(self) -> None:
        sharing = self.sharing
        self.log.info(
            "fleet",
            members=sharing.members,
            counts=sharing.counter.total(),
            rounds=sharing.rounds,
            clashes=sharing.clashes,
            mine=sharing.counter.mine,
        )
