"""Command line of the test tools: `python -m hoplane.lab COMMAND --help`."""

from __future__ import annotations

import asyncio
import os
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from functools import partial
from pathlib import Path

import click
import orjson

from hoplane.net import signals

from . import faults, lease_benchmark, lease_scenario, schedule, shared_benchmark, soak
from .etcd_stub import EtcdStub
from .faulty_proxy import FaultyProxy
from .soak_oracle import Violation

DEFAULT_JOBS = max(1, (os.cpu_count() or 2) // 3)  # concurrent drills; each runs about five processes


@click.group()
def lab() -> None:
    """Stand-ins, proxies with injected faults, drills and benchmarks. All servers listen on loopback only."""


async def serve_forever(server: EtcdStub | FaultyProxy, label: str) -> None:
    """Print the address of a server and run it until interrupted."""
    async with server:
        click.echo(f"{label} {server.address}")
        await asyncio.Event().wait()


@lab.command()
@click.option("--port", default=2379, show_default=True, help="Port to listen on at 127.0.0.1.")
def engine(port: int) -> None:
    """Start a stand-in for etcd's v3 JSON gateway; POST /lab/faults injects faults."""
    asyncio.run(serve_forever(EtcdStub(port), "engine at"))


@lab.command()
@click.argument("target")
@click.option("--faults", default="{}", help='JSON, such as {"reply_ms": [500, 900], "drop_requests": 0.1}.')
@click.option("--seed", default=1, show_default=True)
def link(target: str, faults: str, seed: int) -> None:
    """Start a proxy to the server at TARGET (HOST:PORT) that injects faults."""
    requested, proxy = orjson.loads(faults), FaultyProxy(target, seed)
    if unknown := set(requested) - set(schedule.NO_FAULTS):
        raise click.BadParameter(
            f"{min(unknown)} is not a known fault; known faults: {', '.join(schedule.NO_FAULTS)}"
        )
    proxy.apply_faults(requested)
    asyncio.run(serve_forever(proxy, f"link to {target} at"))


def run_drill(plan: schedule.Schedule) -> dict:
    """Run one schedule and return its line of the report."""
    kinds = [f.settings["kind"] if f.kind == "holder" else f.kind for f in plan.faults]
    try:
        result = lease_scenario.run_scenario(plan)
    except TimeoutError as error:
        return {
            "name": plan.name,
            "fenced": plan.fenced,
            "acts": 0,
            "tenures": 0,
            "refused": 0,
            "faults": kinds,
            "wrong": [str(error)],
        }
    faulty = ("loop_fault", "task_broke", "library")
    problems = result.violations + [str(line) for line in result.events if line["event"] in faulty]
    return {
        "name": plan.name,
        "fenced": plan.fenced,
        "acts": len(result.actions),
        "tenures": len(result.tenures()),
        "refused": result.rejected_actions,
        "faults": kinds,
        "wrong": problems,
    }


@lab.command("drill")
@click.option(
    "--seeds", default=10, show_default=True, help="Number of seeds; each is run with and without fencing."
)
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--conductors", default=4, show_default=True)
@click.option("--jobs", default=DEFAULT_JOBS, show_default=True, help="Number of concurrent drills.")
@click.option(
    "--out", type=click.Path(path_type=Path), help="Append a JSON line for each drill to this file."
)
def run_drills(seeds: int, first: int, conductors: int, jobs: int, out: Path | None) -> None:
    """Run random fault schedules against real conductors that share a lease, and check all their actions."""
    schedules = [
        schedule.draw_schedule(seed, conductors, lease_scenario.TTL, lease_scenario.MAX_CLOCK_DRIFT, fenced)
        for seed in range(first, first + seeds)
        for fenced in (True, False)
    ]
    totals, failed = {"acts": 0, "tenures": 0, "refused": 0}, 0
    with ProcessPoolExecutor(jobs) as pool:
        for line in pool.map(run_drill, schedules):
            failed += bool(line["wrong"])
            totals = {name: count + line[name] for name, count in totals.items()}
            if out:
                with out.open("ab") as file:
                    file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
            if line["wrong"]:
                click.echo(f"{line['name']} fenced={line['fenced']}: {line['wrong'][:3]}")
    click.echo(f"{len(schedules)} drills, {failed} with violations; {totals}")
    raise SystemExit(1 if failed else 0)


def run_single_soak(seed: int, conductors: int | None, cancel: bool, peers: bool) -> soak.Outcome:
    """Run one soak test. One that does not end is reported as a violation."""
    try:
        return soak.run_soak(seed, conductors, cancel=cancel, peers=peers)
    except TimeoutError:
        return soak.Outcome(seed, conductors or 0, problems=[Violation("hang", "the soak test did not end")])


@lab.command("soak")
@click.option("--seeds", default=4, show_default=True, help="Number of soak tests to run.")
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option(
    "--conductors", type=click.IntRange(2, 200), help="Conductors per soak test; 10 to 20 by default."
)
@click.option(
    "--jobs",
    default=1,
    show_default=True,
    help="Number of concurrent soak tests; each uses about four cores.",
)
@click.option(
    "--cancel/--no-cancel",
    default=True,
    show_default=True,
    help="Whether the settings permit conductors to cancel attempts.",
)
@click.option(
    "--peers/--no-peers",
    default=False,
    show_default=True,
    help="Add crowds and floods of clients, and endpoints that read or write slowly or end streams badly.",
)
@click.option(
    "--out", type=click.Path(path_type=Path), help="Append a JSON line for each soak test to this file."
)
def run_soaks(
    seeds: int, first: int, conductors: int | None, jobs: int, cancel: bool, peers: bool, out: Path | None
) -> None:
    """Run random faults against real conductors, and check what clients and endpoints observed."""
    failed = void = 0
    with ProcessPoolExecutor(jobs) as pool:
        run = partial(run_single_soak, conductors=conductors, cancel=cancel, peers=peers)
        for result in pool.map(run, range(first, first + seeds)):
            line = asdict(result)
            failed, void = failed + bool(result.problems), void + result.void
            if out:
                with out.open("ab") as file:
                    file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
            click.echo(
                f"seed {result.seed}: {result.asks} requests, {result.served} served, "
                f"{len(result.problems)} violations, peak {result.peak_mb} MB"
                f"{', void' if result.void else ''}"
            )
            for problem in result.problems[:5]:
                click.echo(f"  {problem}")
    click.echo(f"{seeds} soak tests, {failed} with violations, {void} void")
    raise SystemExit(1 if failed else 0)


@lab.command("faulty", context_settings={"ignore_unknown_options": True})
@click.argument("plan", type=click.Path(path_type=Path))
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def faulty(plan: Path, arguments: tuple[str, ...]) -> None:
    """Run the conductor in this process with system call faults injected from PLAN (docs/lab.md)."""
    try:
        faults.install(faults.load_plan(plan))
    except faults.PlanError as error:
        raise click.UsageError(str(error)) from None
    from hoplane.conductor import main

    signals.install_early_handlers()
    raise SystemExit(main(list(arguments)))


@lab.command("bench-lease")
@click.option(
    "--failovers",
    default=20,
    show_default=True,
    help="Number of failovers after a kill, and after a graceful shutdown.",
)
@click.option(
    "--conductors",
    default=200,
    show_default=True,
    help="Number of lease holders that renew at the etcd stand-in.",
)
@click.option("--out", type=click.Path(path_type=Path), help="Write the table to this file, in Markdown.")
def bench_lease(failovers: int, conductors: int, out: Path | None) -> None:
    """Measure the failover time, the cost of renewals, and the request latency with and without leases."""
    table = lease_benchmark.format_table(asyncio.run(lease_benchmark.measure(failovers, conductors)))
    click.echo(table)
    if out:
        out.write_text(table)


@lab.command("bench-shared")
@click.option("--out", type=click.Path(path_type=Path), help="Write the table to this file, in Markdown.")
@click.option(
    "--chart", type=click.Path(path_type=Path), help="Plot the sends against the budget in this PNG file."
)
def bench_shared(out: Path | None, chart: Path | None) -> None:
    """Measure shared budgets, service during a partition, and request latency with and without sharing."""
    rows, runs = asyncio.run(shared_benchmark.measure())
    click.echo(table := lease_benchmark.format_table(rows))
    if out:
        out.write_text(table)
    if chart:
        shared_benchmark.chart(runs, chart)


if __name__ == "__main__":
    lab()
