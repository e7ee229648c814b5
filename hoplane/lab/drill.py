"""Plays a schedule of faults against real conductors that share one lease, and checks every act they did."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from .checker import Action, find_violations
from .engine import Engine
from .link import Link
from .resource import Resource
from .schedule import Fault, Schedule

TTL, ACT_MS, DRIFT = 2, 150, 0.02  # the drill's terms; its clocks run within DRIFT
TAKES = 0.06  # seconds that an act takes at a resource
READY = 15.0  # seconds for conductors to start
SETTINGS = """
[settings]
kinds = ["mixed"]
[settings.family_info]
duty_by_kind = ["both"]
local_read = true
[settings.allowed]
attempts_cap = 3
[settings.rules]
cold = 60000000000
cold_share = 0.3
overload_factor = 2.5
[[settings.lanes]]
name = "only"
target = 1000000000
hard_limit = 5000000000
idempotency = "pure"
"""


@dataclass(slots=True)
class Found:
    """What a drill showed: acts, what broke the rule, and what the conductors' logs told."""

    schedule: Schedule
    acts: list[Action]
    problems: list[str]
    refused: int  # acts under stale tokens that resources turned away
    events: list[dict] = field(default_factory=list)

    def tenures(self) -> list[int]:
        """Give the tokens under which something was done, in order."""
        return list(dict.fromkeys(act.token for act in sorted(self.acts, key=lambda act: act.started)))


def own_address(who: int) -> str:
    """Give a loopback address of this process's own, so that drills side by side never meet."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{100 + high // 250 % 100}.{high % 250}.{low + 1}:{9000 + who}"


def leased(rate: float) -> str:
    """Give the part of a file that puts a conductor on patrol."""
    return (
        f'[lease]\nengine = ["{{engine}}"]\nttl_s = {TTL}\nact_ms = {ACT_MS}\ncall_ms = 300\n'
        f"every_ms = 20\ndrift = {DRIFT}\nclock_rate = {rate}\n"
    )


class Conductor:
    """One real conductor, with links of its own to the engine and to each resource.

    `part`: the part of its file that switches on what the fleet does together. `since`: when each resource
    started last, as Unix time in ms, 0 for long ago."""

    def __init__(
        self, who: int, folder: Path, engine: Link, acts: list[Link], part: str, since: tuple[int, ...] = ()
    ) -> None:
        self.name, self.folder, self.engine, self.acts = f"c{who}", folder, engine, acts
        self.address = own_address(who)
        self.file, self.log = folder / f"c{who}.toml", folder / f"c{who}.log"
        self.starts, self.killed = 0, False
        (folder / f"{self.name}-clusters.json").write_bytes(
            orjson.dumps(
                {
                    "resources": [
                        {
                            "@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster",
                            "name": "m",
                            "type": "EDS",
                            "metadata": {"filter_metadata": {"hoplane": {"kind": "mixed"}}},
                        }
                    ]
                }
            )
        )
        endpoints = [
            {
                "endpoint": {
                    "address": {"socket_address": {"address": "127.0.0.1", "port_value": link.port}}
                },
                "health_status": "HEALTHY",
                "metadata": {
                    "filter_metadata": {"hoplane": {"name": f"r{at}", "since_ms": since[at] if since else 0}}
                },
            }
            for at, link in enumerate(acts)
        ]
        (folder / f"{self.name}-endpoints.json").write_bytes(
            orjson.dumps(
                {
                    "resources": [
                        {
                            "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
                            "cluster_name": "m",
                            "endpoints": [{"locality": {"zone": "z"}, "lb_endpoints": endpoints}],
                        }
                    ]
                }
            )
        )
        self.file.write_text(
            f'name = "{self.name}"\nlisten = "{self.address}"\n'
            f'[xds]\nclusters = "{self.name}-clusters.json"\nendpoints = "{self.name}-endpoints.json"\n'
            f"{part.format(engine=engine.address)}{SETTINGS}"
        )

    async def start(self) -> None:
        self.starts += 1
        with self.log.open("ab") as log:
            command = (sys.executable, "-m", "hoplane", str(self.file))
            self.process = await asyncio.create_subprocess_exec(*command, stderr=log)

    async def ready(self) -> None:
        """Wait until it says that it has started, as often as it was."""
        for _ in range(int(READY / 0.02)):
            if self.log.read_bytes().count(b'"started"') >= self.starts:
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{self.name} did not start: {self.log.read_text()}")

    def signal(self, number: int) -> None:
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> int:
        """End it in order, and give its status."""
        self.signal(signal.SIGCONT)
        await self.ready()
        self.signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), 10)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return -signal.SIGKILL

    def events(self) -> list[dict]:
        return [{**orjson.loads(line), "who": self.name} for line in self.log.read_bytes().splitlines()]


async def strike(fault: Fault, it: Conductor, engine: Engine) -> None:
    """Bring a fault about now, and heal it."""
    match fault.kind:
        case "link" | "act":
            links = [it.engine] if fault.kind == "link" else it.acts
            for link in links:
                link.apply(fault.what)
            await asyncio.sleep(fault.length)
            for link in links:
                link.apply({})
        case "stop":
            it.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.length)
            it.signal(signal.SIGCONT)
        case "kill" if not it.killed:  # else an earlier fault has killed it, and starts it again
            it.killed = True
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
            await it.process.wait()
            await asyncio.sleep(fault.length)
            await it.start()
            it.killed = False
        case "engine":
            await engine.apply(fault.what)
            await asyncio.sleep(fault.length)
            await engine.apply({"delay_ms": 0, "drop": 0.0})


class Drill:
    """One schedule at work."""

    def __init__(self, schedule: Schedule, resources: int = 2) -> None:
        self.schedule, self.count = schedule, resources

    async def run(self) -> Found:
        """Play the schedule to its end, and give what it showed."""
        plan = self.schedule
        async with AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="hoplane-drill-")))
            self.engine = await stack.enter_async_context(Engine(seed=1))
            resources = []
            for at in range(self.count):
                resource = Resource(f"r{at}", TAKES, plan.fenced)
                resources.append(await stack.enter_async_context(resource))
            self.conductors = []
            for who in range(plan.conductors):
                link = await stack.enter_async_context(Link(self.engine.address, seed=who))
                acts = [await stack.enter_async_context(Link(each.address, seed=who)) for each in resources]
                self.conductors.append(Conductor(who, folder, link, acts, leased(plan.rate(who))))
            try:
                await asyncio.gather(*(each.start() for each in self.conductors))
                await asyncio.gather(*(each.ready() for each in self.conductors))
                faults = [asyncio.create_task(self.play(fault)) for fault in plan.faults]
                await asyncio.sleep(plan.length)
                await asyncio.gather(*faults)
                statuses = await asyncio.gather(*(each.end() for each in self.conductors))
            finally:
                for each in self.conductors:
                    if each.process.returncode is None:
                        each.signal(signal.SIGKILL)
                        await each.process.wait()
            acts = [act for each in resources for act in each.acts]
            found = find_violations(acts, across_resources=not plan.fenced)
            found += [f"c{who} ended with status {s}" for who, s in enumerate(statuses) if s != 0]
            events = [line for each in self.conductors for line in each.events()]
            return Found(plan, acts, found, sum(each.refused for each in resources), events)

    async def play(self, fault: Fault) -> None:
        """Bring a fault about at its time, and heal it."""
        await asyncio.sleep(fault.at)
        if fault.kind == "holder":  # whoever holds the lease at that time, as the engine knows it
            fault = Fault(0, fault.length, fault.what["kind"], self.holding(), fault.what["what"])
        await strike(fault, self.conductors[fault.who], self.engine)

    def holding(self) -> int:
        pair = self.engine.store.pairs.get(b"hoplane/patrol")
        return int(pair.value[1:]) if pair else 0


def play(schedule: Schedule) -> Found:
    """Play one schedule in an event loop of its own."""
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    return asyncio.run(Drill(schedule).run())
