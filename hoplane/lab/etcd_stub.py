"""Stand-in for etcd's v3 JSON gateway: a real server on loopback with fault injection.

It serves this part of the public API: `/v3/lease/grant`, `keepalive`, `revoke`, `/v3/kv/put`, `range`,
`deleterange`, `txn`, `compaction` and `/v3/watch`. As in the gateway, bytes are base64, 64-bit numbers are
strings and fields at their defaults are left out. `POST /lab/faults` accepts `{"pause_s": 2}` (no replies for
that time), `{"delay_ms": 100}` (delay of each reply), `{"drop": 0.1}` (share of dropped replies) and
`{"restart": "keep" | "lose_leases" | "lose_all"}`. `GET /lab/state` returns the revision, the number of
leases, the keys and the number of calls by path."""

from __future__ import annotations

import asyncio
import base64
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from datetime import timedelta

import orjson
from aiohttp import web

from .key_value_store import (
    Change,
    Compare,
    Delete,
    KeyValue,
    KeyValueStore,
    Operation,
    Put,
    Range,
    RevisionCompacted,
    UnknownLease,
)

EXPIRY_INTERVAL = 0.02  # seconds between checks for expired leases
COMPARE_FIELDS = {
    "CREATE": ("created", "create_revision"),
    "MOD": ("changed", "mod_revision"),
    "VERSION": ("version", "version"),
    "LEASE": ("lease", "lease"),
    "VALUE": ("value", "value"),
}
COMPARE_OPERATORS = {"EQUAL": "=", "GREATER": ">", "LESS": "<", "NOT_EQUAL": "!"}


def get_field(raw: dict, name: str, default: object = None) -> object:
    """Return a field by its proto name or its JSON name; the gateway accepts both."""
    head, *rest = name.split("_")
    return raw.get(name, raw.get(head + "".join(map(str.capitalize, rest)), default))


def get_bytes(raw: dict, name: str) -> bytes:
    """Decode a field of type bytes."""
    return base64.b64decode(get_field(raw, name, ""))


def parse_operation(raw: dict) -> Operation:
    """Parse the JSON of an operation of a transaction; raise ValueError if it is invalid."""
    if (put := get_field(raw, "request_put")) is not None:
        return Put(get_bytes(put, "key"), get_bytes(put, "value"), int(get_field(put, "lease", 0)))
    for name, kind in (("request_range", Range), ("request_delete_range", Delete)):
        if (item := get_field(raw, name)) is not None:
            return kind(get_bytes(item, "key"), get_bytes(item, "range_end"))
    raise ValueError("an operation must be a put, a range or a deletion")


def parse_compare(raw: dict) -> Compare:
    """Parse the JSON of a comparison of a transaction; raise ValueError or KeyError if it is invalid."""
    target, name = COMPARE_FIELDS[get_field(raw, "target", "VERSION")]
    expected = get_bytes(raw, name) if target == "value" else int(get_field(raw, name, 0))
    return Compare(
        get_bytes(raw, "key"), target, COMPARE_OPERATORS[get_field(raw, "result", "EQUAL")], expected
    )


def encode_key_value(pair: KeyValue) -> dict:
    """Encode a key-value pair as the gateway does, without fields at their defaults."""
    fields = {
        "key": base64.b64encode(pair.key).decode(),
        "create_revision": str(pair.created),
        "mod_revision": str(pair.changed),
        "version": str(pair.version),
        "value": base64.b64encode(pair.value).decode(),
        "lease": str(pair.lease),
    }
    return {name: value for name, value in fields.items() if value not in ("0", "")}


def encode_event(change: Change) -> dict:
    """Encode a change as an event of a watch."""
    return {**({"type": "DELETE"} if change.deleted else {}), "kv": encode_key_value(change.pair)}


class EtcdStub:
    """The server. With `port` 0 it listens on a free port."""

    def __init__(self, port: int = 0, seed: int = 1) -> None:
        self.store, self.port, self.rng = KeyValueStore(seed), port, random.Random(seed)
        self.state_changed = asyncio.Condition()
        self.call_counts: Counter[str] = Counter()
        self.paused_until, self.reply_delay, self.drop_probability = 0.0, 0.0, 0.0
        self.restart_count = 0  # each restart ends the watches

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def __aenter__(self) -> EtcdStub:
        app = web.Application(middlewares=[self.inject_faults])
        routes = {
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keepalive,
            "/v3/lease/revoke": self.revoke,
            "/v3/kv/put": self.put,
            "/v3/kv/range": self.range,
            "/v3/kv/deleterange": self.deleterange,
            "/v3/kv/txn": self.txn,
            "/v3/kv/compaction": self.compaction,
            "/v3/watch": self.watch,
            "/lab/faults": self.handle_faults,
        }
        app.add_routes([web.post(path, handler) for path, handler in routes.items()])
        app.add_routes([web.get("/lab/state", self.handle_state)])
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self.expiry_task = asyncio.create_task(self.expire_leases())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.expiry_task.cancel()
        await self.runner.cleanup()

    def now(self) -> timedelta:
        return timedelta(seconds=time.monotonic())

    def response_header(self) -> dict:
        return {
            "cluster_id": str(self.store.cluster_id),
            "member_id": "1",
            "revision": str(self.store.revision),
            "raft_term": str(self.restart_count + 1),
        }

    def respond(self, **fields: object) -> web.Response:
        return web.json_response({"header": self.response_header(), **fields})

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: Callable[..., Awaitable]
    ) -> web.StreamResponse:
        """Inject the active faults, and report errors as the gateway does."""
        if request.path.startswith("/lab/"):
            return await handler(request)
        self.call_counts[request.path] += 1
        await asyncio.sleep(max(0.0, self.paused_until - time.monotonic()))
        try:
            response = await handler(request)
        except UnknownLease:
            response = self.error_response(404, 5, "etcdserver: requested lease not found")
        except RevisionCompacted:
            response = self.error_response(400, 11, "etcdserver: mvcc: required revision has been compacted")
        except (ValueError, KeyError, TypeError) as error:
            response = self.error_response(400, 3, f"invalid argument: {error}")
        if self.rng.random() < self.drop_probability:
            await asyncio.sleep(60)
        await asyncio.sleep(self.reply_delay)
        await self.notify_watchers()
        return response

    def error_response(self, status: int, code: int, text: str) -> web.Response:
        return web.json_response({"error": text, "code": code, "message": text}, status=status)

    async def notify_watchers(self) -> None:
        async with self.state_changed:
            self.state_changed.notify_all()

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL)
            before = self.store.revision
            if time.monotonic() >= self.paused_until:
                self.store.expire(self.now())
            if self.store.revision != before:
                await self.notify_watchers()

    # --- calls

    async def grant(self, request: web.Request) -> web.Response:
        raw = await request.json()
        seconds = int(get_field(raw, "TTL", 0))
        if seconds <= 0:
            raise ValueError("TTL")
        return self.respond(
            ID=str(self.store.grant(self.now(), timedelta(seconds=seconds))), TTL=str(seconds)
        )

    async def keepalive(self, request: web.Request) -> web.Response:
        lease_id = int((await request.json())["ID"])
        remaining = self.store.renew(self.now(), lease_id)
        fields = {"ID": str(lease_id), **({"TTL": str(int(remaining.total_seconds()))} if remaining else {})}
        return web.json_response({"result": {"header": self.response_header(), **fields}})

    async def revoke(self, request: web.Request) -> web.Response:
        self.store.revoke(self.now(), int((await request.json())["ID"]))
        return self.respond()

    async def put(self, request: web.Request) -> web.Response:
        self.store.txn(self.now(), [], [parse_operation({"request_put": await request.json()})], [])
        return self.respond()

    async def range(self, request: web.Request) -> web.Response:
        _, (pairs,) = self.store.txn(
            self.now(), [], [parse_operation({"request_range": await request.json()})], []
        )
        return self.respond(kvs=[encode_key_value(pair) for pair in pairs], count=str(len(pairs)))

    async def deleterange(self, request: web.Request) -> web.Response:
        raw = {"request_delete_range": await request.json()}
        _, (pairs,) = self.store.txn(self.now(), [], [parse_operation(raw)], [])
        return self.respond(deleted=str(len(pairs)))

    async def txn(self, request: web.Request) -> web.Response:
        raw = await request.json()
        lists = [
            [parse_operation(item) for item in get_field(raw, name, [])] for name in ("success", "failure")
        ]
        succeeded, results = self.store.txn(
            self.now(), [parse_compare(item) for item in get_field(raw, "compare", [])], *lists
        )
        responses = []
        for item, pairs in zip(lists[0 if succeeded else 1], results, strict=True):
            if isinstance(item, Range):
                kvs = [encode_key_value(pair) for pair in pairs]
                responses.append({"response_range": {"kvs": kvs, "count": str(len(kvs))}})
            else:
                responses.append({"response_put" if isinstance(item, Put) else "response_delete_range": {}})
        return self.respond(**({"succeeded": True} if succeeded else {}), responses=responses)

    async def compaction(self, request: web.Request) -> web.Response:
        self.store.compact(int(get_field(await request.json(), "revision", 0)))
        return self.respond()

    async def watch(self, request: web.Request) -> web.StreamResponse:
        raw = get_field(await request.json(), "create_request")
        key, range_end = get_bytes(raw, "key"), get_bytes(raw, "range_end")
        next_revision = int(get_field(raw, "start_revision", 0)) or self.store.revision + 1
        response, initial_restart_count = web.StreamResponse(), self.restart_count
        await response.prepare(request)
        with suppress(ConnectionResetError):  # the client may disconnect
            await self.stream_changes(response, initial_restart_count, next_revision, key, range_end)
        return response

    async def stream_changes(
        self,
        response: web.StreamResponse,
        initial_restart_count: int,
        next_revision: int,
        key: bytes,
        range_end: bytes,
    ) -> None:
        """Send the changes from a revision on until the stand-in restarts."""
        await self.write_result(response, created=True)
        while initial_restart_count == self.restart_count:
            try:
                changes = self.store.changes_since(next_revision, key, range_end)
            except RevisionCompacted as error:
                await self.write_result(response, canceled=True, compact_revision=str(error.args[0]))
                break
            if changes:
                next_revision = changes[-1].pair.changed + 1
                await asyncio.sleep(max(self.reply_delay, self.paused_until - time.monotonic()))
                await self.write_result(response, events=[encode_event(change) for change in changes])
                continue
            async with self.state_changed:
                await self.state_changed.wait()

    async def write_result(self, response: web.StreamResponse, **result: object) -> None:
        await response.write(orjson.dumps({"result": {"header": self.response_header(), **result}}) + b"\n")

    # --- faults

    async def handle_faults(self, request: web.Request) -> web.Response:
        await self.apply_faults(await request.json())
        return web.json_response({})

    async def apply_faults(self, faults: dict) -> None:
        """Set faults; those not named stay unchanged."""
        self.reply_delay = faults.get("delay_ms", self.reply_delay * 1000) / 1000
        self.drop_probability = faults.get("drop", self.drop_probability)
        if "pause_s" in faults:
            self.paused_until = time.monotonic() + faults["pause_s"]
        if (kind := faults.get("restart")) is not None:
            self.restart_count += 1
            if kind != "keep":
                {"lose_leases": self.store.lose_leases, "lose_all": self.store.lose_all}[kind]()
            await self.notify_watchers()

    async def handle_state(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "revision": self.store.revision,
                "leases": len(self.store.leases),
                "calls": dict(self.call_counts),
                "keys": {pair.key.decode(): pair.value.decode() for pair in self.store.pairs.values()},
            }
        )
