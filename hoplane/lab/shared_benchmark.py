"""Benchmark of sharing: sends against the budget, service during a partition, cost for the request path."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from datetime import timedelta
from itertools import chain
from pathlib import Path

from hoplane.lease.elector import monotonic_clock
from hoplane.lease.etcd import EtcdClient
from hoplane.lease.state_machine import LeaseTerms
from hoplane.shared.budget import Budget
from hoplane.shared.fleet_sync import FleetSync
from hoplane.shared.outlier_detection import OutlierRule

from .etcd_stub import EtcdStub
from .fleet_scenario import (
    COLD_BUDGET,
    MAX_CLOCK_DRIFT,
    TTL,
    WINDOW_MS,
    FleetScenario,
    cold_sends_by_conductor,
    max_in_window,
    shared_section,
)
from .lease_benchmark import NullLogger, Row, compare_request_path, format_percentiles
from .schedule import Fault, Schedule

# Seconds from the start. A third of the fleet is partitioned from etcd between the first two.
PARTITION_START, PARTITION_END, RUN_END = 4.0, 9.0, 13.0
CHART_STEP = 0.5  # seconds between two points of the chart
WINDOW = timedelta(milliseconds=WINDOW_MS)


@dataclass(slots=True)
class FleetRun:
    """Run with one fleet size: sends to one cold endpoint, and the share of successful requests."""

    conductors: int
    method: str
    send_times: list[float]  # in seconds from the start
    success_rates: dict[str, float]  # before, during and after the partition

    @property
    def max_sends(self) -> int:
        """Return the maximum number of sends in any window."""
        return max_in_window(sorted(self.send_times), WINDOW_MS / 1000 / (1 + MAX_CLOCK_DRIFT))

    def points(self) -> list[tuple[float, float]]:
        """Return the number of sends in the window before each step, for a chart."""
        steps = [CHART_STEP * number for number in range(1, round(RUN_END / CHART_STEP))]
        return [
            (timestamp, sum(timestamp - WINDOW_MS / 1000 < t <= timestamp for t in self.send_times))
            for timestamp in steps
        ]


async def run_processes(conductors: int, per_second: float) -> FleetRun:
    """Run real processes under load, with a third of them partitioned from etcd for some time."""
    third = range(max(1, conductors // 3))
    partition = tuple(
        Fault(PARTITION_START, PARTITION_END - PARTITION_START, "link", who, {"cut": True}) for who in third
    )
    result = await FleetScenario(
        Schedule("bench", conductors, RUN_END, partition), per_second=per_second
    ).run()
    if result.violations:
        raise RuntimeError(str(result.violations))
    periods = {
        "before": (1.0, PARTITION_START),
        "during": (PARTITION_START, PARTITION_END),
        "after": (PARTITION_END, PARTITION_END + 2),
    }
    success_rates = {}
    for name, (begin, end) in periods.items():
        statuses = [
            status
            for timestamp, _, status in result.responses
            if begin <= timestamp - result.started_at < end
        ]
        success_rates[name] = sum(status == 200 for status in statuses) / max(1, len(statuses))
    sends = chain(*cold_sends_by_conductor(result.events, "r1").values())
    return FleetRun(
        conductors, "processes", [timestamp - result.started_at for timestamp in sends], success_rates
    )


async def run_in_process(conductors: int) -> FleetRun:
    """Run only the sharing of many conductors in this process; each spends its whole quota."""
    budget = Budget(COLD_BUDGET, WINDOW, conductors, 0.3)
    terms = LeaseTerms(timedelta(seconds=TTL), WINDOW, MAX_CLOCK_DRIFT)
    send_times: list[float] = []
    async with EtcdStub() as etcd:
        members = [
            FleetSync(
                f"e{index}",
                EtcdClient([etcd.address], timedelta(milliseconds=500)),
                terms,
                OutlierRule(),
                timedelta(milliseconds=200),
                monotonic_clock(),
                index,
            )
            for index in range(conductors)
        ]
        for member in members:
            member.log = NullLogger()
        quotas = [member.quota_for("cold/x", budget) for member in members]
        started_at, tasks = time.monotonic(), [asyncio.create_task(member.run()) for member in members]
        third = members[: conductors // 3]
        for end, new_address in (
            (PARTITION_START, "127.0.0.1:9"),
            (PARTITION_END, etcd.address),
            (RUN_END, ""),
        ):
            while time.monotonic() - started_at < end:
                for quota in quotas:
                    now = monotonic_clock()()
                    if quota.may_spend(now):
                        quota.spend(now)
                        send_times.append(time.monotonic() - started_at)
                await asyncio.sleep(0.005)
            for member in third if new_address else ():
                member.etcd.addresses = [new_address]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for member in members:
            await member.etcd.close()
    return FleetRun(conductors, "emulated, each spends its whole quota", send_times, {})


def chart(runs: list[FleetRun], path: Path) -> None:
    """Plot the sends in a window against the budget."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for run in runs:
        label = f"{run.conductors} conductors, {run.method}"
        axes.plot(*zip(*run.points(), strict=True), marker=".", label=label)
    axes.axhline(COLD_BUDGET, color="black", linestyle="--", label="budget")
    axes.axvspan(PARTITION_START, PARTITION_END, color="lightgrey", label="a third is partitioned from etcd")
    axes.set(
        xlabel="seconds", ylabel=f"sends to one cold endpoint in {WINDOW_MS} ms", ylim=(0, COLD_BUDGET * 1.2)
    )
    axes.legend(fontsize="small", loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


async def measure() -> tuple[list[Row], list[FleetRun]]:
    """Measure three fleet sizes and the request path. Returns the rows of the table and the runs."""
    runs = [await run_processes(3, 60), await run_processes(10, 18), await run_in_process(50)]
    rows: list[Row] = []
    for run in runs:
        sends_text = f"{run.max_sends} of {COLD_BUDGET}"
        title = f"maximum sends to a cold endpoint in a window, {run.conductors} conductors"
        rows.append((title, sends_text, run.method))
        if run.success_rates:
            shares = ", ".join(f"{name} {share:.3f}" for name, share in run.success_rates.items())
            title = f"successful requests, {run.conductors} conductors"
            rows.append((title, shares, "after: the first 2 s after the partition"))
    latencies, cpu_ms = await compare_request_path(shared_section(1))
    conditions = f"{cpu_ms[True]:.2f} ms CPU time, startup included"
    rows.append(("request latency, sharing on", format_percentiles(latencies[True]), conditions))
    rows.append(
        (
            "request latency, sharing off",
            format_percentiles(latencies[False]),
            f"{cpu_ms[False]:.2f} ms CPU time, startup included",
        )
    )
    return rows, runs
