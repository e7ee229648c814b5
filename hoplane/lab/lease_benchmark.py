"""Benchmark of leases: failover time, renewals of a fleet, and cost for the request path."""

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

from .etcd_stub import EtcdStub
from .faulty_proxy import FaultyProxy
from .fenced_resource import FencedResource
from .lease_scenario import ACTION_SECONDS, TTL, ConductorProcess, lease_section

NEW_HOLDER_TIMEOUT = 4 * TTL  # seconds
REQUESTS_PER_ROUND, ROUNDS = 400, 6  # alternating with the feature on and off
Row = tuple[str, str, str]


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to one minute, with three significant digits."""
    return HdrHistogram(1, 60_000_000, 3)


def format_percentiles(latencies: HdrHistogram, unit: float = 1000, name: str = "ms") -> str:
    """Format the median, the 99th percentile and the maximum."""
    p50, p99 = (latencies.get_value_at_percentile(p) / unit for p in (50, 99))
    maximum = latencies.get_max_value() / unit
    return f"p50 {p50:.2f}, p99 {p99:.2f}, max {maximum:.2f} {name} (n {latencies.total_count})"


async def wait_until(condition, timeout: float) -> bool:
    """Poll until a condition holds. Returns False on timeout."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.005)
    return True


async def measure_failover(count: int, signal_number: int) -> HdrHistogram:
    """Measure the time from the holder's end to the next holder's first action, with three conductors."""
    latencies = new_histogram()
    async with AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="hoplane-bench-")))
        etcd = await stack.enter_async_context(EtcdStub())
        resource = await stack.enter_async_context(FencedResource("r0", ACTION_SECONDS, fenced=True))
        conductors = []
        for index in range(3):
            proxies = [
                await stack.enter_async_context(FaultyProxy(each.address)) for each in (etcd, resource)
            ]
            conductors.append(ConductorProcess(index, directory, proxies[0], proxies[1:], lease_section(1.0)))
        for each in conductors:
            await each.start()
        for each in conductors:
            await each.wait_until_ready()
        try:
            for _ in range(count):
                before = len(resource.actions)
                if not await wait_until(lambda b=before: len(resource.actions) > b + 3, NEW_HOLDER_TIMEOUT):
                    raise TimeoutError("no conductor performs actions")
                token = resource.actions[-1].token
                holder = next(each for each in conductors if each.name == resource.actions[-1].holder)
                ended = time.monotonic()
                holder.send_signal(signal_number)
                if not await wait_until(lambda t=token: resource.actions[-1].token > t, NEW_HOLDER_TIMEOUT):
                    raise TimeoutError("no new lease holder")
                started_at = next(action.started for action in resource.actions if action.token > token)
                latencies.record_value(max(1, round((started_at - ended) * 1e6)))
                await holder.process.wait()
                await holder.start()
                await holder.wait_until_ready()
        finally:
            for each in conductors:
                each.send_signal(signal.SIGKILL)
                await each.process.wait()
    return latencies


async def measure_renewals(conductors: int, seconds: float = 10.0) -> tuple[float, float, HdrHistogram]:
    """Run a number of holders, each with its own lease, against one etcd stand-in.

    Returns the renewals per second, the CPU share of stand-in and holders, and the latency of renewals."""
    terms, latencies = (
        LeaseTerms(ttl=timedelta(seconds=TTL), action_timeout=timedelta(milliseconds=150)),
        new_histogram(),
    )
    async with EtcdStub() as etcd:
        clients = [EtcdClient([etcd.address], timedelta(milliseconds=500)) for _ in range(conductors)]
        electors = [
            LeaderElector(f"bench/{index}", f"c{index}", terms, client, monotonic_clock(), index)
            for index, client in enumerate(clients)
        ]
        for elector in electors:
            elector.log = NullLogger()
            elector.renew = record_duration(elector.renew, latencies)
        tasks = [asyncio.create_task(elector.run()) for elector in electors]
        await asyncio.sleep(2 * TTL)
        renewals_before, cpu_before = (
            sum(member.counts["renewed"] for member in electors),
            time.process_time(),
        )
        await asyncio.sleep(seconds)
        rate = (sum(member.counts["renewed"] for member in electors) - renewals_before) / seconds
        share = (time.process_time() - cpu_before) / seconds
        for task in tasks:
            task.cancel()
        await asyncio.gather(
            *tasks, *(task for member in electors for task in member.tasks), return_exceptions=True
        )
        for client in clients:
            await client.close()
    return rate, share, latencies


class NullLogger:
    """Logger that discards all events."""

    def info(self, *_: object, **__: object) -> None:
        """Discard an event."""


def record_duration(function, latencies: HdrHistogram):
    """Wrap a coroutine function to record the duration of each call."""

    async def wrapped(*arguments: object) -> None:
        started_at = time.perf_counter()
        await function(*arguments)
        latencies.record_value(max(1, round((time.perf_counter() - started_at) * 1e6)))

    return wrapped


async def measure_requests(
    config_section: str, directory: Path, etcd: EtcdStub, resource: FencedResource
) -> tuple[HdrHistogram, float]:
    """Send requests through one conductor. Returns their latencies and its CPU time per request in ms."""
    latencies = new_histogram()
    async with FaultyProxy(etcd.address) as etcd_proxy, FaultyProxy(resource.address) as resource_proxy:
        conductor = ConductorProcess(0, directory, etcd_proxy, [resource_proxy], config_section)
        await conductor.start()
        await conductor.wait_until_ready()
        url = f"http://{conductor.address}/v2/models/m/infer"
        before = usage.getrusage(usage.RUSAGE_CHILDREN)
        async with aiohttp.ClientSession() as session:
            for number in range(REQUESTS_PER_ROUND):
                started_at = time.perf_counter()
                async with session.post(url, json={"id": f"{number}", "inputs": []}) as response:
                    await response.read()
                    if response.status != 200:
                        raise RuntimeError(f"status {response.status}")
                latencies.record_value(max(1, round((time.perf_counter() - started_at) * 1e6)))
        await conductor.shut_down()
        after = usage.getrusage(usage.RUSAGE_CHILDREN)
        return latencies, (
            after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        ) * 1000 / REQUESTS_PER_ROUND


async def compare_request_path(config_section: str) -> tuple[dict[bool, HdrHistogram], dict[bool, float]]:
    """Measure the request path with and without a section of the configuration, alternating."""
    histograms, cpu_ms = {True: new_histogram(), False: new_histogram()}, {True: 0.0, False: 0.0}
    async with EtcdStub() as etcd, FencedResource("r0", 0.002, fenced=True) as resource:
        for round_number in range(2 * ROUNDS):
            enabled = round_number % 2 == 0
            with tempfile.TemporaryDirectory(prefix="hoplane-bench-") as directory:
                latencies, request_cpu_ms = await measure_requests(
                    config_section if enabled else "", Path(directory), etcd, resource
                )
            histograms[enabled].add(latencies)
            cpu_ms[enabled] += request_cpu_ms / ROUNDS
    return histograms, cpu_ms


async def measure(failovers: int, conductors: int) -> list[Row]:
    """Run all measurements and return the rows of the table."""
    killed = await measure_failover(failovers, signal.SIGKILL)
    ended = await measure_failover(failovers, signal.SIGTERM)
    rate, share, calls = await measure_renewals(conductors)
    latencies, cpu_ms = await compare_request_path(lease_section(1.0))
    conditions = f"3 conductors, ttl {TTL} s"
    return [
        ("time to the new holder's first action, holder killed", format_percentiles(killed), conditions),
        ("the same, holder shut down gracefully", format_percentiles(ended), conditions),
        (f"renewals per second of {conductors} holders", f"{rate:.0f}/s", f"ttl {TTL} s, one process"),
        ("CPU time of these, etcd stand-in and holders", f"{share:.2f} of a core", "the same"),
        ("renewal latency at the holder", format_percentiles(calls), "the same"),
        (
            "request latency, leases on",
            format_percentiles(latencies[True]),
            f"{cpu_ms[True]:.2f} ms CPU time, startup included",
        ),
        (
            "request latency, leases off",
            format_percentiles(latencies[False]),
            f"{cpu_ms[False]:.2f} ms CPU time, startup included",
        ),
    ]


def format_table(rows: list[Row]) -> str:
    """Format rows as a Markdown table."""
    lines = [("what", "measured", "how"), ("---", "---", "---"), *rows]
    return "".join("| " + " | ".join(line) + " |\n" for line in lines)
