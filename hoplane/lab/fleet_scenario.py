"""Runs a fault schedule under load against conductors that share budgets, counts and failure reports."""

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

from .etcd_stub import EtcdStub
from .faulty_proxy import FaultyProxy
from .fenced_resource import FencedResource
from .lease_scenario import ConductorProcess, inject_fault
from .schedule import Fault, Schedule

TTL, WINDOW_MS, COLD_BUDGET, MAX_CLOCK_DRIFT = 3, 500, 20, 0.02
EJECTION_MS, MIN_FAILURES = 2000, 3
SETTLE_SECONDS = 2.5  # time after the load for the last counts to be shared


def shared_section(max_members: int, clock_rate: float = 1.0) -> str:
    """Return the section of a configuration file that enables sharing."""
    return (
        f'[shared]\nengine = ["{{engine}}"]\nttl_s = {TTL}\nevery_ms = 200\ncall_ms = 250\n'
        f"drift = {MAX_CLOCK_DRIFT}\nmost = {max_members}\nreserve = 0.3\ncold_sends = {COLD_BUDGET}\n"
        f"window_ms = {WINDOW_MS}\nfailures = {MIN_FAILURES}\n"
        f"keep_ms = {EJECTION_MS}\nclock_rate = {clock_rate}\n"
    )


@dataclass(slots=True)
class FleetScenarioResult:
    """Result of a run."""

    max_sends: dict[str, int]  # by cold resource: maximum number of sends by all conductors in a window
    budget: int
    status_counts: dict[int, int]  # responses to clients by status
    responses: list[tuple[float, int, int]]  # time, conductor, status
    fleet_counts: list[dict[str, int]]  # fleet-wide counts as last reported by each conductor
    own_counts: list[dict[str, int]]  # each conductor's own counts
    received_requests: dict[str, list[tuple[float, str]]]  # by resource: time, conductor
    events: list[dict] = field(default_factory=list)
    started_at: float = 0.0
    violations: list[str] = field(default_factory=list)


def max_in_window(times: list[float], window: float) -> int:
    """Return the maximum number of times within any window."""
    maximum = first = 0
    for last, timestamp in enumerate(times):
        while times[first] <= timestamp - window:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


def cold_sends_by_conductor(events: list[dict], resource: str) -> dict[str, list[float]]:
    """Return the times at which each conductor sent to a cold resource, from their logs.

    The logged times are used, as the delay from a send to its arrival depends on the load of the machine."""
    sends: dict[str, list[float]] = {}
    for line in events:
        if line["event"] == "cold_send" and line["endpoint"] == resource:
            sends.setdefault(line["who"], []).append(line["monotonic"])
    return {conductor: sorted(times) for conductor, times in sends.items()}


def unlogged_requests(
    resource: str, received: list[tuple[float, str]], logged: dict[str, list[float]]
) -> list[str]:
    """Return a violation for each request to a resource without an earlier send in its conductor's log."""
    counts: dict[str, int] = {}
    unlogged = []
    for timestamp, conductor in sorted(received):
        counts[conductor] = counts.get(conductor, 0) + 1
        if bisect_right(logged.get(conductor, []), timestamp) < counts[conductor]:
            unlogged.append(f"{resource}: request of {conductor} at {timestamp:.3f} is missing in its log")
    return unlogged


class FleetScenario:
    """Runs one schedule under load, with warm resources and cold ones that have just started."""

    def __init__(
        self, schedule: Schedule, per_second: float = 60, warm_count: int = 1, cold_count: int = 2
    ) -> None:
        self.schedule, self.per_second, self.warm_count, self.cold_count = (
            schedule,
            per_second,
            warm_count,
            cold_count,
        )
        self.responses: list[tuple[float, int, int]] = []
        # Start and end, in seconds from the start of the load, of the time in which resource 0 fails.
        self.failure_period: tuple[float, float] | None = None

    async def run(self) -> FleetScenarioResult:
        """Start the conductors, run the schedule and return the result."""
        schedule = self.schedule
        async with AsyncExitStack() as stack:
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="hoplane-fleet-")))
            self.etcd = await stack.enter_async_context(EtcdStub())
            self.resources = []
            for index in range(self.warm_count + self.cold_count):
                self.resources.append(
                    await stack.enter_async_context(FencedResource(f"r{index}", 0.01, fenced=True))
                )
            started_at_ms = (*[0] * self.warm_count, *[round(time.time() * 1000)] * self.cold_count)
            self.conductors = []
            for conductor_index in range(schedule.conductor_count):
                name = f"c{conductor_index}"
                etcd_proxy = await stack.enter_async_context(
                    FaultyProxy(self.etcd.address, conductor_index, name)
                )
                resource_proxies = [
                    await stack.enter_async_context(FaultyProxy(resource.address, conductor_index, name))
                    for resource in self.resources
                ]
                config_section = shared_section(
                    schedule.conductor_count, schedule.clock_rate(conductor_index)
                )
                self.conductors.append(
                    ConductorProcess(
                        conductor_index,
                        directory,
                        etcd_proxy,
                        resource_proxies,
                        config_section,
                        started_at_ms,
                    )
                )
            try:
                return await self.run_under_load()
            finally:
                for conductor in self.conductors:
                    if conductor.process.returncode is None:
                        conductor.send_signal(signal.SIGKILL)
                        await conductor.process.wait()

    async def run_under_load(self) -> FleetScenarioResult:
        schedule = self.schedule
        await asyncio.gather(*(each.start() for each in self.conductors))
        await asyncio.gather(*(each.wait_until_ready() for each in self.conductors))
        started_at = time.monotonic()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            load_tasks = [
                asyncio.create_task(self.generate_load(session, conductor_index))
                for conductor_index in range(schedule.conductor_count)
            ]
            fault_tasks = [asyncio.create_task(self.schedule_fault(fault)) for fault in schedule.faults]
            fault_tasks.append(asyncio.create_task(self.fail_endpoint()))
            await asyncio.sleep(schedule.duration)
            for load_task in load_tasks:
                load_task.cancel()
            await asyncio.gather(*fault_tasks, *load_tasks, return_exceptions=True)
        await asyncio.sleep(SETTLE_SECONDS)
        exit_statuses = await asyncio.gather(*(each.shut_down() for each in self.conductors))
        events = [line for each in self.conductors for line in each.log_events()]
        last = [[e for e in each.log_events() if e["event"] == "fleet"][-1:] for each in self.conductors]
        window = WINDOW_MS / 1000 / (1 + MAX_CLOCK_DRIFT)
        status_counts: dict[int, int] = {}
        for _, _, status in self.responses:
            status_counts[status] = status_counts.get(status, 0) + 1
        logged_sends = {
            resource.name: cold_sends_by_conductor(events, resource.name)
            for resource in self.resources[self.warm_count :]
        }
        max_sends = {
            name: max_in_window(sorted(chain(*times.values())), window)
            for name, times in logged_sends.items()
        }
        fleet_counts, own_counts = ([line[0][key] for line in last if line] for key in ("counts", "mine"))
        received_requests = {each.name: each.received_requests for each in self.resources}
        result = FleetScenarioResult(
            max_sends,
            COLD_BUDGET,
            status_counts,
            self.responses,
            fleet_counts,
            own_counts,
            received_requests,
            events,
            started_at,
        )
        exceeded = {name: count for name, count in max_sends.items() if count > COLD_BUDGET}
        result.violations = [
            f"{name}: {count} sends in a window, budget {COLD_BUDGET}" for name, count in exceeded.items()
        ]
        for each in self.resources[self.warm_count :]:
            result.violations += unlogged_requests(each.name, each.received_requests, logged_sends[each.name])
        result.violations += [
            f"c{conductor_index} exited with status {s}"
            for conductor_index, s in enumerate(exit_statuses)
            if s
        ]
        return result

    async def generate_load(self, session: aiohttp.ClientSession, conductor_index: int) -> None:
        """Send requests to one conductor at a constant rate, independent of the response times."""
        tasks: set[asyncio.Task] = set()
        try:
            for number in range(1 << 30):
                task = asyncio.create_task(self.send_request(session, conductor_index, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / self.per_second)
        finally:
            if tasks:
                await asyncio.wait(tasks, timeout=3)

    async def send_request(self, session: aiohttp.ClientSession, conductor_index: int, number: int) -> None:
        url, status = f"http://{self.conductors[conductor_index].address}/v2/models/m/infer", 0
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            # The sessions spread the requests over the hash ring of the readers.
            parameters = {"session": f"s{number % 97}"}
            body = {"id": f"{conductor_index}-{number}", "inputs": [], "parameters": parameters}
            async with session.post(url, json=body, timeout=aiohttp.ClientTimeout(total=6)) as response:
                await response.read()
                status = response.status
        self.responses.append((time.monotonic(), conductor_index, status))

    async def fail_endpoint(self) -> None:
        if self.failure_period:
            await asyncio.sleep(self.failure_period[0])
            self.resources[0].failing = True
            await asyncio.sleep(self.failure_period[1] - self.failure_period[0])
            self.resources[0].failing = False

    async def schedule_fault(self, fault: Fault) -> None:
        """Inject a fault at its start time, and clear it after its duration."""
        await asyncio.sleep(fault.start)
        await inject_fault(fault, self.conductors[fault.conductor_index], self.etcd)


def run_scenario(scenario: FleetScenario) -> FleetScenarioResult:
    """Run one scenario in its own event loop."""
    return asyncio.run(scenario.run())
