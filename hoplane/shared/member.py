"""Membership of one process in a fleet that shares budgets, failure reports and counts."""

from __future__ import annotations

import asyncio
import os
import time
from datetime import timedelta

from hoplane import structured_log
from hoplane.config import Config
from hoplane.core import events as ev
from hoplane.core.time_conversion import to_ns
from hoplane.decision.interface import Status
from hoplane.lease.elector import monotonic_clock
from hoplane.lease.etcd import EtcdClient
from hoplane.net.runtime import Runtime

from .budget import Quota
from .fleet_sync import FleetSync

FAILURE_STATUSES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED)
SUCCESS_STATUSES = (Status.OK, Status.MISS)
UPDATE_INTERVAL = timedelta(milliseconds=100)  # between updates of ejections, quotas and counts
COUNTS_LOG_INTERVAL = timedelta(seconds=10)  # between log lines with the fleet's counts
EJECTION_REPEAT_INTERVAL = timedelta(seconds=1)  # a lasting ejection is reported again after this


class Member:
    """Connects `FleetSync` with the runtimes of this process. No request ever waits for it."""

    def __init__(self, config: Config, runtimes) -> None:
        settings = config.shared
        self.settings, self.runtimes = settings, runtimes
        self.now = monotonic_clock(settings.clock_rate)
        process = f"{config.name}.{os.urandom(4).hex()}"
        self.etcd = EtcdClient(list(settings.etcd_members), settings.call_timeout)
        seed = int.from_bytes(os.urandom(8))
        self.sync = FleetSync(
            process, self.etcd, settings.terms, settings.outlier_rule, settings.interval, self.now, seed
        )
        self.attached: set[int] = set()
        self.reported_ejections: dict[str, timedelta] = {}
        self.log = structured_log.make_logger(name=process)
        self.tasks: list[asyncio.Task] = []

    def start(self) -> None:
        self.tasks = [asyncio.create_task(self.sync.run()), asyncio.create_task(self.run_updates())]

    async def begin_shutdown(self) -> None:
        """Do nothing: requests in progress still spend and count."""

    async def stop(self) -> None:
        """Write the final counts and revoke the lease, after all requests were answered."""
        for task in self.tasks:
            task.cancel()
        self.update_counts()
        self.log_counts()
        await self.sync.stop()
        await self.etcd.close()

    def attach(self, runtime: Runtime) -> None:
        """Apply the fleet's budgets to a runtime's cold endpoints, and record its attempts' outcomes."""
        self.attached.add(id(runtime))
        slow_start = runtime.state.router.slow_start
        slow_start.shared_budget_allows = lambda server: self.cold_quota(runtime, server).may_spend(
            self.now()
        )
        slow_start.reserve_send = lambda server: self.reserve_send(runtime, server)
        runtime.spend_cold_budget = lambda endpoint: self.spend(runtime, endpoint)
        runtime.record_outcome = self.record_outcome

    def cold_quota(self, runtime: Runtime, server: int) -> Quota:
        """Return the quota of a cold endpoint's budget, which is created on first use."""
        endpoint = runtime.state.fleet.get(server)
        return self.sync.quota_for(f"cold/{endpoint.name if endpoint else server}", self.settings.cold_budget)

    def reserve_send(self, runtime: Runtime, server: int) -> None:
        """Reserve a send to a server if it is cold; warm servers have no budget."""
        if self.is_cold(runtime, server):
            self.cold_quota(runtime, server).reserve_send(self.now())

    def spend(self, runtime: Runtime, endpoint: ev.Endpoint) -> bool:
        """Spend quota as a request is written. Return whether the request may be sent.

        Logs sends to cold endpoints for audits."""
        server = runtime.state.server_ids.get(endpoint.name)
        if server is None or not self.is_cold(runtime, server):
            return True
        if fits := self.cold_quota(runtime, server).spend_reserved(self.now()):
            self.log.info("cold_send", endpoint=endpoint.name, monotonic=time.monotonic())
        return fits

    @staticmethod
    def is_cold(runtime: Runtime, server: int) -> bool:
        """Return whether a known server has not warmed up yet."""
        known, now = runtime.state.router.servers.get(server), to_ns(runtime.clock.now())
        return known is not None and known.warmup_progress(now, runtime.state.settings.cold) < 1

    def record_outcome(self, endpoint: str, status: Status) -> None:
        """Record the outcome of an attempt for outlier detection."""
        if status in FAILURE_STATUSES:
            self.sync.outlier_detector.record_failure(self.now(), endpoint)
        elif status in SUCCESS_STATUSES:
            self.sync.outlier_detector.record_success(endpoint)

    async def run_updates(self) -> None:
        """Report ejections to the decision module, update counts, and drop quotas no longer needed."""
        last_logged = self.now()
        while True:
            for runtime in self.runtimes():
                if id(runtime) not in self.attached:
                    self.attach(runtime)
                self.report_ejections(runtime)
            self.drop_unused_quotas()
            self.update_counts()
            if self.now() - last_logged >= COUNTS_LOG_INTERVAL:
                last_logged = self.now()
                self.log_counts()
            await asyncio.sleep(UPDATE_INTERVAL.total_seconds())

    def report_ejections(self, runtime: Runtime) -> None:
        """Report ejected endpoints to the decision module, repeatedly while the ejection lasts."""
        now, listed = self.now(), [each.name for each in runtime.state.fleet.values()]
        ejected = self.sync.outlier_detector.ejected(now, listed)
        for name in ejected:
            if now - self.reported_ejections.get(name, -EJECTION_REPEAT_INTERVAL) >= EJECTION_REPEAT_INTERVAL:
                if name not in self.reported_ejections:
                    self.log.info("endpoint_avoided", endpoint=name)
                self.reported_ejections[name] = now
                runtime.feed(ev.EndpointReportedFailing(name))
        for name in [name for name in self.reported_ejections if name in listed and name not in ejected]:
            del self.reported_ejections[name]
            self.log.info("endpoint_welcome", endpoint=name)

    def drop_unused_quotas(self) -> None:
        """Drop the quotas of endpoints that are warm or no longer listed."""
        cold = set()
        for runtime in self.runtimes():
            cold |= {
                f"cold/{endpoint.name}"
                for number, endpoint in runtime.state.fleet.items()
                if self.is_cold(runtime, number)
            }
        for name in set(self.sync.quotas) - cold:
            self.sync.drop_quota(name)

    def update_counts(self) -> None:
        """Merge the counts of this process's runtimes into the fleet's counter."""
        totals: dict[str, int] = {}
        for runtime in self.runtimes():
            for cls, counts in runtime.state.statistics.transactions.items():
                for outcome, count in counts.items():
                    totals[f"{cls}/{outcome}"] = totals.get(f"{cls}/{outcome}", 0) + count
        self.sync.counter.merge(self.sync.process, totals)

    def log_counts(self) -> None:
        """Log the fleet's counts and those of this process."""
        sync = self.sync
        self.log.info(
            "fleet",
            members=sync.members,
            counts=sync.counter.total(),
            rounds=sync.rounds,
            clashes=sync.clashes,
            mine=sync.counter.own_counts,
        )
