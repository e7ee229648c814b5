"""Plays randomized soaks: real conductors under faults that overlap in time, judged by what peers saw."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from .soak_oracle import Problem, Record, judge
from .soak_plan import PLAY, Event, Plan, draw
from .soak_world import DRAIN_GRACE, PORT, RELEASE_WITHIN, Agent, Client, Fleet, Process, now

TICK = 0.02  # seconds between two looks at how late this process itself is
LAG_MOST = 0.6  # seconds: a world that was later than this judges nothing
CROWD = 360  # idle clients, more than a conductor of 1,024 descriptors takes
MOST = 60.0  # seconds that a soak may take
SETTLE = 1.0  # seconds after the last request in which what is held has to go


@dataclass(slots=True)
class Outcome:
    """What a soak showed."""

    seed: int
    conductors: int
    asks: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    restarts: int = 0
    lag: float = 0.0
    void: bool = False
    problems: list[Problem] = field(default_factory=list)


class Soak:
    """One plan at work."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.record = Record(RELEASE_WITHIN, DRAIN_GRACE)
        self.fleet = Fleet(plan, self.record)
        self.processes: list[Process] = []
        self.lag = 0.0
        self.note_broken()
        self.tasks: set[asyncio.Task] = set()

    def note_broken(self) -> None:
        """Note whose connections the plan breaks on their own machine: their ends are nobody's fault."""
        for who, faults in self.plan.call_faults.items():
            if any(each["call"] in ("send", "recv") and "errno" in each for each in faults):
                self.record.broken.add(who, 0.0, float("inf"))

    async def run(self) -> Outcome:
        """Start all, play, end all, and judge."""
        measuring = asyncio.create_task(self.measure())
        await asyncio.gather(*(each.start() for each in self.fleet.endpoints))
        try:
            await self.begin()
            self.lag = 0.0
            await self.play()
        finally:
            for each in self.processes:
                each.signal(signal.SIGCONT)
                each.signal(signal.SIGKILL)
            await asyncio.gather(*(each.stop() for each in self.fleet.endpoints))
            await asyncio.gather(*(each.agent.stop() for each in self.processes))
            measuring.cancel()
        return self.outcome()

    async def begin(self) -> None:
        """Start the conductors and wait until each takes connections."""
        for number in range(self.plan.conductors):
            agent = Agent(number, self.fleet)
            await agent.start()
            self.processes.append(Process(number, self.plan, self.fleet, agent, self.folder))
        await asyncio.gather(*(each.start() for each in self.processes))
        await asyncio.gather(*(each.ready() for each in self.processes))

    async def play(self) -> None:
        """Bring the faults about under load, then end every conductor in order."""
        begun = now()
        clients = [
            asyncio.create_task(
                Client(f"{self.plan.seed}-{each.number}-{at}", each, self.plan, self.record).run(begun + PLAY)
            )
            for each in self.processes
            for at in range(self.plan.clients)
        ]
        for event in self.plan.events:
            await asyncio.sleep(max(0.0, begun + event.at - now()))
            self.spawn(self.strike(event))
        await asyncio.gather(*clients)
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(SETTLE)
        self.record.ended = now()
        await asyncio.gather(*(each.end() for each in self.processes))

    def spawn(self, work) -> None:
        self.tasks.add(asyncio.create_task(work))

    async def strike(self, event: Event) -> None:
        """Bring one event about, and end it."""
        if event.kind in ("cut", "reset", "errors", "spoilt", "drain"):
            await self.strike_endpoint(event)
        elif event.kind == "silent":
            self.fleet.silent = True
            await asyncio.sleep(event.length)
            self.fleet.silent = False
        else:
            await self.strike_conductor(event)

    async def strike_endpoint(self, event: Event) -> None:
        endpoint, begun = self.fleet.endpoints[event.target], now()
        if event.kind == "drain":
            self.fleet.drain(event.target)
            return
        if event.kind == "cut":
            endpoint.path.cut()
            self.record.cut.add(event.target, begun, begun + event.length + 1)
            self.record.faulted.add(event.target, begun - 1, begun + event.length + 1)
            await asyncio.sleep(event.length)
            endpoint.path.heal()
            return
        self.record.faulted.add(event.target, begun - 1, begun + event.length + 1)
        if event.kind == "reset":
            endpoint.path.reset_all()
        elif event.kind == "errors":
            endpoint.errors_until = begun + event.length
        else:
            endpoint.spoilt_until = begun + event.length

    async def strike_conductor(self, event: Event) -> None:
        process = self.processes[event.target]
        if event.kind == "hup":
            process.signal(signal.SIGHUP)
        elif event.kind == "second_term" and process.lives[-1].termed is not None:
            process.signal(signal.SIGTERM)
        elif event.kind == "pause":
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(event.length)
            process.signal(signal.SIGCONT)
        elif event.kind == "crowd":
            await self.crowd(process, event.length)
        elif event.kind in ("term", "kill") and process.lives[-1].termed is process.lives[-1].killed is None:
            await (process.end() if event.kind == "term" else process.kill())
            await process.start()
            await process.ready()

    async def crowd(self, process: Process, length: float) -> None:
        """Fill a conductor's connections with clients that say nothing."""
        opened = []
        for _ in range(CROWD):
            try:
                opened.append(await asyncio.open_connection(process.host, PORT))
            except OSError:
                break
        await asyncio.sleep(length)
        for _, writer in opened:
            writer.transport.abort()

    async def measure(self) -> None:
        """Follow how late this process itself is: what it sees is later by so much."""
        while True:
            due = now() + TICK
            await asyncio.sleep(TICK)
            self.lag = max(self.lag, now() - due)

    def outcome(self) -> Outcome:
        asks, record = self.record.asks, self.record
        record.slack += self.lag
        found = Outcome(self.plan.seed, self.plan.conductors, len(asks), lag=round(self.lag, 3))
        found.served = sum(each.status == 200 and each.whole for each in asks)
        found.refused = sum(each.status in (429, 503) for each in asks)
        found.failed = sum(each.status not in (0, 200, 429, 503) for each in asks)
        found.unanswered = sum(each.status == 0 and each.left is None for each in asks)
        found.restarts = sum(len(lives) - 1 for lives in record.lives.values())
        found.void = self.lag > LAG_MOST
        found.problems = judge(record)
        return found


def play(seed: int, conductors: int | None = None, keep: Path | None = None) -> Outcome:
    """Play one seed in an event loop of its own; logs go to `keep` where it is given."""
    plan = draw(seed, conductors)
    with tempfile.TemporaryDirectory(prefix="hoplane-soak-") as folder:
        at = Path(folder) if keep is None else keep
        at.mkdir(parents=True, exist_ok=True)
        return asyncio.run(asyncio.wait_for(Soak(plan, at).run(), MOST))
