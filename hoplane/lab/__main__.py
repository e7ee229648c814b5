"""The lab's command line: `python -m hoplane.lab COMMAND --help`."""

from __future__ import annotations

import asyncio
import os
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

import click
import orjson

from hoplane.net import signals

from . import bench, drill, faults, schedule, share_bench, soak
from .engine import Engine
from .link import Link
from .soak_oracle import Violation

JOBS = max(1, (os.cpu_count() or 2) // 3)  # drills at once: each runs some five processes


@click.group()
def lab() -> None:
    """Stand-ins, fault links and drills. Everything listens on loopback alone."""


async def forever(server: Engine | Link, saying: str) -> None:
    """Serve until interrupted."""
    async with server:
        click.echo(f"{saying} {server.address}")
        await asyncio.Event().wait()


@lab.command()
@click.option("--port", default=2379, show_default=True, help="Where to listen on 127.0.0.1.")
def engine(port: int) -> None:
    """Start a stand-in for etcd's v3 JSON gateway; POST /lab/faults breaks it on command."""
    asyncio.run(forever(Engine(port), "engine at"))


@lab.command()
@click.argument("target")
@click.option("--faults", default="{}", help='JSON, such as {"reply_ms": [500, 900], "drop_requests": 0.1}.')
@click.option("--seed", default=1, show_default=True)
def link(target: str, faults: str, seed: int) -> None:
    """Stand before the server at TARGET (HOST:PORT) and pass calls on with faults."""
    told, passing = orjson.loads(faults), Link(target, seed)
    if unknown := set(told) - set(schedule.HEALED):
        raise click.BadParameter(f"{min(unknown)} is not known; known are {', '.join(schedule.HEALED)}")
    passing.apply(told)
    asyncio.run(forever(passing, f"link to {target} at"))


def played(plan: schedule.Schedule) -> dict:
    """Play one schedule and give a line of the table."""
    kinds = [f.what["kind"] if f.kind == "holder" else f.kind for f in plan.faults]
    try:
        found = drill.play(plan)
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
    wrong = found.problems + [str(line) for line in found.events if line["event"] in faulty]
    return {
        "name": plan.name,
        "fenced": plan.fenced,
        "acts": len(found.acts),
        "tenures": len(found.tenures()),
        "refused": found.refused,
        "faults": kinds,
        "wrong": wrong,
    }


@lab.command("drill")
@click.option("--seeds", default=10, show_default=True, help="Schedules, each fenced and not.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--conductors", default=4, show_default=True)
@click.option("--jobs", default=JOBS, show_default=True, help="Drills at once.")
@click.option("--out", type=click.Path(path_type=Path), help="Keep a JSON line for each drill in this file.")
def drills(seeds: int, first: int, conductors: int, jobs: int, out: Path | None) -> None:
    """Play drawn schedules of faults against real conductors that share a lease, and check all they did."""
    plans = [
        schedule.draw(seed, conductors, drill.TTL, drill.DRIFT, fenced)
        for seed in range(first, first + seeds)
        for fenced in (True, False)
    ]
    total, wrong = {"acts": 0, "tenures": 0, "refused": 0}, 0
    with ProcessPoolExecutor(jobs) as pool:
        for line in pool.map(played, plans):
            wrong += bool(line["wrong"])
            total = {name: count + line[name] for name, count in total.items()}
            if out:
                with out.open("ab") as file:
                    file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
            if line["wrong"]:
                click.echo(f"{line['name']} fenced={line['fenced']}: {line['wrong'][:3]}")
    click.echo(f"{len(plans)} drills, {wrong} wrong; {total}")
    raise SystemExit(1 if wrong else 0)


def soaked(seed: int, conductors: int | None) -> soak.Outcome:
    """Play one soak; one that does not end counts as a broken rule."""
    try:
        return soak.run_soak(seed, conductors)
    except TimeoutError:
        return soak.Outcome(seed, conductors or 0, problems=[Violation("hang", "the soak did not end")])


@lab.command("soak")
@click.option("--seeds", default=4, show_default=True, help="How many soaks to play.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--conductors", type=click.IntRange(2, 200), help="Processes of each, 10 to 20 without.")
@click.option("--jobs", default=1, show_default=True, help="Soaks at once; each keeps some four cores busy.")
@click.option("--out", type=click.Path(path_type=Path), help="Keep a JSON line for each soak in this file.")
def soaks(seeds: int, first: int, conductors: int | None, jobs: int, out: Path | None) -> None:
    """Play drawn faults against real conductors, and judge what clients and endpoints saw by the terms."""
    broken = void = 0
    with ProcessPoolExecutor(jobs) as pool:
        for found in pool.map(soaked, range(first, first + seeds), [conductors] * seeds):
            told = asdict(found)
            broken, void = broken + bool(found.problems), void + found.void
            if out:
                with out.open("ab") as file:
                    file.write(orjson.dumps(told, option=orjson.OPT_APPEND_NEWLINE))
            click.echo(
                f"seed {found.seed}: {found.asks} asked, {found.served} served, "
                f"{len(found.problems)} broken rules{', void' if found.void else ''}"
            )
            for problem in found.problems[:5]:
                click.echo(f"  {problem}")
    click.echo(f"{seeds} soaks, {broken} with broken rules, {void} void")
    raise SystemExit(1 if broken else 0)


@lab.command("faulty", context_settings={"ignore_unknown_options": True})
@click.argument("plan", type=click.Path(path_type=Path))
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def faulty(plan: Path, arguments: tuple[str, ...]) -> None:
    """Run the program in this process with system calls that fail as PLAN says (docs/lab.md)."""
    try:
        faults.install(faults.load_plan(plan))
    except faults.PlanError as error:
        raise click.UsageError(str(error)) from None
    from hoplane.conductor import main

    signals.install_early_handlers()
    raise SystemExit(main(list(arguments)))


@lab.command("bench-lease")
@click.option("--failovers", default=20, show_default=True, help="Holders to kill and to end in order.")
@click.option("--conductors", default=200, show_default=True, help="Holders that renew at the engine.")
@click.option("--out", type=click.Path(path_type=Path), help="Write the table to this file, in Markdown.")
def bench_lease(failovers: int, conductors: int, out: Path | None) -> None:
    """Measure how soon a new holder acts, what the engine's renewals cost, and the request path beside it."""
    table = bench.table(asyncio.run(bench.measure(failovers, conductors)))
    click.echo(table)
    if out:
        out.write_text(table)


@lab.command("bench-shared")
@click.option("--out", type=click.Path(path_type=Path), help="Write the table to this file, in Markdown.")
@click.option("--chart", type=click.Path(path_type=Path), help="Draw sends against the bound, as PNG.")
def bench_shared(out: Path | None, chart: Path | None) -> None:
    """Measure budgets, service around a partition, and the request path beside them."""
    rows, runs = asyncio.run(share_bench.measure())
    click.echo(table := bench.table(rows))
    if out:
        out.write_text(table)
    if chart:
        share_bench.chart(runs, chart)


if __name__ == "__main__":
    lab()
