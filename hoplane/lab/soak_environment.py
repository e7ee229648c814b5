"""The environment of a soak test: the fleet, a stand-in for discovery, and the conductors' processes."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from contextlib import suppress
from pathlib import Path

import orjson

from .soak_endpoint import Endpoint
from .soak_messages import encode_message, now, read_message
from .soak_oracle import ProcessRecord, SoakRecord
from .soak_plan import SoakPlan

ROOT = Path(__file__).parent.parent.parent
FAULT_EVENTS = ("violation", "task_broke", "request_broke", "relay_broke", "loop_fault", "operator_broke")
RELEASE_WITHIN, DRAIN_GRACE, CONNECT_TIMEOUT = 0.5, 1.0, 0.25
# As `run` in `deploy/balancer.toml`: SIGHUP is ignored until the conductor installs its handler.
LAUNCH_SCRIPT = 'trap \'\' HUP; exec "$0" -c "$1"'
PORT = 8080
CLASSES = (("lookup", "pure"), ("booking", "side_effect"))


class DiscoveryAgent:
    """The discovery agent on a conductor's machine; it records when it reported a drain to the conductor."""

    def __init__(self, conductor: int, fleet: Fleet) -> None:
        self.conductor, self.fleet = conductor, fleet
        self.tasks: set[asyncio.Task] = set()

    async def stop(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection in a task that `stop` can cancel."""
        task = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while http_request := await read_message(reader):
                query = http_request[0].split()[1].partition("?")[2]
                parameters = dict(pair.split("=") for pair in query.split("&") if pair)
                since, wait = int(parameters.get("since", 0)), int(parameters.get("timeout_ms", 0)) / 1000
                until = now() + wait
                while (self.fleet.index <= since and now() < until) or self.fleet.unresponsive:
                    await asyncio.sleep(0.01)
                index, entries = self.fleet.index, self.fleet.entries() if self.fleet.index > since else []
                body = {"index": index, "snapshot": since == 0, "endpoints": entries}
                writer.write(encode_message("HTTP/1.1 200 OK", orjson.dumps(body)))
                self.fleet.record_drain_notice(self.conductor, entries)
        writer.close()


class Fleet:
    """The endpoints and their state in discovery."""

    def __init__(self, plan: SoakPlan, record: SoakRecord) -> None:
        self.record = record
        reader_flags = [True] * plan.readers + [False] * plan.writers
        self.endpoints = [
            Endpoint(number, is_reader, record, random.Random(plan.seed * 100 + number))
            for number, is_reader in enumerate(reader_flags)
        ]
        self.draining: set[int] = set()
        self.index, self.unresponsive = 1, False

    def entries(self) -> list[dict[str, object]]:
        return [
            endpoint.entry("Terminating" if endpoint.number in self.draining else "Ready")
            for endpoint in self.endpoints
        ]

    def drain(self, number: int) -> None:
        """Start an endpoint's drain, unless only two endpoints of its role are not draining."""
        same_role = [
            member.number for member in self.endpoints if member.is_reader == self.endpoints[number].is_reader
        ]
        if len([member for member in same_role if member not in self.draining]) > 2:
            self.draining.add(number)
            self.index += 1

    def record_drain_notice(self, conductor: int, entries: list[dict[str, object]]) -> None:
        """Record the first time that a drain is reported to a conductor's current process."""
        started_at = self.record.process_records[conductor][-1].started_at
        known = {notice[:2] for notice in self.record.drain_notices if notice[2] >= started_at}
        for number in self.draining if entries else ():
            if (conductor, number) not in known:
                self.record.drain_notices.append((conductor, number, now()))


class ConductorProcess:
    """The successive processes of one conductor, which share an address."""

    def __init__(
        self, number: int, plan: SoakPlan, fleet: Fleet, agent: DiscoveryAgent, folder: Path
    ) -> None:
        self.number, self.plan, self.fleet, self.agent = number, plan, fleet, agent
        self.folder = folder
        # A loopback address of its own: no other process can bind it during a restart.
        self.host = f"127.{1 + os.getpid() % 250}.{plan.seed % 250}.{number + 1}"
        self.process_records: list[ProcessRecord] = fleet.record.process_records.setdefault(number, [])
        self.process: asyncio.subprocess.Process | None = None
        self.config_file = folder / f"c{number}.json"
        self.config_file.write_bytes(orjson.dumps(self.build_configuration()))

    def build_configuration(self) -> dict[str, object]:
        """Build the configuration as the platform writes it."""
        nanos = 1_000_000_000
        lanes = [
            {
                "name": name,
                "target": int(self.plan.deadline * nanos / 2),
                "idempotency": idempotency,
                "hard_limit": int(self.plan.deadline * nanos),
            }
            for name, idempotency in CLASSES
        ]
        return {
            "name": f"c{self.number}",
            "listen": f"{self.host}:{PORT}",
            "discovery": self.agent.address,
            "seed": f"{self.plan.seed:x}{self.number:02x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"index": 0, "snapshot": True, "endpoints": self.fleet.entries()},
            "settings": {
                "kinds": ["prefill", "decode"],
                "tick": 2000000,
                "my_zone": "z",
                "lanes": lanes,
                "balancers": self.plan.conductors,
                "position": self.number,
                "allowed": {
                    "attempts_cap": 4,
                    "cancel": self.plan.cancel,
                    "retry_after": True,
                    "max_retry_after": nanos,
                    "connect_timeout": int(CONNECT_TIMEOUT * nanos),
                    "conn_idle": 15 * nanos,
                },
                "family_info": {
                    "ahead": True,
                    "local_read": False,
                    "duty_by_kind": ["read", "write"],
                    "release_within": int(RELEASE_WITHIN * nanos),
                    "memory_tokens": [200000, 150000],
                },
                "rules": {"drain_grace": int(DRAIN_GRACE * nanos)},
            },
        }

    async def start(self) -> None:
        """Start a process; the plan's system call faults are injected into the first one."""
        faults = self.plan.call_faults.get(self.number, []) if not self.process_records else []
        plan = orjson.dumps({"seed": self.plan.seed + self.number, "faults": faults}).decode()
        install = f"import json; from hoplane.lab import faults; faults.install(json.loads({plan!r})); "
        program = "import sys; from hoplane import __main__ as it; sys.exit(it.start())"
        process_record = ProcessRecord(now())
        self.process_records.append(process_record)
        log_file = (self.folder / f"c{self.number}.{len(self.process_records)}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            LAUNCH_SCRIPT,
            sys.executable,
            (install if faults else "") + program,
            cwd=ROOT,
            stderr=log_file,
            env={
                "EDGE_CONFIG": str(self.config_file),
                "TMPDIR": str(self.folder),
                "SSL_CERT_FILE": "/dev/null",
            },
        )
        log_file.close()

    def record_memory(self) -> None:
        """Record the peak of the running process's resident memory."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            peak = next(int(line.split()[1]) // 1024 for line in lines if line.startswith("VmHWM:"))
            self.process_records[-1].peak_mb = max(self.process_records[-1].peak_mb, peak)

    def note_own_end(self) -> None:
        """Record that the process has ended without a signal."""
        self.process_records[-1].ended_by_itself = self.process.returncode is not None

    async def wait_ready(self) -> None:
        """Wait until the process accepts connections or has exited."""
        while self.process.returncode is None:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(self.host, PORT)
                writer.close()
                self.process_records[-1].ready_at = now()
                return
            await asyncio.sleep(0.05)

    def signal(self, signal_number: int) -> None:
        if self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(
                    self.process.pid, signal_number
                )  # Popen.send_signal would reap the process before asyncio does

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL at the earliest time that the protocol allows."""
        process_record = self.process_records[-1]
        if process_record.sigterm_at is not None or process_record.sigkill_at is not None:
            return
        self.note_own_end()
        process_record.sigterm_at = now()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), self.plan.kill_after)
        except TimeoutError:
            process_record.sigkill_at = now()
            self.signal(signal.SIGKILL)
        await self.record_exit()

    async def kill(self) -> None:
        """Send SIGKILL without a preceding SIGTERM."""
        if self.process_records[-1].sigkill_at is None and self.process_records[-1].sigterm_at is None:
            self.note_own_end()
            self.process_records[-1].sigkill_at = now()
            self.signal(signal.SIGKILL)
            await self.record_exit()

    async def record_exit(self) -> None:
        """Record the exit status of a process and the internal faults in its log."""
        process_record, number = self.process_records[-1], len(self.process_records)
        process_record.exit_status = await self.process.wait()
        for line in (self.folder / f"c{self.number}.{number}.log").read_bytes().splitlines():
            with suppress(orjson.JSONDecodeError):
                entry = orjson.loads(line)
                if entry.get("event") in FAULT_EVENTS:
                    process_record.fault_lines.append(entry)
