"""One process's part in what the fleet shares: a round at the engine every so often, beside the request path.

Under `PREFIX` at the engine: `live/PROCESS`, under the process's lease, holds its slices and its evidence;
`counts/PROCESS` its counts; `guard` changes with every slice that is raised, so that two raises never pass
each other. A round renews the lease, reads all of it, and writes what is ours in one transaction."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from datetime import timedelta

import orjson

from hoplane import structured_log
from hoplane.lease.choice import Terms
from hoplane.lease.etcd import Etcd, NoLease, Pair, Unheard
from hoplane.lease.keeper import Clock

from .counts import Counter
from .escrow import Budget, Purse
from .verdicts import Rule, Verdicts

PREFIX = b"hoplane/shared/"
GUARD = PREFIX + b"guard"
MILLISECOND = timedelta(milliseconds=1)


class Sharing:
    """Budgets, counts and verdicts of one process. `process` names it, anew with each start."""

    def __init__(
        self, process: str, engine: Etcd, terms: Terms, rule: Rule, every: timedelta, now: Clock, seed: int
    ) -> None:
        self.process, self.engine, self.terms = process, engine, terms
        self.every, self.now = every, now
        self.rng = random.Random(seed)
        self.purses: dict[str, Purse] = {}
        self.verdicts, self.counter = Verdicts(rule), Counter(process)
        self.lease = 0
        self.members = 1
        self.mine = PREFIX + b"live/" + process.encode()
        self.counts = PREFIX + b"counts/" + process.encode()
        self.seen: dict[bytes, tuple[int, timedelta]] = {}  # by key: revision, when first read
        self.log = structured_log.make_logger(name=process)
        self.heard = True
        self.rounds = self.clashes = 0

    def budget(self, name: str, budget: Budget) -> Purse:
        """Give the purse of a budget; it starts with the floor alone."""
        if name not in self.purses:
            self.purses[name] = Purse(budget)
        return self.purses[name]

    def drop(self, name: str) -> None:
        """End a budget. What we hold of it is given back with the next round."""
        self.purses.pop(name, None)

    async def run(self) -> None:
        """Go on with rounds until cancelled; each failure is followed by a pause drawn anew."""
        while True:
            heard = True
            try:
                await self.round()
            except Unheard as error:
                heard = False
                if self.heard:
                    self.log.info("sharing_unheard", error=str(error))
            if heard and not self.heard:
                self.log.info("sharing_back", members=self.members)
            self.heard = heard
            await asyncio.sleep(self.every.total_seconds() * self.rng.uniform(0.75, 1.25))

    async def round(self) -> None:
        """Renew, read, write; raises Unheard.

        What was written then may hold all the same, and nothing is lost. A slice is raised only where the
        guard is as it was read, and only once that was heard."""
        await self.renew()
        pairs = await self.engine.read(PREFIX)
        others = self.take(pairs)
        now, raised = self.now(), False
        amounts = {}
        for name, purse in self.purses.items():
            amounts[name] = purse.wanted(now, self.members, sum(each.get(name, 0.0) for each in others))
            raised = raised or amounts[name] > purse.held + 1e-9
        conditions = {self.mine: pairs[self.mine].changed if self.mine in pairs else 0}
        ages = {
            name: [each / MILLISECOND for each in times] for name, times in self.verdicts.report(now).items()
        }
        puts = [
            (self.mine, orjson.dumps({"slices": amounts, "failed": ages}), self.lease),
            (self.counts, orjson.dumps(self.counter.mine), 0),
        ]
        if raised:
            conditions[GUARD] = pairs[GUARD].changed if GUARD in pairs else 0
            puts.append((GUARD, self.process.encode(), 0))
        try:
            written = await self.engine.commit(conditions, puts)
        except NoLease:
            self.lose()
            return
        if written:
            for name, amount in amounts.items():
                if name in self.purses:
                    self.purses[name].written(amount)
        self.clashes += not written
        self.rounds += 1

    async def renew(self) -> None:
        """Keep the lease alive, or have a new one granted; either counts from when it was sent."""
        sent = self.now()
        if self.lease:
            try:
                await self.engine.keepalive(self.lease)
            except NoLease:
                self.lose()
        if not self.lease:
            sent = self.now()
            self.lease = await self.engine.grant(round(self.terms.ttl.total_seconds()))
        for purse in self.purses.values():
            purse.renewed(sent, self.terms.span)

    def lose(self) -> None:
        """Take in that the lease is gone, and with it all that hung on it."""
        self.log.info("sharing_lease_lost", lease=self.lease)
        self.lease = 0
        for purse in self.purses.values():
            purse.lost()

    def take(self, pairs: dict[bytes, Pair]) -> list[dict[str, float]]:
        """Take in what the others wrote, and give their slices. What cannot be read holds nothing."""
        now, living, slices = self.now(), [], []
        self.seen = {key: each for key, each in self.seen.items() if key in pairs}
        for key, pair in pairs.items():
            kind, _, process = key.removeprefix(PREFIX).decode(errors="replace").partition("/")
            if kind not in ("live", "counts") or process == self.process:
                continue
            if key not in self.seen or self.seen[key][0] != pair.changed:
                self.seen[key] = pair.changed, now
            with suppress(ValueError, TypeError, AttributeError, KeyError):
                told = orjson.loads(pair.value)
                if kind == "counts":
                    self.counter.take(process, {str(name): int(count) for name, count in told.items()})
                    continue
                living.append(process)
                slices.append({str(name): max(0.0, float(held)) for name, held in told["slices"].items()})
                ages = {str(name): [each * MILLISECOND for each in a] for name, a in told["failed"].items()}
                self.verdicts.take(now, process, ages, now - self.seen[key][1])
        self.verdicts.forget(living)
        self.members = len(living) + 1
        return slices

    async def stop(self) -> None:
        """Tell the last counts and give the lease back, so that slices are free at once.

        What was spent within the last window is still under way: the lease is given back after it."""
        with suppress(Unheard, NoLease):
            await self.engine.commit({}, [(self.counts, orjson.dumps(self.counter.mine), 0)])
        windows = (purse.budget.window for purse in self.purses.values() if purse.spends)
        await asyncio.sleep(max(windows, default=timedelta()).total_seconds())
        with suppress(Unheard, NoLease):
            if self.lease:
                await self.engine.revoke(self.lease)
