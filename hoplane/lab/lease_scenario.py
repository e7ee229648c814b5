"""Runs a fault schedule against real conductors that share one lease, and checks all their actions."""

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
from .etcd_stub import EtcdStub
from .faulty_proxy import FaultyProxy
from .fenced_resource import FencedResource
from .schedule import Fault, Schedule

TTL, ACTION_TIMEOUT_MS, MAX_CLOCK_DRIFT = 2, 150, 0.02  # lease terms; TTL in seconds
ACTION_SECONDS = 0.06  # duration of an action at a resource
START_TIMEOUT = 15.0  # seconds
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
class LeaseScenarioResult:
    """Result of a run: recorded actions, violations, and the events from the conductors' logs."""

    schedule: Schedule
    actions: list[Action]
    violations: list[str]
    rejected_actions: int  # actions that resources rejected for a stale token
    events: list[dict] = field(default_factory=list)

    def tenures(self) -> list[int]:
        """Return the tokens of all actions, in order of use."""
        return list(
            dict.fromkeys(action.token for action in sorted(self.actions, key=lambda action: action.started))
        )


def loopback_address(conductor_index: int) -> str:
    """Return a loopback address derived from the process ID, so that concurrent runs do not collide."""
    high, low = divmod(os.getpid(), 250)
    return f"127.{100 + high // 250 % 100}.{high % 250}.{low + 1}:{9000 + conductor_index}"


def lease_section(clock_rate: float) -> str:
    """Return the section of a configuration file that enables the lease."""
    return (
        f'[lease]\nengine = ["{{engine}}"]\nttl_s = {TTL}\nact_ms = {ACTION_TIMEOUT_MS}\ncall_ms = 300\n'
        f"every_ms = 20\ndrift = {MAX_CLOCK_DRIFT}\nclock_rate = {clock_rate}\n"
    )


class ConductorProcess:
    """A real conductor process, with its own proxies to etcd and to each resource.

    `config_section` is the section of its configuration file that enables the shared features, with a
    placeholder for the address of etcd. `started_at_ms` is the last start of each resource as Unix time in
    ms, 0 for long ago."""

    def __init__(
        self,
        conductor_index: int,
        directory: Path,
        etcd_proxy: FaultyProxy,
        resource_proxies: list[FaultyProxy],
        config_section: str,
        started_at_ms: tuple[int, ...] = (),
    ) -> None:
        self.name, self.directory, self.etcd_proxy, self.resource_proxies = (
            f"c{conductor_index}",
            directory,
            etcd_proxy,
            resource_proxies,
        )
        self.address = loopback_address(conductor_index)
        self.config_file, self.log_file = (
            directory / f"c{conductor_index}.toml",
            directory / f"c{conductor_index}.log",
        )
        self.start_count, self.killed = 0, False
        (directory / f"{self.name}-clusters.json").write_bytes(
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
                    "address": {"socket_address": {"address": "127.0.0.1", "port_value": proxy.port}}
                },
                "health_status": "HEALTHY",
                "metadata": {
                    "filter_metadata": {
                        "hoplane": {
                            "name": f"r{index}",
                            "since_ms": started_at_ms[index] if started_at_ms else 0,
                        }
                    }
                },
            }
            for index, proxy in enumerate(resource_proxies)
        ]
        (directory / f"{self.name}-endpoints.json").write_bytes(
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
        self.config_file.write_text(
            f'name = "{self.name}"\nlisten = "{self.address}"\n'
            f'[xds]\nclusters = "{self.name}-clusters.json"\nendpoints = "{self.name}-endpoints.json"\n'
            f"{config_section.format(engine=etcd_proxy.address)}{SETTINGS}"
        )

    async def start(self) -> None:
        self.start_count += 1
        with self.log_file.open("ab") as log:
            command = (sys.executable, "-m", "hoplane", str(self.config_file))
            self.process = await asyncio.create_subprocess_exec(*command, stderr=log)

    async def wait_until_ready(self) -> None:
        """Wait until the log contains a "started" event for each start."""
        for _ in range(int(START_TIMEOUT / 0.02)):
            if self.log_file.read_bytes().count(b'"started"') >= self.start_count:
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"{self.name} did not start: {self.log_file.read_text()}")

    def send_signal(self, number: int) -> None:
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def shut_down(self) -> int:
        """Shut down gracefully and return the exit status."""
        self.send_signal(signal.SIGCONT)
        await self.wait_until_ready()
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), 10)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
            return -signal.SIGKILL

    def log_events(self) -> list[dict]:
        return [{**orjson.loads(line), "who": self.name} for line in self.log_file.read_bytes().splitlines()]


async def inject_fault(fault: Fault, conductor: ConductorProcess, etcd: EtcdStub) -> None:
    """Inject a fault now, and clear it after its duration."""
    match fault.kind:
        case "link" | "act":
            proxies = [conductor.etcd_proxy] if fault.kind == "link" else conductor.resource_proxies
            for proxy in proxies:
                proxy.apply_faults(fault.settings)
            await asyncio.sleep(fault.duration)
            for proxy in proxies:
                proxy.apply_faults({})
        case "stop":
            conductor.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration)
            conductor.send_signal(signal.SIGCONT)
        case "kill" if not conductor.killed:  # otherwise an earlier fault is about to restart it
            conductor.killed = True
            conductor.send_signal(signal.SIGCONT)
            conductor.send_signal(signal.SIGKILL)
            await conductor.process.wait()
            await asyncio.sleep(fault.duration)
            await conductor.start()
            conductor.killed = False
        case "engine":
            await etcd.apply_faults(fault.settings)
            await asyncio.sleep(fault.duration)
            await etcd.apply_faults({"delay_ms": 0, "drop": 0.0})


class LeaseScenario:
    """Runs the conductors, resources and etcd stand-in of one schedule and injects its faults."""

    def __init__(self, schedule: Schedule, resources: int = 2) -> None:
        self.schedule, self.resource_count = schedule, resources

    async def run(self) -> LeaseScenarioResult:
        """Run the schedule to its end and return the result."""
        schedule = self.schedule
        async with AsyncExitStack() as stack:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="hoplane-drill-")))
            self.etcd = await stack.enter_async_context(EtcdStub(seed=1))
            resources = []
            for index in range(self.resource_count):
                resource = FencedResource(f"r{index}", ACTION_SECONDS, schedule.fenced)
                resources.append(await stack.enter_async_context(resource))
            self.conductors = []
            for conductor_index in range(schedule.conductor_count):
                proxy = await stack.enter_async_context(FaultyProxy(self.etcd.address, seed=conductor_index))
                resource_proxies = [
                    await stack.enter_async_context(FaultyProxy(each.address, seed=conductor_index))
                    for each in resources
                ]
                self.conductors.append(
                    ConductorProcess(
                        conductor_index,
                        directory,
                        proxy,
                        resource_proxies,
                        lease_section(schedule.clock_rate(conductor_index)),
                    )
                )
            try:
                await asyncio.gather(*(each.start() for each in self.conductors))
                await asyncio.gather(*(each.wait_until_ready() for each in self.conductors))
                fault_tasks = [asyncio.create_task(self.schedule_fault(fault)) for fault in schedule.faults]
                await asyncio.sleep(schedule.duration)
                await asyncio.gather(*fault_tasks)
                exit_statuses = await asyncio.gather(*(each.shut_down() for each in self.conductors))
            finally:
                for each in self.conductors:
                    if each.process.returncode is None:
                        each.send_signal(signal.SIGKILL)
                        await each.process.wait()
            actions = [action for each in resources for action in each.actions]
            violations = find_violations(actions, across_resources=not schedule.fenced)
            violations += [
                f"c{conductor_index} exited with status {s}"
                for conductor_index, s in enumerate(exit_statuses)
                if s != 0
            ]
            events = [line for each in self.conductors for line in each.log_events()]
            return LeaseScenarioResult(
                schedule, actions, violations, sum(each.rejected_actions for each in resources), events
            )

    async def schedule_fault(self, fault: Fault) -> None:
        """Inject a fault at its start time, and clear it after its duration."""
        await asyncio.sleep(fault.start)
        if fault.kind == "holder":  # the current holder according to etcd
            fault = Fault(
                0, fault.duration, fault.settings["kind"], self.current_holder(), fault.settings["what"]
            )
        await inject_fault(fault, self.conductors[fault.conductor_index], self.etcd)

    def current_holder(self) -> int:
        pair = self.etcd.store.pairs.get(b"hoplane/patrol")
        return int(pair.value[1:]) if pair else 0


def run_scenario(schedule: Schedule) -> LeaseScenarioResult:
    """Run one schedule in its own event loop."""
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    return asyncio.run(LeaseScenario(schedule).run())
