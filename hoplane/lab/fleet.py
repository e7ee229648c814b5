"""Plays faults against conductors that share budgets, counts and verdicts, and checks the bounds."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from bisect import bisect_right
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from itertools import chain
from pathlib import Path

import aiohttp

from .drill import Conductor, strike
from .engine import Engine
from .link import Link
from .resource import Resource
from .schedule import Fault, Schedule

TTL, WINDOW_MS, BOUND, DRIFT = 3, 500, 20, 0.02
KEEP_MS, FAILURES = 2000, 3
SETTLE = 2.5  # seconds after the load in which the last counts are shared


def sharing(most: int, rate: float = 1.0) -> str:
    """Give the part of a file that makes a conductor share."""
    return (
        f'[shared]\nengine = ["{{engine}}"]\nttl_s = {TTL}\nevery_ms = 200\ncall_ms = 250\ndrift = {DRIFT}\n'
        f"most = {most}\nreserve = 0.3\ncold_sends = {BOUND}\nwindow_ms = {WINDOW_MS}\n"
        f"failures = {FAILURES}\nkeep_ms = {KEEP_MS}\nclock_rate = {rate}\n"
    )


@dataclass(slots=True)
class Found:
    """What a drill showed."""

    most: dict[str, int]  # by cold resource, the most sends of all conductors in a window
    bound: int
    statuses: dict[int, int]  # answers to clients, by status
    answers: list[tuple[float, int, int]]  # when, conductor, status
    totals: list[dict[str, int]]  # each conductor's view of the fleet's counts at its end
    mine: list[dict[str, int]]  # and its own
    sends: dict[str, list[tuple[float, str]]]
    events: list[dict] = field(default_factory=list)
    begun: float = 0.0
    problems: list[str] = field(default_factory=list)


def most_in(times: list[float], window: float) -> int:
    """Give the most that came in any window."""
    found = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1
        found = max(found, last - first + 1)
    return found


def audit(events: list[dict], resource: str) -> dict[str, list[float]]:
    """Give when each conductor sent to a cold resource, by their logs.

    Their own times count: what lies between a send and its arrival here is the machine's."""
    found: dict[str, list[float]] = {}
    for line in events:
        if line["event"] == "cold_send" and line["endpoint"] == resource:
            found.setdefault(line["who"], []).append(line["monotonic"])
    return {who: sorted(times) for who, times in found.items()}


def untold(resource: str, came: list[tuple[float, str]], told: dict[str, list[float]]) -> list[str]:
    """Name the requests that came to a resource without a send in its conductor's log before them."""
    counts: dict[str, int] = {}
    found = []
    for at, who in sorted(came):
        counts[who] = counts.get(who, 0) + 1
        if bisect_right(told.get(who, []), at) < counts[who]:
            found.append(f"{resource}: a request of {who} came at {at:.3f} that its log does not tell of")
    return found


class Fleet:
    """One schedule at work: `cold` resources that started just now beside those that are `warm`."""

    def __init__(self, schedule: Schedule, per_second: float = 60, warm: int = 1, cold: int = 2) -> None:
        self.schedule, self.per_second, self.warm, self.cold = schedule, per_second, warm, cold
        self.answers: list[tuple[float, int, int]] = []
        self.failing: tuple[float, float] | None = None  # seconds from the start in which resource 0 fails

    async def run(self) -> Found:
        """Play the schedule under load."""
        plan = self.schedule
        async with AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="hoplane-fleet-")))
            self.engine = await stack.enter_async_context(Engine())
            self.resources = []
            for at in range(self.warm + self.cold):
                self.resources.append(await stack.enter_async_context(Resource(f"r{at}", 0.01, fenced=True)))
            since = (*[0] * self.warm, *[round(time.time() * 1000)] * self.cold)
            self.conductors = []
            for who in range(plan.conductors):
                name = f"c{who}"
                link = await stack.enter_async_context(Link(self.engine.address, who, name))
                acts = [await stack.enter_async_context(Link(r.address, who, name)) for r in self.resources]
                part = sharing(plan.conductors, plan.rate(who))
                self.conductors.append(Conductor(who, folder, link, acts, part, since))
            try:
                return await self.play()
            finally:
                for each in self.conductors:
                    if each.process.returncode is None:
                        each.signal(signal.SIGKILL)
                        await each.process.wait()

    async def play(self) -> Found:
        plan = self.schedule
        await asyncio.gather(*(each.start() for each in self.conductors))
        await asyncio.gather(*(each.ready() for each in self.conductors))
        begun = time.monotonic()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            loads = [asyncio.create_task(self.load(session, who)) for who in range(plan.conductors)]
            faults = [asyncio.create_task(self.fault(fault)) for fault in plan.faults]
            faults.append(asyncio.create_task(self.fail()))
            await asyncio.sleep(plan.length)
            for load in loads:
                load.cancel()
            await asyncio.gather(*faults, *loads, return_exceptions=True)
        await asyncio.sleep(SETTLE)
        statuses = await asyncio.gather(*(each.end() for each in self.conductors))
        events = [line for each in self.conductors for line in each.events()]
        last = [[e for e in each.events() if e["event"] == "fleet"][-1:] for each in self.conductors]
        window = WINDOW_MS / 1000 / (1 + DRIFT)
        answered: dict[int, int] = {}
        for _, _, status in self.answers:
            answered[status] = answered.get(status, 0) + 1
        told = {r.name: audit(events, r.name) for r in self.resources[self.warm :]}
        most = {name: most_in(sorted(chain(*times.values())), window) for name, times in told.items()}
        totals, mine = ([line[0][key] for line in last if line] for key in ("counts", "mine"))
        sends = {each.name: each.sends for each in self.resources}
        found = Found(most, BOUND, answered, self.answers, totals, mine, sends, events, begun)
        over = {name: count for name, count in most.items() if count > BOUND}
        found.problems = [f"{name}: {count} sends in a window, of {BOUND}" for name, count in over.items()]
        for each in self.resources[self.warm :]:
            found.problems += untold(each.name, each.sends, told[each.name])
        found.problems += [f"c{who} ended with status {s}" for who, s in enumerate(statuses) if s]
        return found

    async def load(self, session: aiohttp.ClientSession, who: int) -> None:
        """Send requests to one conductor at a steady rate, however slowly they are answered."""
        tasks: set[asyncio.Task] = set()
        try:
            for number in range(1 << 30):
                task = asyncio.create_task(self.ask(session, who, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / self.per_second)
        finally:
            if tasks:
                await asyncio.wait(tasks, timeout=3)

    async def ask(self, session: aiohttp.ClientSession, who: int, number: int) -> None:
        url, status = f"http://{self.conductors[who].address}/v2/models/m/infer", 0
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            told = {"session": f"s{number % 97}"}  # which spreads requests over the readers' ring
            body = {"id": f"{who}-{number}", "inputs": [], "parameters": told}
            async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=6)) as response:
                await response.read()
                status = response.status
        self.answers.append((time.monotonic(), who, status))

    async def fail(self) -> None:
        if self.failing:
            await asyncio.sleep(self.failing[0])
            self.resources[0].failing = True
            await asyncio.sleep(self.failing[1] - self.failing[0])
            self.resources[0].failing = False

    async def fault(self, fault: Fault) -> None:
        """Bring a fault about at its time, and heal it."""
        await asyncio.sleep(fault.at)
        await strike(fault, self.conductors[fault.who], self.engine)


def play(fleet: Fleet) -> Found:
    """Play a fleet in an event loop of its own."""
    return asyncio.run(fleet.run())
