"""A file without a class's `group` is taken at SIGHUP, and its requests then run at servers of two zones."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from second import (  # noqa: E402
    BROKEN,
    HELD,
    SECOND,
    TROUBLE,
    Discovery,
    NotRunError,
    Record,
    Server,
    build_message,
    free_address,
    request,
    reset,
    run_case,
    start,
)

REQUESTS = 8
SETTINGS = {
    "kinds": ["prefill", "decode"],
    "tick": 2_000_000,
    "my_zone": "east",
    "failure_domains": ["east", "west"],
    "balancers": 1,
    "position": 0,
    "discovery": "push",
    "lanes": [
        {"name": "lookup", "target": SECOND, "hard_limit": 5 * SECOND, "idempotency": "pure", "stream": True},
        {
            "name": "booking",
            "target": 2 * SECOND,
            "hard_limit": 8 * SECOND,
            "idempotency": "token",
            "group": "zone",
            "window": 2_500_000_000,
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
        "release_within": SECOND // 2,
        "memory_tokens": [200_000, 150_000],
    },
    "rules": {"drain_grace": SECOND},
}
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"oqvh"},"finish_reason":"stop"}]}\n\n'
DONE = b"data: [DONE]\n\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def build_chunk(data: bytes) -> bytes:
    """Build a chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Zone:
    """The servers of one zone discard repeats of a request among themselves."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record, self.seen = name, record, set()

    def run(self, id: str) -> None:
        """Run a request unless a server of this zone has run it already."""
        if id not in self.seen:
            self.seen.add(id)
            self.record(f"run {id} in the zone {self.name}")


async def case(record: Record, scratch: Path) -> int:
    """Reload the file, then book; a writer's connections break after the request has run."""
    zones = {name: Zone(name, record) for name in ("east", "west")}

    async def read(call: tuple, writer: asyncio.StreamWriter) -> None:
        if call[0].startswith("DELETE"):
            writer.write(build_message("HTTP/1.1 204 No Content"))
            return
        record(f"read {call[1]['x-correlation-id']}")
        writer.write(build_message("HTTP/1.1 202 Accepted", b'{"cached_tokens":0}'))

    def write_in(zone: Zone, breaks: bool):
        async def write(call: tuple, writer: asyncio.StreamWriter) -> None:
            if call[0].startswith("DELETE"):
                writer.write(build_message("HTTP/1.1 204 No Content"))
                return
            id = call[1]["x-correlation-id"]
            record(f"sent {id} to a writer of the zone {zone.name}")
            zone.run(id)
            if breaks:
                reset(writer)
                return
            writer.write(STREAM + build_chunk(EVENT) + build_chunk(DONE) + b"0\r\n\r\n")

        return write

    servers = {
        "reader": (await Server(read).start(), "prefill", "east", 1),
        "writer-east": (await Server(write_in(zones["east"], breaks=True)).start(), "decode", "east", 1),
        "writer-west": (await Server(write_in(zones["west"], breaks=False)).start(), "decode", "west", 2),
    }
    entries = [
        {
            "name": name,
            "address": server.address,
            "zone": zone,
            "type": kind,
            "group": group,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for name, (server, kind, zone, group) in servers.items()
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
        await asyncio.sleep(1.2)  # no SIGHUP arrives in the first second
        new = copy.deepcopy(config)
        if TROUBLE:
            del new["settings"]["lanes"][1]["group"]
        replacement = scratch / "config.new"
        replacement.write_text(json.dumps(new))
        replacement.rename(file)
        record(f"the new file has the keys {sorted(new['settings']['lanes'][1])} of booking")
        program.signal(signal.SIGHUP)
        await asyncio.sleep(4)
        if not program.events("reloaded") and not program.events("reload_failed"):
            raise NotRunError("the new file was neither taken nor turned down")
        return await book(record, address, zones)
    finally:
        await program.end()


async def book(record: Record, address: str, zones: dict[str, Zone]) -> int:
    """Send the bookings one by one, and check that each ran in one zone at most and was refused rightly."""
    statuses = {}
    for number in range(REQUESTS):
        id = f"b{number}"
        record(f"client sends {id}")
        answer = await request(
            address,
            build_message(
                "POST /v1/chat/completions HTTP/1.1",
                b'{"model":"chat","stream":true,"max_tokens":20,"messages":[]}',
                Host="service.internal",
                Content_Type="application/json",
                Idempotency_Key=f"key-{id}",
                X_Correlation_Id=id,
                X_Service_Class="booking",
                X_Session_Key=f"session-{id}",
                X_Time_Left_Ms=5000,
                X_Facts="prompt_len=100,max_out=20",
            ),
        )
        statuses[id] = int(answer[0].split()[1]) if answer else None
        record(f"client has the answer {statuses[id]} to {id}")
        await asyncio.sleep(1.5)
    runs = Counter(id for zone in zones.values() for id in zone.seen)
    if not runs:
        raise NotRunError("no request has run")
    twice = sorted(id for id, count in runs.items() if count > 1)
    refused = sorted(id for id, count in runs.items() if statuses[id] in (429, 503))
    record(f"ran in two zones: {twice}; refused although they ran: {refused}")
    return BROKEN if twice or refused else HELD


run_case(Path(__file__).resolve().parent, case)
