"""Measures what is shared: budgets against their bound, service around a partition, the path's cost."""

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

from .bench import Row, Silent, beside, figures
from .engine import Engine
from .fleet import BOUND, DRIFT, TTL, WINDOW_MS, Fleet, audit, most_in, sharing
from .schedule import Fault, Schedule

CUT, HEALED, END = 4.0, 9.0, 13.0  # seconds: a third of the fleet is cut off from the engine, and heard again
STEP = 0.5  # seconds to a point of the chart
WINDOW = timedelta(milliseconds=WINDOW_MS)


@dataclass(slots=True)
class Run:
    """One size of fleet: sends to one cold endpoint, and the share of requests answered."""

    conductors: int
    how: str
    times: list[float]  # of the sends, in seconds from the start
    served: dict[str, float]  # by span: before, during, after

    @property
    def most(self) -> int:
        """Give the most sends in any window."""
        return most_in(sorted(self.times), WINDOW_MS / 1000 / (1 + DRIFT))

    def points(self) -> list[tuple[float, float]]:
        """Give the sends in a window at each step, for a chart."""
        steps = [STEP * at for at in range(1, round(END / STEP))]
        return [(at, sum(at - WINDOW_MS / 1000 < t <= at for t in self.times)) for at in steps]


async def real(conductors: int, per_second: float) -> Run:
    """Play real processes under load, a third of them cut off for a while."""
    third = range(max(1, conductors // 3))
    cut = tuple(Fault(CUT, HEALED - CUT, "link", who, {"cut": True}) for who in third)
    found = await Fleet(Schedule("bench", conductors, END, cut), per_second=per_second).run()
    if found.problems:
        raise RuntimeError(str(found.problems))
    spans = {"before": (1.0, CUT), "during": (CUT, HEALED), "after": (HEALED, HEALED + 2)}
    served = {}
    for name, (begin, end) in spans.items():
        answers = [status for at, _, status in found.answers if begin <= at - found.begun < end]
        served[name] = sum(status == 200 for status in answers) / max(1, len(answers))
    sends = chain(*audit(found.events, "r1").values())
    return Run(conductors, "processes", [at - found.begun for at in sends], served)


async def emulated(conductors: int) -> Run:
    """Play the sharing alone, each conductor in this process and spending all it may."""
    budget = Budget(BOUND, WINDOW, conductors, 0.3)
    terms = LeaseTerms(timedelta(seconds=TTL), WINDOW, DRIFT)
    spends: list[float] = []
    async with Engine() as engine:
        members = [
            FleetSync(
                f"e{at}",
                EtcdClient([engine.address], timedelta(milliseconds=500)),
                terms,
                OutlierRule(),
                timedelta(milliseconds=200),
                monotonic_clock(),
                at,
            )
            for at in range(conductors)
        ]
        for member in members:
            member.log = Silent()
        quotas = [member.quota_for("cold/x", budget) for member in members]
        begun, tasks = time.monotonic(), [asyncio.create_task(member.run()) for member in members]
        third = members[: conductors // 3]
        for at, change in ((CUT, "127.0.0.1:9"), (HEALED, engine.address), (END, "")):
            while time.monotonic() - begun < at:
                for quota in quotas:
                    now = monotonic_clock()()
                    if quota.may_spend(now):
                        quota.spend(now)
                        spends.append(time.monotonic() - begun)
                await asyncio.sleep(0.005)
            for member in third if change else ():
                member.engine.addresses = [change]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for member in members:
            await member.engine.close()
    return Run(conductors, "emulated, each spends all it may", spends, {})


def chart(runs: list[Run], path: Path) -> None:
    """Draw the sends in a window against the bound."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for run in runs:
        label = f"{run.conductors} conductors, {run.how}"
        axes.plot(*zip(*run.points(), strict=True), marker=".", label=label)
    axes.axhline(BOUND, color="black", linestyle="--", label="bound")
    axes.axvspan(CUT, HEALED, color="lightgrey", label="a third is cut off from the engine")
    axes.set(xlabel="seconds", ylabel=f"sends to one cold endpoint in {WINDOW_MS} ms", ylim=(0, BOUND * 1.2))
    axes.legend(fontsize="small", loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


async def measure() -> tuple[list[Row], list[Run]]:
    """Measure three sizes of fleet and the request path, and give the table's rows and the runs."""
    runs = [await real(3, 60), await real(10, 18), await emulated(50)]
    rows: list[Row] = []
    for run in runs:
        used = f"{run.most} of {BOUND}"
        what = f"most sends to a cold endpoint in a window, {run.conductors} conductors"
        rows.append((what, used, run.how))
        if run.served:
            shares = ", ".join(f"{name} {share:.3f}" for name, share in run.served.items())
            what = f"requests answered, {run.conductors} conductors"
            rows.append((what, shares, "after: the 2 s after healing"))
    times, cost = await beside(sharing(1))
    on = f"{cost[True]:.2f} ms processor time, start included"
    rows.append(("a request, sharing on", figures(times[True]), on))
    rows.append(("a request, sharing off", figures(times[False]), f"{cost[False]:.2f} ms, start included"))
    return rows, runs
