"""The stand-ins of a soak: endpoints behind partitions, discovery's agents, clients and processes."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import orjson

from .partition import Partition
from .soak_oracle import Arrival, Ask, Life, Record, Trace
from .soak_plan import Plan

ROOT = Path(__file__).parent.parent.parent
FAULT_LINES = ("violation", "task_broke", "request_broke", "relay_broke", "loop_fault", "operator_broke")
RELEASE_WITHIN, DRAIN_GRACE, CONNECT_WITHIN = 0.5, 1.0, 0.25
UNKNOWN_AFTER = 0.3  # seconds after which an endpoint answers that it knows of no read
# As `run` in `deploy/balancer.toml`: SIGHUP does nothing until the program heeds it.
RUN = 'trap \'\' HUP; exec "$0" -c "$1"'
STALLS, STALL_MOST = 0.02, 5.0  # the share of requests that stop midway, and the longest wait for an end
GIVE_UP = 2.0  # seconds after a request's time for which its client still waits
PORT = 8080
CLASSES = (("lookup", "pure"), ("booking", "side_effect"))
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
USAGE = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
now = time.monotonic


async def read_message(
    reader: asyncio.StreamReader, begun: Callable[[], None] = lambda: None
) -> tuple[str, dict[str, str], bytes, bool] | None:
    """Read an HTTP/1.1 message: first line, headers, body, and whether the body is whole. None at the end."""
    first = await reader.read(1)
    if not first:
        return None
    begun()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding") != "chunked":
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0"))), True
    body = b""
    try:
        while size := int(await reader.readline(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return head[0], headers, body, False
    return head[0], headers, body, True


def message(first: str, body: bytes = b"", **headers: object) -> bytes:
    """Give an HTTP/1.1 message with a body of known length."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([first, *lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    """Give a piece of a body in chunks."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Endpoint:
    """A model server that notes what arrives, and answers as its faults say."""

    def __init__(self, number: int, reads: bool, record: Record, rng: random.Random) -> None:
        self.number, self.reads, self.record, self.rng = number, reads, record, rng
        self.errors_until = self.spoilt_until = 0.0
        self.name = f"{'r' if reads else 'w'}{number}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.path = Partition("{}:{}".format(*self.server.sockets[0].getsockname()))
        await self.path.__aenter__()

    async def stop(self) -> None:
        await self.path.__aexit__()
        self.server.close()

    def entry(self, status: str = "Ready") -> dict[str, object]:
        """Give what discovery tells of it."""
        return {
            "name": self.name,
            "address": self.path.address,
            "zone": "z",
            "status": status,
            "weight": 1.0,
            "type": "prefill" if self.reads else "decode",
            "group": 1,
            "since_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        begun = 0.0

        def first_byte() -> None:
            nonlocal begun
            begun = now()

        try:
            while call := await read_message(reader, first_byte):
                if not await self.play(call, begun, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def play(self, call, begun: float, reader, writer) -> bool:
        """Answer one call; tells whether the connection goes on."""
        method, path, _ = call[0].split()
        id = call[1].get("x-correlation-id") or path.rsplit("/", 1)[-1]
        trace = self.record.trace(id)
        if path.startswith("/health"):
            writer.write(message("HTTP/1.1 200 OK"))
        elif method == "DELETE":
            trace.note(Arrival(now(), begun, self.number, "release"))
            writer.write(message("HTTP/1.1 204 No Content"))
        elif path.startswith("/v1/holds"):
            trace.note(Arrival(now(), begun, self.number, "hold"))
            writer.write(message(await self.place(trace)))
        else:
            left = float(call[1]["x-time-left-ms"]) / 1000
            arrival = Arrival(now(), begun, self.number, "read" if self.reads else "write", left)
            trace.note(arrival)
            working = asyncio.ensure_future(self.work(id, arrival, writer))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({working, gone}, return_when=asyncio.FIRST_COMPLETED)
            gone.cancel()
            working.cancel()
            results = await asyncio.gather(working, gone, return_exceptions=True)
            if self.reads:
                trace.read_ended(now())
            return results[0] is True
        return True

    async def place(self, trace: Trace) -> str:
        """Hold a place once a read is out, and answer; without a read it is held all the same."""
        until = now() + UNKNOWN_AFTER
        while trace.reads_out == 0 and now() < until:
            await asyncio.sleep(0.005)
        return "HTTP/1.1 200 OK" if trace.reads_out else "HTTP/1.1 204 No Content"

    async def work(self, id: str, arrival: Arrival, writer: asyncio.StreamWriter) -> bool:
        """Read or write; tells whether the connection goes on."""
        if now() < self.spoilt_until:
            arrival.ran = True
            writer.write(b"no answer at all\r\n\r\n")
            return False
        if now() < self.errors_until:
            arrival.ran = True
            writer.write(message("HTTP/1.1 500 Internal Server Error"))
            return True
        if self.reads:
            await asyncio.sleep(self.rng.uniform(0.005, 0.06))
            writer.write(message("HTTP/1.1 202 Accepted", b'{"cached_tokens":4}'))
            return True
        arrival.ran = True
        await asyncio.sleep(self.rng.uniform(0.005, 0.04))
        writer.write(STREAM)
        for at in range(self.rng.randint(2, 8)):
            text = f'data: {{"choices":[{{"index":0,"delta":{{"content":"{id}/{self.name}/{at}"}}}}]}}\n\n'
            writer.write(chunk(text.encode()))
            await asyncio.sleep(self.rng.uniform(0.0, 0.08))
        writer.write(chunk(USAGE + b"data: [DONE]\n\n") + b"0\r\n\r\n")
        await writer.drain()
        return True


class Agent:
    """Discovery's agent on one conductor's machine; it notes when it told a conductor of a drain."""

    def __init__(self, conductor: int, fleet: Fleet) -> None:
        self.conductor, self.fleet = conductor, fleet
        self.serving: set[asyncio.Task] = set()

    async def stop(self) -> None:
        self.server.close()
        for task in self.serving:
            task.cancel()
        await asyncio.gather(*self.serving, return_exceptions=True)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.begin, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())

    def begin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection in a task that `stop` can end."""
        task = asyncio.create_task(self.serve(reader, writer))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while call := await read_message(reader):
                query = call[0].split()[1].partition("?")[2]
                told = dict(pair.split("=") for pair in query.split("&") if pair)
                since, wait = int(told.get("since", 0)), int(told.get("timeout_ms", 0)) / 1000
                until = now() + wait
                while (self.fleet.index <= since and now() < until) or self.fleet.silent:
                    await asyncio.sleep(0.01)
                index, entries = self.fleet.index, self.fleet.entries() if self.fleet.index > since else []
                body = {"index": index, "snapshot": since == 0, "endpoints": entries}
                writer.write(message("HTTP/1.1 200 OK", orjson.dumps(body)))
                self.fleet.note_told(self.conductor, entries)
        writer.close()


class Fleet:
    """The endpoints and what discovery tells of them."""

    def __init__(self, plan: Plan, record: Record) -> None:
        self.record = record
        kinds = [True] * plan.readers + [False] * plan.writers
        self.endpoints = [
            Endpoint(at, reads, record, random.Random(plan.seed * 100 + at)) for at, reads in enumerate(kinds)
        ]
        self.draining: set[int] = set()
        self.index, self.silent = 1, False

    def entries(self) -> list[dict[str, object]]:
        return [
            each.entry("Terminating" if each.number in self.draining else "Ready") for each in self.endpoints
        ]

    def drain(self, number: int) -> None:
        """Tell of an endpoint's drain, unless it is the last but one of its role."""
        role = [each.number for each in self.endpoints if each.reads == self.endpoints[number].reads]
        if len([each for each in role if each not in self.draining]) > 2:
            self.draining.add(number)
            self.index += 1

    def note_told(self, conductor: int, entries: list[dict[str, object]]) -> None:
        """Note the first time that a conductor is told of a drain."""
        started = self.record.lives[conductor][-1].started
        known = {each[:2] for each in self.record.drains if each[2] >= started}
        for number in self.draining if entries else ():
            if (conductor, number) not in known:
                self.record.drains.append((conductor, number, now()))


class Process:
    """A conductor's process, and those after it on the same address."""

    def __init__(self, number: int, plan: Plan, fleet: Fleet, agent: Agent, folder: Path) -> None:
        self.number, self.plan, self.fleet, self.agent = number, plan, fleet, agent
        self.folder = folder
        # An address of its own, which nobody takes while a process is down between two lives.
        self.host = f"127.{1 + os.getpid() % 250}.{plan.seed % 250}.{number + 1}"
        self.lives: list[Life] = fleet.record.lives.setdefault(number, [])
        self.process: asyncio.subprocess.Process | None = None
        self.config = folder / f"c{number}.json"
        self.config.write_bytes(orjson.dumps(self.told()))

    def told(self) -> dict[str, object]:
        """Give the configuration, as the platform writes it."""
        nanos = 1_000_000_000
        lanes = [
            {
                "name": name,
                "target": int(self.plan.deadline * nanos / 2),
                "idempotency": effect,
                "hard_limit": int(self.plan.deadline * nanos),
            }
            for name, effect in CLASSES
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
                    "cancel": True,
                    "retry_after": True,
                    "max_retry_after": nanos,
                    "connect_timeout": int(CONNECT_WITHIN * nanos),
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
        """Start a process; the first one meets the plan's faults of system calls."""
        faults = self.plan.call_faults.get(self.number, []) if not self.lives else []
        plan = orjson.dumps({"seed": self.plan.seed + self.number, "faults": faults}).decode()
        install = f"import json; from hoplane.lab import faults; faults.install(json.loads({plan!r})); "
        program = "import sys; from hoplane import __main__ as it; sys.exit(it.start())"
        life = Life(now())
        self.lives.append(life)
        log = (self.folder / f"c{self.number}.{len(self.lives)}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            RUN,
            sys.executable,
            (install if faults else "") + program,
            cwd=ROOT,
            stderr=log,
            env={"EDGE_CONFIG": str(self.config), "TMPDIR": str(self.folder), "SSL_CERT_FILE": "/dev/null"},
        )
        log.close()

    async def ready(self) -> None:
        """Wait until the process accepts connections, or has ended."""
        while self.process.returncode is None:
            with suppress(OSError):
                _, writer = await asyncio.open_connection(self.host, PORT)
                writer.close()
                self.lives[-1].ready = now()
                return
            await asyncio.sleep(0.05)

    def signal(self, number: int) -> None:
        if self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)  # Popen's own would reap it before asyncio does

    async def end(self) -> None:
        """Ask for the end, and kill at the earliest moment that the protocol allows."""
        life = self.lives[-1]
        if life.termed is not None or life.killed is not None:
            return
        life.termed = now()
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), self.plan.kill_after)
        except TimeoutError:
            life.killed = now()
            self.signal(signal.SIGKILL)
        await self.bury()

    async def kill(self) -> None:
        """Kill without a word."""
        if self.lives[-1].killed is None and self.lives[-1].termed is None:
            self.lives[-1].killed = now()
            self.signal(signal.SIGKILL)
            await self.bury()

    async def bury(self) -> None:
        """Note how a process ended, and what its log tells of its own faults."""
        life, number = self.lives[-1], len(self.lives)
        life.status = await self.process.wait()
        for line in (self.folder / f"c{self.number}.{number}.log").read_bytes().splitlines():
            with suppress(orjson.JSONDecodeError):
                told = orjson.loads(line)
                if told.get("event") in FAULT_LINES:
                    life.faults.append(told)


class Client:
    """Sends requests to one conductor on connections that it keeps, also while that ends or starts anew."""

    def __init__(self, name: str, conductor: Process, plan: Plan, record: Record) -> None:
        self.name, self.conductor, self.plan, self.record = name, conductor, plan, record
        self.rng = random.Random(f"{plan.seed}/{name}")
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.count = 0

    async def run(self, until: float) -> None:
        """Send one request after the other."""
        while now() < until:
            try:
                await self.once()
            except OSError:  # nobody listens, or the connection went while it was idle
                self.drop()
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.rng.uniform(0.0, 0.25))
        self.drop()

    def drop(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def once(self) -> None:
        """Send a request and note what becomes of it."""
        if self.reader is None or self.reader.at_eof():
            self.drop()
            self.reader, self.writer = await asyncio.open_connection(self.conductor.host, PORT)
        self.count += 1
        cls, effect = self.rng.choice(CLASSES)
        left = self.rng.uniform(0.5, 1.0) * self.plan.deadline
        id = f"{self.name}-{self.count}"
        data = message(
            "POST /v1/chat/completions HTTP/1.1",
            b'{"stream":true}' + b" " * self.rng.choice((0, 0, 20_000)),
            Host="h",
            X_Correlation_Id=id,
            X_Service_Class=cls,
            X_Time_Left_Ms=int(left * 1000),
            X_Facts="prompt_len=100,max_out=20",
            X_Session_Key=f"s{self.rng.randrange(40)}",
        )
        if self.rng.random() < 0.1:  # in two pieces, with a wait between
            self.writer.write(data[:60])
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))
            data = data[60:]
        if self.rng.random() < STALLS:
            await self.stall(data)
            return
        self.writer.write(data)
        ask = Ask(id, self.conductor.number, effect == "side_effect", now(), now() + left)
        self.record.asks.append(ask)
        patience = self.rng.uniform(0.0, left) if self.rng.random() < 0.12 else None
        await self.answer(ask, patience)

    async def stall(self, data: bytes) -> None:
        """Stop in the middle of a request and stay, until an error or a close comes."""
        self.writer.write(data[: self.rng.randrange(1, len(data))])
        begun = now()
        with suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(STALL_MOST):
                await self.reader.read(1)
        self.record.stalls.append((self.conductor.number, begun, now() - begun))
        self.drop()

    async def answer(self, ask: Ask, patience: float | None) -> None:
        """Read an answer to its end, or leave after a while."""
        most = ask.deadline + GIVE_UP - ask.sent if patience is None else patience
        got = None
        try:
            async with asyncio.timeout(most):
                got = await self.receive(ask)
        except TimeoutError:
            if patience is not None:
                ask.left = now()
        except ConnectionError:
            ask.reset = True
        except (asyncio.IncompleteReadError, ValueError):
            pass
        ask.ended = now()
        if got is None or got[1].get("connection") == "close" or not ask.whole:
            self.drop()

    async def receive(self, ask: Ask):
        def begun() -> None:
            ask.began = True

        got = await read_message(self.reader, begun)
        if got is not None:
            ask.status, ask.body, ask.whole = int(got[0].split()[1]), got[2], got[3]
        return got
