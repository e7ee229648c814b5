"""Runs randomized soak tests: real conductors under overlapping faults, checked by what peers observed."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from .soak_client import Client
from .soak_environment import (
    DRAIN_GRACE,
    PORT,
    RELEASE_WITHIN,
    ConductorProcess,
    DiscoveryAgent,
    Fleet,
)
from .soak_messages import now
from .soak_oracle import SoakRecord, Violation, find_violations
from .soak_peers import run_crowd, run_flood
from .soak_plan import LOAD_DURATION, FaultEvent, SoakPlan, draw_plan

LAG_SAMPLE_INTERVAL = 0.02  # seconds between measurements of this process's event loop lag
MAX_LAG = 0.6  # seconds of event loop lag, above which the soak is void
IDLE_CLIENTS = 360  # more than a conductor with 1,024 descriptors accepts
MAX_DURATION = 60.0  # seconds for a whole soak
MAX_STREAM_TIME = 8.0  # seconds after which the stream of an endpoint that ends it badly is over
MEMORY_SAMPLE_INTERVAL = 0.25  # seconds between readings of the processes' peak memory
SETTLE_TIME = 1.0  # seconds after the last request, in which all reservations must be released


@dataclass(slots=True)
class Outcome:
    """The counts and the rule violations of one soak test."""

    seed: int
    conductors: int
    asks: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    restarts: int = 0
    lag: float = 0.0
    peak_mb: int = 0  # of the process that used the most memory
    void: bool = False
    problems: list[Violation] = field(default_factory=list)


class SoakRunner:
    """Runs the conductors, endpoints and clients of one plan and returns the outcome."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.record = SoakRecord(RELEASE_WITHIN, DRAIN_GRACE, cancel=plan.cancel)
        self.fleet = Fleet(plan, self.record)
        self.processes: list[ConductorProcess] = []
        self.lag = 0.0
        self.record_connection_faults()
        self.tasks: set[asyncio.Task] = set()

    def record_connection_faults(self) -> None:
        """Record conductors with injected send or recv errors: their broken connections are no violation."""
        for conductor, faults in self.plan.call_faults.items():
            if any(fault["call"] in ("send", "recv") and "errno" in fault for fault in faults):
                self.record.faulty_conductors.add(conductor, 0.0, float("inf"))

    async def run(self) -> Outcome:
        """Start the environment, run the load, stop everything, and check the record."""
        lag_task = asyncio.create_task(self.measure_lag())
        memory_task = asyncio.create_task(self.measure_memory())
        await asyncio.gather(*(each.start() for each in self.fleet.endpoints))
        try:
            await self.start_conductors()
            self.lag = 0.0
            await self.run_load()
        finally:
            for each in self.processes:
                each.signal(signal.SIGCONT)
                each.signal(signal.SIGKILL)
            await asyncio.gather(*(each.stop() for each in self.fleet.endpoints))
            await asyncio.gather(*(each.agent.stop() for each in self.processes))
            lag_task.cancel()
            memory_task.cancel()
        return self.outcome()

    async def start_conductors(self) -> None:
        """Start the conductors and wait until each accepts connections."""
        for number in range(self.plan.conductors):
            agent = DiscoveryAgent(number, self.fleet)
            await agent.start()
            self.processes.append(ConductorProcess(number, self.plan, self.fleet, agent, self.folder))
        await asyncio.gather(*(process.start() for process in self.processes))
        await asyncio.gather(*(process.wait_ready() for process in self.processes))

    async def run_load(self) -> None:
        """Inject the faults under load, then terminate every conductor gracefully."""
        started = now()
        clients = [
            asyncio.create_task(
                Client(f"{self.plan.seed}-{process.number}-{index}", process, self.plan, self.record).run(
                    started + LOAD_DURATION
                )
            )
            for process in self.processes
            for index in range(self.plan.clients_per_conductor)
        ]
        for event in self.plan.events:
            await asyncio.sleep(max(0.0, started + event.start - now()))
            self.spawn(self.apply_event(event))
        await asyncio.gather(*clients)
        await asyncio.gather(*self.tasks)
        await asyncio.sleep(SETTLE_TIME)
        self.record.ended_at = now()
        await asyncio.gather(*(process.terminate() for process in self.processes))

    def spawn(self, coroutine) -> None:
        self.tasks.add(asyncio.create_task(coroutine))

    async def apply_event(self, event: FaultEvent) -> None:
        """Apply one event, and revert it after its duration."""
        if event.kind in ("cut", "reset", "errors", "spoilt", "drain"):
            await self.apply_endpoint_event(event)
        elif event.kind in ("slow_write", "slow_read", "end_early", "endless", "generated"):
            self.apply_stream_event(event)
        elif event.kind == "stopped_crowd":
            await run_crowd(self.processes[event.target], event.variant, event.duration)
        elif event.kind == "flood":
            await run_flood(self.processes[event.target], event.variant, event.duration)
        elif event.kind == "silent":
            self.fleet.unresponsive = True
            await asyncio.sleep(event.duration)
            self.fleet.unresponsive = False
        else:
            await self.apply_conductor_event(event)

    async def apply_endpoint_event(self, event: FaultEvent) -> None:
        endpoint, started = self.fleet.endpoints[event.target], now()
        if event.kind == "drain":
            self.fleet.drain(event.target)
            return
        if event.kind == "cut":
            endpoint.proxy.partition()
            self.record.partitioned_endpoints.add(event.target, started, started + event.duration + 1)
            self.record.faulty_endpoints.add(event.target, started - 1, started + event.duration + 1)
            await asyncio.sleep(event.duration)
            endpoint.proxy.heal()
            return
        self.record.faulty_endpoints.add(event.target, started - 1, started + event.duration + 1)
        if event.kind == "reset":
            endpoint.proxy.reset_all()
        elif event.kind == "errors":
            endpoint.errors_until = started + event.duration
        else:
            endpoint.malformed_until = started + event.duration

    def apply_stream_event(self, event: FaultEvent) -> None:
        """Let an endpoint write or read slowly, which excuses nothing, or end its streams badly."""
        endpoint, started = self.fleet.endpoints[event.target], now()
        endpoint.stream_faults[event.kind] = started + event.duration
        if event.kind == "generated":
            endpoint.set_defect(event.variant)
        if event.kind in ("end_early", "endless"):
            end = started + event.duration + MAX_STREAM_TIME
            self.record.faulty_endpoints.add(event.target, started - 1, end)

    async def apply_conductor_event(self, event: FaultEvent) -> None:
        process = self.processes[event.target]
        if event.kind == "hup":
            process.signal(signal.SIGHUP)
        elif event.kind == "second_term" and process.process_records[-1].sigterm_at is not None:
            process.signal(signal.SIGTERM)
        elif event.kind == "pause":
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(event.duration)
            process.signal(signal.SIGCONT)
        elif event.kind == "crowd":
            await self.open_idle_clients(process, event.duration)
        elif (
            event.kind in ("term", "kill")
            and process.process_records[-1].sigterm_at is process.process_records[-1].sigkill_at is None
        ):
            await (process.terminate() if event.kind == "term" else process.kill())
            await process.start()
            await process.wait_ready()

    async def open_idle_clients(self, process: ConductorProcess, duration: float) -> None:
        """Use up a conductor's connections with idle clients."""
        connections = []
        for _ in range(IDLE_CLIENTS):
            try:
                connections.append(await asyncio.open_connection(process.host, PORT))
            except OSError:
                break
        await asyncio.sleep(duration)
        for _, writer in connections:
            writer.transport.abort()

    async def measure_memory(self) -> None:
        """Record the peak memory of each process while it runs."""
        while True:
            for process in self.processes:
                process.record_memory()
            await asyncio.sleep(MEMORY_SAMPLE_INTERVAL)

    async def measure_lag(self) -> None:
        """Track the maximum event loop lag of this process, which delays its observations."""
        while True:
            due = now() + LAG_SAMPLE_INTERVAL
            await asyncio.sleep(LAG_SAMPLE_INTERVAL)
            self.lag = max(self.lag, now() - due)

    def outcome(self) -> Outcome:
        requests, record = self.record.requests, self.record
        record.timing_slack += self.lag
        result = Outcome(self.plan.seed, self.plan.conductors, len(requests), lag=round(self.lag, 3))
        result.served = sum(request.status == 200 and request.complete for request in requests)
        result.refused = sum(request.status in (429, 503) for request in requests)
        result.failed = sum(request.status not in (0, 200, 429, 503) for request in requests)
        result.unanswered = sum(
            request.status == 0 and request.disconnected_at is None for request in requests
        )
        result.restarts = sum(len(process_records) - 1 for process_records in record.process_records.values())
        result.peak_mb = max(
            process.peak_mb for processes in record.process_records.values() for process in processes
        )
        result.void = self.lag > MAX_LAG
        result.problems = find_violations(record)
        return result


def run_soak(
    seed: int,
    conductors: int | None = None,
    log_folder: Path | None = None,
    cancel: bool = True,
    peers: bool = False,
) -> Outcome:
    """Run one seed in its own event loop; logs are written to `log_folder` if given."""
    plan = draw_plan(seed, conductors, cancel, peers)
    with tempfile.TemporaryDirectory(prefix="hoplane-soak-") as folder:
        output_folder = Path(folder) if log_folder is None else log_folder
        output_folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(asyncio.wait_for(SoakRunner(plan, output_folder).run(), MAX_DURATION))
