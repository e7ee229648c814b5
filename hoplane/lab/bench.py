"""Measures leases: failover, renewals for a fleet, and what they cost the request path."""

from __future__ import annotations

import asyncio
import resource as usage
import signal
import tempfile
import time
from contextlib import AsyncExitStack
from datetime import timedelta
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from hoplane.lease.elector import LeaderElector, monotonic_clock
from hoplane.lease.etcd import EtcdClient
from hoplane.lease.state_machine import LeaseTerms

from .drill import TAKES, TTL, Conductor, leased
from .engine import Engine
from .link import Link
from .resource import Resource

WAIT = 4 * TTL  # seconds in which a new holder must act
REQUESTS, BURSTS = 400, 6  # of the request path, by turns with leases on and off
Row = tuple[str, str, str]


def histogram() -> HdrHistogram:
    """Give a histogram of microseconds, up to a minute, to three digits."""
    return HdrHistogram(1, 60_000_000, 3)


def figures(found: HdrHistogram, unit: float = 1000, name: str = "ms") -> str:
    """Write the median, the 99th percentile and the most."""
    p50, p99 = (found.get_value_at_percentile(p) / unit for p in (50, 99))
    most = found.get_max_value() / unit
    return f"p50 {p50:.2f}, p99 {p99:.2f}, most {most:.2f} {name} (n {found.total_count})"


async def until(done, seconds: float) -> bool:
    """Wait until something holds."""
    end = time.monotonic() + seconds
    while not done():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.005)
    return True


async def failover(count: int, kind: int) -> HdrHistogram:
    """Measure the time from a holder's end to the next one's first act, with three real conductors."""
    found = histogram()
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="hoplane-bench-")))
        engine = await stack.enter_async_context(Engine())
        acted = await stack.enter_async_context(Resource("r0", TAKES, fenced=True))
        fleet = []
        for who in range(3):
            links = [await stack.enter_async_context(Link(each.address)) for each in (engine, acted)]
            fleet.append(Conductor(who, folder, links[0], links[1:], leased(1.0)))
        for each in fleet:
            await each.start()
        for each in fleet:
            await each.ready()
        try:
            for _ in range(count):
                before = len(acted.acts)
                if not await until(lambda b=before: len(acted.acts) > b + 3, WAIT):
                    raise TimeoutError("nobody acts")
                token = acted.acts[-1].token
                holder = next(each for each in fleet if each.name == acted.acts[-1].holder)
                ended = time.monotonic()
                holder.signal(kind)
                if not await until(lambda t=token: acted.acts[-1].token > t, WAIT):
                    raise TimeoutError("no new holder")
                begun = next(act.started for act in acted.acts if act.token > token)
                found.record_value(max(1, round((begun - ended) * 1e6)))
                await holder.process.wait()
                await holder.start()
                await holder.ready()
        finally:
            for each in fleet:
                each.signal(signal.SIGKILL)
                await each.process.wait()
    return found


async def renewals(conductors: int, seconds: float = 10.0) -> tuple[float, float, HdrHistogram]:
    """Let so many holders, each with its lease, renew at one engine.

    Gives renewals a second, the share of a core that engine and holders took, and the calls' times."""
    terms, found = (
        LeaseTerms(ttl=timedelta(seconds=TTL), action_timeout=timedelta(milliseconds=150)),
        histogram(),
    )
    async with Engine() as engine:
        clients = [EtcdClient([engine.address], timedelta(milliseconds=500)) for _ in range(conductors)]
        electors = [
            LeaderElector(f"bench/{at}", f"c{at}", terms, client, monotonic_clock(), at)
            for at, client in enumerate(clients)
        ]
        for elector in electors:
            elector.log = Silent()
            elector.renew = timed(elector.renew, found)
        tasks = [asyncio.create_task(elector.run()) for elector in electors]
        await asyncio.sleep(2 * TTL)
        begun, cpu = sum(k.counts["renewed"] for k in electors), time.process_time()
        await asyncio.sleep(seconds)
        rate = (sum(k.counts["renewed"] for k in electors) - begun) / seconds
        share = (time.process_time() - cpu) / seconds
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *(task for k in electors for task in k.tasks), return_exceptions=True)
        for client in clients:
            await client.close()
    return rate, share, found


class Silent:
    """Takes log lines and drops them."""

    def info(self, *_: object, **__: object) -> None:
        """Drop a line."""


def timed(call, found: HdrHistogram):
    """Count the time of each of a call."""

    async def wrapped(*arguments: object) -> None:
        begun = time.perf_counter()
        await call(*arguments)
        found.record_value(max(1, round((time.perf_counter() - begun) * 1e6)))

    return wrapped


async def path(part: str, folder: Path, engine: Engine, acted: Resource) -> tuple[HdrHistogram, float]:
    """Send requests through one conductor, and give their times and its processor time a request in ms."""
    found = histogram()
    async with Link(engine.address) as to_engine, Link(acted.address) as to_endpoint:
        it = Conductor(0, folder, to_engine, [to_endpoint], part)
        await it.start()
        await it.ready()
        url = f"http://{it.address}/v2/models/m/infer"
        before = usage.getrusage(usage.RUSAGE_CHILDREN)
        async with aiohttp.ClientSession() as session:
            for number in range(REQUESTS):
                begun = time.perf_counter()
                async with session.post(url, json={"id": f"{number}", "inputs": []}) as response:
                    await response.read()
                    if response.status != 200:
                        raise RuntimeError(f"status {response.status}")
                found.record_value(max(1, round((time.perf_counter() - begun) * 1e6)))
        await it.end()
        after = usage.getrusage(usage.RUSAGE_CHILDREN)
        return found, (after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime) * 1000 / REQUESTS


async def beside(part: str) -> tuple[dict[bool, HdrHistogram], dict[bool, float]]:
    """Measure the request path with a part of the file on and off, by turns."""
    found, cost = {True: histogram(), False: histogram()}, {True: 0.0, False: 0.0}
    async with Engine() as engine, Resource("r0", 0.002, fenced=True) as acted:
        for turn in range(2 * BURSTS):
            on = turn % 2 == 0
            with tempfile.TemporaryDirectory(prefix="hoplane-bench-") as folder:
                times, cpu = await path(part if on else "", Path(folder), engine, acted)
            found[on].add(times)
            cost[on] += cpu / BURSTS
    return found, cost


async def measure(failovers: int, conductors: int) -> list[Row]:
    """Measure all, and give the rows of the table."""
    killed = await failover(failovers, signal.SIGKILL)
    ended = await failover(failovers, signal.SIGTERM)
    rate, share, calls = await renewals(conductors)
    times, cost = await beside(leased(1.0))
    how = f"3 conductors, ttl {TTL} s"
    return [
        ("time to a new holder's first act, holder killed", figures(killed), how),
        ("the same, holder ended in order", figures(ended), how),
        (f"renewals a second of {conductors} holders", f"{rate:.0f}/s", f"ttl {TTL} s, one process"),
        ("processor time of these, engine and holders", f"{share:.2f} of a core", "the same"),
        ("a renewal's time, as a holder sees it", figures(calls), "the same"),
        ("a request, leases on", figures(times[True]), f"{cost[True]:.2f} ms processor time, start included"),
        ("a request, leases off", figures(times[False]), f"{cost[False]:.2f} ms, start included"),
    ]


def table(rows: list[Row]) -> str:
    """Write rows as a table in Markdown."""
    lines = [("what", "measured", "how"), ("---", "---", "---"), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)
