"""Periodic synchronization of one process with the fleet's state in etcd, off the request path.

Keys under `PREFIX`: `live/PROCESS`, under the process's lease, contains its quota slices and failure reports;
`counts/PROCESS` contains its counts; `guard` is written with every increase of a slice, so that two
concurrent increases cannot both commit. A round renews the lease, reads all keys, and writes the process's
own keys in one transaction."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from datetime import timedelta

import orjson

from hoplane import structured_log
from hoplane.lease.elector import Clock
from hoplane.lease.etcd import EtcdClient, EtcdUnavailable, KeyValue, LeaseNotFound
from hoplane.lease.state_machine import LeaseTerms

from .budget import Budget, Quota
from .grow_only_counter import GrowOnlyCounter
from .outlier_detection import OutlierDetector, OutlierRule

PREFIX = b"hoplane/shared/"
GUARD = PREFIX + b"guard"
MILLISECOND = timedelta(milliseconds=1)


class FleetSync:
    """Quotas, counts and failure reports of one process. `process` is unique for each start of it."""

    def __init__(
        self,
        process: str,
        etcd: EtcdClient,
        terms: LeaseTerms,
        rule: OutlierRule,
        interval: timedelta,
        now: Clock,
        seed: int,
    ) -> None:
        self.process, self.etcd, self.terms = process, etcd, terms
        self.interval, self.now = interval, now
        self.rng = random.Random(seed)
        self.quotas: dict[str, Quota] = {}
        self.outlier_detector, self.counter = OutlierDetector(rule), GrowOnlyCounter(process)
        self.lease = 0
        self.members = 1
        self.live_key = PREFIX + b"live/" + process.encode()
        self.counts_key = PREFIX + b"counts/" + process.encode()
        # by key: the revision, and when it was first read
        self.first_seen: dict[bytes, tuple[int, timedelta]] = {}
        self.log = structured_log.make_logger(name=process)
        self.connected = True
        self.rounds = self.clashes = 0

    def quota_for(self, name: str, budget: Budget) -> Quota:
        """Return the quota of a budget. A new quota starts with the floor alone."""
        if name not in self.quotas:
            self.quotas[name] = Quota(budget)
        return self.quotas[name]

    def drop_quota(self, name: str) -> None:
        """Drop a quota. The next round releases its slice in etcd."""
        self.quotas.pop(name, None)

    async def run(self) -> None:
        """Run rounds until cancelled, at intervals with jitter."""
        while True:
            connected = True
            try:
                await self.sync_once()
            except EtcdUnavailable as error:
                connected = False
                if self.connected:
                    self.log.info("sharing_unheard", error=str(error))
            if connected and not self.connected:
                self.log.info("sharing_back", members=self.members)
            self.connected = connected
            await asyncio.sleep(self.interval.total_seconds() * self.rng.uniform(0.75, 1.25))

    async def sync_once(self) -> None:
        """Renew the lease, read the fleet's state and write our own. Raises EtcdUnavailable.

        A write may have been committed even if the call failed; this is safe. The transaction that increases
        a slice requires an unchanged guard key, and the increase is spent only once its success is known."""
        await self.renew()
        pairs = await self.etcd.read_prefix(PREFIX)
        others = self.merge(pairs)
        now, increases_a_slice = self.now(), False
        amounts = {}
        for name, quota in self.quotas.items():
            amounts[name] = quota.target_slice(now, self.members, sum(each.get(name, 0.0) for each in others))
            increases_a_slice = increases_a_slice or amounts[name] > quota.granted + 1e-9
        expected_revisions = {
            self.live_key: pairs[self.live_key].mod_revision if self.live_key in pairs else 0
        }
        ages = {
            name: [each / MILLISECOND for each in times]
            for name, times in self.outlier_detector.report(now).items()
        }
        puts = [
            (self.live_key, orjson.dumps({"slices": amounts, "failed": ages}), self.lease),
            (self.counts_key, orjson.dumps(self.counter.own_counts), 0),
        ]
        if increases_a_slice:
            expected_revisions[GUARD] = pairs[GUARD].mod_revision if GUARD in pairs else 0
            puts.append((GUARD, self.process.encode(), 0))
        try:
            written = await self.etcd.commit(expected_revisions, puts)
        except LeaseNotFound:
            self.discard_lease()
            return
        if written:
            for name, amount in amounts.items():
                if name in self.quotas:
                    self.quotas[name].on_slice_written(amount)
        self.clashes += not written
        self.rounds += 1

    async def renew(self) -> None:
        """Renew the lease or request a new one. Its lifetime counts from when the call was sent."""
        sent_at = self.now()
        if self.lease:
            try:
                await self.etcd.keepalive(self.lease)
            except LeaseNotFound:
                self.discard_lease()
        if not self.lease:
            sent_at = self.now()
            self.lease = await self.etcd.grant(round(self.terms.ttl.total_seconds()))
        for quota in self.quotas.values():
            quota.on_lease_renewed(sent_at, self.terms.safe_lifetime)

    def discard_lease(self) -> None:
        """Process the loss of the lease, and void all slices under it."""
        self.log.info("sharing_lease_lost", lease=self.lease)
        self.lease = 0
        for quota in self.quotas.values():
            quota.on_lease_lost()

    def merge(self, pairs: dict[bytes, KeyValue]) -> list[dict[str, float]]:
        """Merge what the other processes wrote and return their slices.

        Malformed slices, failure reports and counts are skipped; a process counts as live if its value is
        valid JSON."""
        now, live, slices = self.now(), [], []
        self.first_seen = {key: each for key, each in self.first_seen.items() if key in pairs}
        for key, pair in pairs.items():
            kind, _, process = key.removeprefix(PREFIX).decode(errors="replace").partition("/")
            if kind not in ("live", "counts") or process == self.process:
                continue
            if key not in self.first_seen or self.first_seen[key][0] != pair.mod_revision:
                self.first_seen[key] = pair.mod_revision, now
            with suppress(ValueError, TypeError, AttributeError, KeyError):
                report = orjson.loads(pair.value)
                if kind == "counts":
                    self.counter.merge(process, {str(name): int(count) for name, count in report.items()})
                    continue
                live.append(process)
                slices.append(
                    {str(name): max(0.0, float(amount)) for name, amount in report["slices"].items()}
                )
                ages = {
                    str(name): [each * MILLISECOND for each in failure_ages]
                    for name, failure_ages in report["failed"].items()
                }
                self.outlier_detector.merge(now, process, ages, now - self.first_seen[key][1])
        self.outlier_detector.retain_reporters(live)
        self.members = len(live) + 1
        return slices

    async def stop(self) -> None:
        """Write the final counts, wait, and revoke the lease, which releases the slices.

        The wait lasts one window, because spending within the window still counts against the budget. If
        nothing was spent, there is no wait."""
        with suppress(EtcdUnavailable, LeaseNotFound):
            await self.etcd.commit({}, [(self.counts_key, orjson.dumps(self.counter.own_counts), 0)])
        windows = (quota.budget.window for quota in self.quotas.values() if quota.spendings)
        await asyncio.sleep(max(windows, default=timedelta()).total_seconds())
        with suppress(EtcdUnavailable, LeaseNotFound):
            if self.lease:
                await self.etcd.revoke(self.lease)
