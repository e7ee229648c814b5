"""A repeat that is written within its window, into a path that is cut, runs again once the path is back."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import time
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path as FilePath

sys.path.insert(0, str(FilePath(__file__).resolve().parent.parent))

from second import (  # noqa: E402
    BROKEN,
    HELD,
    ROOT,
    SECOND,
    TROUBLE,
    Discovery,
    NotRunError,
    Record,
    Server,
    build_message,
    free_address,
    request,
    run_case,
    start,
)

sys.path.insert(0, str(ROOT))

from hoplane.lab.partition import PartitionProxy, reset_connection  # noqa: E402

READERS, WRITERS = 3, 5
WINDOW = 2.5  # seconds for which a zone's writers discard repeats
SLACK = 0.05  # seconds by which each limit is longer on sockets
CUT = 4.0  # seconds for which four of the five writers fall silent together
REQUESTS, WARM_UP = 20, 60  # at the start of the cut, and before it, so that connections are open
TIME_LEFT = 7.5  # seconds; the class gives up after 9 s
SETTINGS = {
    "kinds": ["reader", "writer"],
    "tick": 2_000_000,
    "my_zone": "old-town",
    "failure_domains": ["old-town"],
    "balancers": 1,
    "position": 0,
    "discovery": "push",
    "lanes": [
        {
            "name": "triage",
            "target": 900_000_000,
            "hard_limit": 3_500_000_000,
            "idempotency": "pure",
            "stream": True,
        },
        {
            "name": "record",
            "target": 2_500_000_000,
            "hard_limit": 9 * SECOND,
            "idempotency": "token",
            "group": "zone",
            "window": round(WINDOW * SECOND),
            "stream": True,
        },
    ],
    "allowed": {
        "attempts_cap": 6,
        "cancel": True,
        "probes": False,
        "retry_after": True,
        "max_retry_after": SECOND,
        "connect_timeout": SECOND // 4,
        "conn_idle": 15 * SECOND,
    },
    "family_info": {
        "ahead": False,
        "local_read": False,
        "resume": False,
        "duty_by_kind": ["read", "write"],
        "release_within": 900_000_000,
        "memory_tokens": [200_000, 150_000],
    },
    "rules": {"drain_grace": SECOND},
}
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":"stop"}]}\n\n'
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def build_chunk(data: bytes) -> bytes:
    """Build a chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Zone:
    """The writers of the zone. They discard repeats of a request for the window, from its first arrival."""

    def __init__(self, record: Record) -> None:
        self.record, self.first_at, self.runs = record, {}, Counter()

    def run(self, key: str, id: str, name: str) -> None:
        """Run a request, or discard it as a repeat."""
        age = time.monotonic() - self.first_at.setdefault(key, time.monotonic())
        if self.runs[id] and age <= WINDOW + SLACK:
            self.record(f"{name} discards {id}, which has run {age:.3f} s ago")
            return
        self.runs[id] += 1
        self.record(f"run {id} at {name}, {age:.3f} s after its first arrival")


async def read(call: tuple, writer: asyncio.StreamWriter) -> None:
    """Answer as a reader."""
    if call[0].startswith("DELETE"):
        writer.write(build_message("HTTP/1.1 204 No Content"))
        return
    writer.write(build_message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))


class Path(PartitionProxy):
    """A path that may be cut. Connections made meanwhile never come up, and are reset once it is back."""

    async def forward_connection(self, client: socket.socket) -> None:
        """Forward a connection, unless it is made during a cut."""
        if self.path_up.is_set():
            await super().forward_connection(client)
            return
        await self.path_up.wait()
        reset_connection(client)


class Writers:
    """The five writers: w0 answers 500 after it has run a request, for as long as it fails."""

    def __init__(self, record: Record) -> None:
        self.record, self.zone, self.failing = record, Zone(record), False

    def write_at(self, name: str):
        """Return what a writer does with a call."""

        async def write(call: tuple, writer: asyncio.StreamWriter) -> None:
            if call[0].startswith("DELETE"):
                writer.write(build_message("HTTP/1.1 204 No Content"))
                return
            id = call[1]["x-correlation-id"]
            if id.startswith("first"):
                await asyncio.sleep(0.3)  # so that each of them has a connection of its own
            else:
                self.record(f"sent {id} to {name}")
                self.zone.run(call[1]["idempotency-key"], id, name)
                if self.failing and name == "w0":
                    writer.write(build_message("HTTP/1.1 500 Internal Server Error"))
                    return
            writer.write(STREAM + build_chunk(EVENT) + build_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")

        return write


async def case(record: Record, scratch: FilePath) -> int:
    """Let one writer of five fail, and cut the paths to the other four for a while."""
    writers = Writers(record)
    readers = [await Server(read).start() for _ in range(READERS)]
    servers = [await Server(writers.write_at(f"w{n}")).start() for n in range(WRITERS)]
    async with AsyncExitStack() as stack:
        paths = [await stack.enter_async_context(Path(each.address)) for each in servers]
        listed = [(f"r{n}", each.address, "reader") for n, each in enumerate(readers)]
        listed += [(f"w{n}", each.address, "writer") for n, each in enumerate(paths)]
        entries = [
            {
                "name": name,
                "address": address,
                "zone": "old-town",
                "type": kind,
                "group": 1,
                "status": "Ready",
                "weight": 1.0,
                "since_ms": 0,
            }
            for name, address, kind in listed
        ]
        discovery, address = await Discovery(entries).start(), free_address()
        config = {
            "name": "n1",
            "listen": address,
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 1, "snapshot": True, "endpoints": entries},
            "settings": SETTINGS,
        }
        file = scratch / "config.json"
        file.write_text(json.dumps(config))
        program = await start(record, scratch, EDGE_CONFIG=str(file))
        try:
            await program.wait_for("started")
            statuses = await send_through_cut(record, address, writers, paths[1:])
        finally:
            await program.end()
    runs = writers.zone.runs
    if not runs:
        raise NotRunError("nothing has run")
    twice = sorted(id for id, count in runs.items() if count > 1)
    refused = sorted(id for id in runs if statuses[id] in (429, 503))
    record(f"ran twice: {twice}; refused although they ran: {refused}")
    return BROKEN if twice or refused else HELD


async def send_through_cut(
    record: Record, address: str, writers: Writers, paths: list[Path]
) -> dict[str, int | None]:
    """Open connections, cut the paths, and send requests; return the status of each answer."""
    warm_up = [ask(record, address, f"first{number}") for number in range(WARM_UP)]
    if any(status != 200 for status in await asyncio.gather(*warm_up)):
        raise NotRunError("a request was not served before the cut")
    await asyncio.sleep(0.1)
    writers.failing = True
    record("w0 begins to fail")
    if TROUBLE:
        record("the paths to w1, w2, w3 and w4 are cut")
        for path in paths:
            path.partition()
            asyncio.get_running_loop().call_later(CUT, path.heal)
        asyncio.get_running_loop().call_later(CUT, record, "the paths are back")
    ids = [f"b{number}" for number in range(REQUESTS)]
    statuses = await asyncio.gather(*(ask(record, address, id) for id in ids))
    await asyncio.sleep(0.5)
    return dict(zip(ids, statuses, strict=True))


async def ask(record: Record, address: str, id: str) -> int | None:
    """Send a request and return the status of its answer."""
    answer = await request(
        address,
        build_message(
            "POST /v1/chat/completions HTTP/1.1",
            b'{"model":"chat","stream":true,"max_tokens":20,"messages":[]}',
            Host="service.internal",
            Content_Type="application/json",
            Idempotency_Key=f"key-{id}",
            X_Correlation_Id=id,
            X_Service_Class="record",
            X_Session_Key=f"session-{id}",
            X_Time_Left_Ms=round(TIME_LEFT * 1000),
            X_Facts="prompt_len=100,max_out=20",
        ),
    )
    status = int(answer[0].split()[1]) if answer else None
    if not id.startswith("first"):
        record(f"client has the answer {status} to {id}")
    return status


run_case(FilePath(__file__).resolve().parent, case)
