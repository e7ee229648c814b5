"""Common parts of the cases 6 to 10: starting the program, stand-ins for clients and servers, the record."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether the case's disruption takes place
TIME_LIMIT = 110  # seconds for a whole case
HELD, BROKEN, NOT_RUN = 0, 1, 2
SECOND = 1_000_000_000


class NotRunError(Exception):
    """The case could not run: something that it only prepares has failed."""


class Record:
    """The file `record.txt` of a case: one line for everything that was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", buffering=1)
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        print(line, file=self.file)
        print(line)


def free_port() -> int:
    """Return a free port below the range from which the system takes ports of outgoing connections."""
    for port in random.SystemRandom().sample(range(10_000, 32_000), 500):
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise NotRunError("no free port")


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


class Program:
    """A conductor, started with the command of the deploy file; its log goes to the record."""

    def __init__(self, process: asyncio.subprocess.Process, record: Record) -> None:
        self.process, self.record = process, record
        self.log: list[dict] = []
        self.reader = asyncio.create_task(self.read_log())

    async def read_log(self) -> None:
        """Copy the log to the record, without its regular counts."""
        while line := await self.process.stderr.readline():
            with suppress(ValueError):
                self.log.append(json.loads(line))
            if b'"tally"' not in line:
                self.record(f"log {line.decode(errors='replace').strip()}")

    def events(self, name: str) -> list[dict]:
        """Return the log lines of an event."""
        return [line for line in self.log if line.get("event") == name]

    async def wait_for(self, name: str, count: int = 1, limit: float = 15) -> None:
        """Wait until the log has so many lines of an event."""
        if not await until(lambda: len(self.events(name)) >= count, limit):
            raise NotRunError(f"the log has no line {name}")

    def signal(self, number: int) -> None:
        """Send a signal to the program; the shell before it has ended with `exec`."""
        self.record(f"signal {signal.Signals(number).name} to the conductor")
        self.process.send_signal(number)

    async def end(self) -> None:
        """End the program, whatever its state."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.reader.cancel()


async def start(record: Record, scratch: Path, arguments: str = "", **environ: str) -> Program:
    """Start a conductor as `run` in the deploy file says, with further arguments."""
    process = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        f"{RUN} {arguments}".strip(),
        cwd=ROOT,
        env={**os.environ, "TMPDIR": str(scratch), **environ},
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
        limit=1 << 20,
    )
    return Program(process, record)


async def until(condition: Callable[[], bool], limit: float) -> bool:
    """Wait until a condition holds; return whether it did within the limit in seconds."""
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.01)
    return True


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP/1.1 message: its first line, its headers in lower case, its body; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


def build_message(first: str, body: bytes = b"", **headers: object) -> bytes:
    """Build an HTTP/1.1 message with a length; `_` in a header's name stands for `-`."""
    headers["Content_Length"] = len(body)
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([first, *lines, "", ""]).encode() + body


async def request(address: str, data: bytes, limit: float = 30) -> tuple[str, dict[str, str], bytes] | None:
    """Send a request on a connection of its own; return the answer, or None if there is no whole one."""
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address.split(":"))
            try:
                writer.write(data)
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, ValueError, asyncio.IncompleteReadError, TimeoutError):
        return None


Respond = Callable[[tuple, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A stand-in for a server: answers each call on a connection with `respond(call, writer)`, in order."""

    def __init__(self, respond: Respond) -> None:
        self.respond, self.calls, self.address = respond, [], ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Server:
        """Listen on a free port."""
        self.address = free_address()
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until either side closes it."""
        self.writers.add(writer)
        try:
            while call := await read_message(reader):
                self.calls.append(call)
                await self.respond(call, writer)
                await writer.drain()
                if writer.is_closing():
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return  # the peer has closed the connection, or the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as the end of its process does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


class Discovery(Server):
    """A stand-in for discovery's agent, with a list that does not change."""

    def __init__(self, entries: list[dict]) -> None:
        super().__init__(self.answer)
        self.entries = entries

    async def answer(self, call: tuple, writer: asyncio.StreamWriter) -> None:
        """Answer the whole list, or no change after the time that the call may wait."""
        query = call[0].split()[1]
        since = int(query.partition("since=")[2].partition("&")[0] or 0)
        if since:
            await asyncio.sleep(int(query.partition("timeout_ms=")[2] or 0) / 1000)
        body = {"index": 1, "snapshot": since == 0, "endpoints": [] if since else self.entries}
        writer.write(build_message("HTTP/1.1 200 OK", json.dumps(body).encode()))


def write_v2_files(
    folder: Path, address: str, endpoints: list[dict], changes: dict[str, str] | None = None, more: str = ""
) -> Path:
    """Write the configuration of a v2 front: that of the deploy file, its address and endpoints changed.

    `changes` replaces texts of that file, `more` comes after it. Returns the path of the file.
    """
    text = (ROOT / "deploy/kserve.toml").read_text()
    for old, new in {"127.0.0.1:8080": address, **(changes or {})}.items():
        if old not in text:
            raise NotRunError(f"the deploy file has no {old}")
        text = text.replace(old, new)
    (folder / "kserve.toml").write_text(text + more)
    (folder / "xds").mkdir()
    cluster = {
        "@type": "type.googleapis.com/envoy.config.cluster.v3.Cluster",
        "name": "desk",
        "type": "EDS",
        "metadata": {"filter_metadata": {"hoplane": {"kind": "mixed"}}},
    }
    (folder / "xds/clusters.json").write_text(json.dumps({"resources": [cluster]}))
    write_endpoints(folder, endpoints)
    return folder / "kserve.toml"


def write_endpoints(folder: Path, endpoints: list[dict]) -> None:
    """Replace the file of endpoints by renaming a new one over it.

    Each endpoint has `name`, `address`, and may have `health` and `since_ms`.
    """
    listed = []
    for each in endpoints:
        host, port = each["address"].split(":")
        metadata = {"name": each["name"], **({"since_ms": each["since_ms"]} if "since_ms" in each else {})}
        listed.append(
            {
                "endpoint": {"address": {"socket_address": {"address": host, "port_value": int(port)}}},
                "health_status": each.get("health", "HEALTHY"),
                "metadata": {"filter_metadata": {"hoplane": metadata}},
            }
        )
    assignment = {
        "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "cluster_name": "desk",
        "endpoints": [{"locality": {"zone": "east", "sub_zone": "r1"}, "lb_endpoints": listed}],
    }
    new = folder / "xds/endpoints.new"
    new.write_text(json.dumps({"resources": [assignment]}))
    new.rename(folder / "xds/endpoints.json")


def build_inference(id: str, service_class: str, text: str = "a free desk", **parameters: object) -> bytes:
    """Build a v2 client's request for an inference."""
    body = {
        "id": id,
        "parameters": {"service_class": service_class, **parameters},
        "inputs": [{"name": "text", "shape": [1], "datatype": "BYTES", "data": [text]}],
    }
    return build_message(
        "POST /v2/models/desk/infer HTTP/1.1",
        json.dumps(body).encode(),
        Host="desk",
        Content_Type="application/json",
    )


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[int]]) -> None:
    """Run a case within its time limit and exit with its result."""
    record = Record(folder)

    async def limited() -> int:
        with tempfile.TemporaryDirectory() as scratch:
            async with asyncio.timeout(TIME_LIMIT):
                return await case(record, Path(scratch))

    try:
        result = asyncio.run(limited())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        traceback.print_exc()
        result = NOT_RUN
    names = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}
    record(f"result {result}: {names[result]}")
    sys.exit(result)
