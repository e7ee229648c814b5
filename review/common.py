"""Shared parts of the review's cases: the conductor as a process, small stand-ins, and the record."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT = 20.0  # seconds for a process to be ready
LONGEST_RUN = 110.0  # seconds for a whole case


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes `record.txt` of a case: one line per event, with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line, and print it."""
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command(*arguments: str) -> str:
    """Return the deploy file's command `run`, with arguments."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    return " ".join([command, *arguments])


class Conductor:
    """One conductor, started with the deploy file's command in a process group of its own."""

    def __init__(self, name: str, record: Record, folder: Path) -> None:
        self.name, self.record, self.log_file = name, record, folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, *arguments: str, pass_fds: tuple[int, ...] = (), **environ: str) -> None:
        """Start the process and wait until its log says that it serves."""
        with self.log_file.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run_command(*arguments),
                cwd=ROOT,
                env={**os.environ, **environ},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=pass_fds,
                start_new_session=True,
            )
        self.record.line(f"{self.name}: process started")
        deadline = time.monotonic() + START_TIMEOUT
        while not self.events("started"):
            if self.process.returncode is not None or time.monotonic() > deadline:
                raise CouldNotRun(f"{self.name} did not start: {self.log_file.read_text()[-500:]}")
            await asyncio.sleep(0.02)
        self.record.line(f"{self.name}: serves")

    def events(self, name: str) -> list[dict]:
        """Return the log lines of one event."""
        found = []
        for line in self.log_file.read_bytes().splitlines():
            with suppress(ValueError):
                entry = json.loads(line)
                if entry.get("event") == name:
                    found.append(entry)
        return found

    def signal(self, number: int) -> None:
        """Send a signal to the program that `run` started."""
        self.record.line(f"{self.name}: gets {signal.Signals(number).name}")
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def ended(self, timeout: float) -> int | None:
        """Return the exit status, or None if the process still runs after `timeout` seconds."""
        with suppress(TimeoutError):
            return await asyncio.wait_for(self.process.wait(), timeout)
        return None

    async def kill(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a start line and headers; None at the end of the connection."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readline()
    return body


def message(start_line: str, body: bytes = b"", **headers: object) -> bytes:
    """Return an HTTP/1.1 message with a Content-Length."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in {**fields, "Content-Length": len(body)}.items()]
    return "\r\n".join([start_line, *lines, "", ""]).encode() + body


Respond = Callable[[str, dict[str, str], bytes, asyncio.StreamWriter], Awaitable[None]]


class StandIn:
    """An HTTP/1.1 server on a free loopback port; `respond` answers each call, or closes the connection."""

    def __init__(self, respond: Respond) -> None:
        self.respond, self.tasks = respond, set()

    async def __aenter__(self) -> StandIn:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.tasks.add(task := asyncio.current_task())
        try:
            while not writer.is_closing() and (head := await read_head(reader)):
                await self.respond(*head, await read_body(reader, head[1]), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has left, or the case is over
        finally:
            self.tasks.discard(task)
            writer.close()


async def call(address: str, data: bytes, timeout: float) -> tuple[str, dict[str, str], bytes] | str:
    """Send a request on a new connection; return the answer, or in words why there is none."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(data)
                head = await read_head(reader)
                if head is None:
                    return "closed without an answer"
                return *head, await read_body(reader, head[1])
            finally:
                writer.close()
    except TimeoutError:
        return f"no answer within {timeout:.1f} s"
    except ConnectionRefusedError:
        return "not taken: the connection was refused"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        return f"cut off: {type(error).__name__}"


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
SECOND = 1_000_000_000  # in the settings' unit


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(id: str, number: int) -> bytes:
    """Return an event of a stream, whose text names its request."""
    choice = {"index": 0, "delta": {"content": f"{id}/{number} "}, "finish_reason": None}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


STREAM_END = (
    b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":4,'
    b'"prompt_tokens_details":{"cached_tokens":0}}}\n\ndata: [DONE]\n\n'
)


def settings(**allowed: object) -> dict:
    """Return the settings of a small deployment, with the times of the first one's classes."""
    lanes = [
        {"name": "lookup", "target": 1.2, "hard_limit": 5, "idempotency": "pure", "worth": 3.0},
        {"name": "booking", "target": 2.5, "hard_limit": 10, "idempotency": "side_effect", "worth": 2.0},
    ]
    for lane in lanes:
        lane.update({key: int(lane[key] * SECOND) for key in ("target", "hard_limit")}, stream=True)
    return {
        "kinds": ["prefill", "decode-a"],
        "tick": 2_000_000,
        "my_zone": "tbs-vake",
        "balancers": 1,
        "position": 0,
        "lanes": lanes,
        "allowed": {
            "attempts_cap": 6,
            "cancel": True,
            "retry_after": True,
            "max_retry_after": SECOND,
            "connect_timeout": SECOND // 4,
            "conn_idle": 15 * SECOND,
            **allowed,
        },
        "family_info": {
            "ahead": False,
            "local_read": False,
            "duty_by_kind": ["read", "write"],
            "release_within": SECOND // 2,
            "memory_tokens": [175961, 193262],
        },
        "rules": {"drain_grace": SECOND, "cold": 10 * SECOND, "cold_share": 0.29, "overload_factor": 4.0},
    }


async def respond_as_reader(first: str, headers: dict, body: bytes, writer: asyncio.StreamWriter) -> None:
    """Answer as an instance that reads prompts at once."""
    read = first.startswith("POST /v1/chat")
    writer.write(
        message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}')
        if read
        else message("HTTP/1.1 204 No Content")
    )


def discovery(entries: list[dict]) -> Respond:
    """Return the answers of discovery's agent, whose list never changes."""

    async def respond(first: str, headers: dict, body: bytes, writer: asyncio.StreamWriter) -> None:
        watch = "since=1&" in first
        if watch:
            await asyncio.sleep(int(first.split("timeout_ms=")[1].split()[0]) / 1000)
        listed = {"index": 1, "snapshot": not watch, "endpoints": [] if watch else entries}
        writer.write(message("HTTP/1.1 200 OK", json.dumps(listed).encode()))

    return respond


def entry(name: str, server: StandIn, kind: str) -> dict:
    """Return the entry of a stand-in in discovery's list."""
    place = {"zone": "tbs-vake", "type": kind, "group": 1, "status": "Ready", "weight": 1.0, "since_ms": 0}
    return {"name": name, "address": server.address, **place}


def write_configuration(file: Path, listen: str, agent: StandIn, entries: list[dict], **more: object) -> None:
    """Write a conductor's configuration as the platform does."""
    configuration = {
        "name": "n1",
        "listen": listen,
        "discovery": agent.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        **more,
    }
    file.write_text(json.dumps(configuration))


def chat(id: str, service_class: str = "lookup", time_left_ms: int = 4000) -> bytes:
    """Return a client's request."""
    return message(
        "POST /v1/chat/completions HTTP/1.1",
        b'{"model":"chat","stream":true,"max_tokens":20,"messages":[]}',
        Host="service.internal",
        Content_Type="application/json",
        X_Correlation_Id=id,
        X_Service_Class=service_class,
        X_Session_Key=f"session-{id}",
        X_Time_Left_Ms=time_left_ms,
        X_Facts="prompt_len=100,prefix_len=0,max_out=20",
    )


def assignment(endpoints: list[dict]) -> str:
    """Return the text of an xDS file with one load assignment, `desk`, for endpoints with name and port."""
    listed = [
        {
            "endpoint": {"address": {"socket_address": {"address": "127.0.0.1", "port_value": each["port"]}}},
            "health_status": each.get("health", "HEALTHY"),
            "metadata": {"filter_metadata": {"hoplane": {"name": each["name"]}}},
        }
        for each in endpoints
    ]
    resource = {
        "@type": "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
        "cluster_name": "desk",
        "endpoints": [{"locality": {"zone": "z", "sub_zone": "k"}, "lb_endpoints": listed}],
    }
    return json.dumps({"resources": [resource]})


def write_v2_files(folder: Path, name: str, listen: str, endpoints: list[dict], **replaced: str) -> Path:
    """Write the files of a v2 conductor: deploy/kserve.toml with this address and these endpoints.

    `replaced` maps a text of that file to another one; `more` is added at its end."""
    text = (ROOT / "deploy/kserve.toml").read_text()
    changes = {'name = "sidecar"': f'name = "{name}"', 'listen = "127.0.0.1:8080"': f'listen = "{listen}"'}
    more = replaced.pop("more", "")
    for old, new in {**changes, **replaced.pop("changes", {})}.items():
        if old not in text:
            raise CouldNotRun(f"deploy/kserve.toml has no {old!r}")
        text = text.replace(old, new)
    home = folder / name
    (home / "xds").mkdir(parents=True)
    (home / "xds/clusters.json").write_text((ROOT / "deploy/xds/clusters.json").read_text())
    (home / "xds/endpoints.json").write_text(assignment(endpoints))
    (home / "kserve.toml").write_text(text + more)
    return home / "kserve.toml"


def infer(id: str, service_class: str = "lookup", **parameters: object) -> bytes:
    """Return a v2 inference request for the model `desk`."""
    body = json.dumps(
        {
            "id": id,
            "parameters": {"service_class": service_class, **parameters},
            "inputs": [{"name": "text", "shape": [1], "datatype": "BYTES", "data": ["a desk"]}],
        }
    ).encode()
    return message(
        "POST /v2/models/desk/infer HTTP/1.1", body, Host="service.internal", Content_Type="application/json"
    )


Case = Callable[[Record, Path, bool], Awaitable[bool]]


def main(case: Case, folder: Path) -> int:
    """Run a case; `case(record, temporary folder, trouble)` returns whether the rule held."""
    record, trouble = Record(folder), os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {'yes' if trouble else 'no'}")

    async def run() -> bool:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory(prefix="hoplane-review-") as temporary:
            async with asyncio.timeout(LONGEST_RUN):
                return await case(record, Path(temporary), trouble)

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    record.line("the rule held" if held else "THE RULE WAS BROKEN")
    return HELD if held else BROKEN


def start(case: Case, file: str) -> None:
    """Run the case of a script and exit with its result."""
    sys.exit(main(case, Path(file).resolve().parent))
