"""A stand-in for etcd's v3 JSON gateway, a real server on loopback, with faults on command.

Served, from the public API: `/v3/lease/grant`, `keepalive`, `revoke`, `/v3/kv/put`, `range`, `deleterange`,
`txn`, `compaction` and `/v3/watch`. Bytes are base64, 64-bit numbers are texts and fields at their defaults
are left out, as the gateway does. `POST /lab/faults` takes `{"pause_s": 2}` (answers nothing meanwhile),
`{"delay_ms": 100}` (before each answer), `{"drop": 0.1}` (answers that never come) and `{"restart": "keep"
| "lose_leases" | "lose_all"}`. `GET /lab/state` tells revision, leases and how many calls of each kind
came."""

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

from .store import Change, Compacted, Compare, Delete, NoLease, Operation, Pair, Put, Range, Store

EXPIRY = 0.02  # seconds between looks for leases that have run out
TARGETS = {
    "CREATE": ("created", "create_revision"),
    "MOD": ("changed", "mod_revision"),
    "VERSION": ("version", "version"),
    "LEASE": ("lease", "lease"),
    "VALUE": ("value", "value"),
}
RESULTS = {"EQUAL": "=", "GREATER": ">", "LESS": "<", "NOT_EQUAL": "!"}


def told(raw: dict, name: str, default: object = None) -> object:
    """Give a field by its name in the proto or its JSON name, as the gateway takes either."""
    head, *rest = name.split("_")
    return raw.get(name, raw.get(head + "".join(map(str.capitalize, rest)), default))


def octets(raw: dict, name: str) -> bytes:
    """Give a field of bytes."""
    return base64.b64decode(told(raw, name, ""))


def operation(raw: dict) -> Operation:
    """Read an operation of a transaction."""
    if (put := told(raw, "request_put")) is not None:
        return Put(octets(put, "key"), octets(put, "value"), int(told(put, "lease", 0)))
    for name, kind in (("request_range", Range), ("request_delete_range", Delete)):
        if (each := told(raw, name)) is not None:
            return kind(octets(each, "key"), octets(each, "range_end"))
    raise ValueError("an operation is a put, a range or a deletion")


def compare(raw: dict) -> Compare:
    """Read a condition of a transaction."""
    what, name = TARGETS[told(raw, "target", "VERSION")]
    against = octets(raw, name) if what == "value" else int(told(raw, name, 0))
    return Compare(octets(raw, "key"), what, RESULTS[told(raw, "result", "EQUAL")], against)


def written(pair: Pair) -> dict:
    """Write a pair as the gateway does, defaults left out."""
    fields = {
        "key": base64.b64encode(pair.key).decode(),
        "create_revision": str(pair.created),
        "mod_revision": str(pair.changed),
        "version": str(pair.version),
        "value": base64.b64encode(pair.value).decode(),
        "lease": str(pair.lease),
    }
    return {name: value for name, value in fields.items() if value not in ("0", "")}


def event(change: Change) -> dict:
    """Write a change as a watch tells it."""
    return {**({"type": "DELETE"} if change.deleted else {}), "kv": written(change.pair)}


class Engine:
    """The server; `port` 0 takes a free one."""

    def __init__(self, port: int = 0, seed: int = 1) -> None:
        self.store, self.port, self.rng = Store(seed), port, random.Random(seed)
        self.changed = asyncio.Condition()
        self.calls: Counter[str] = Counter()
        self.paused_until, self.delay, self.drop = 0.0, 0.0, 0.0
        self.lives = 0  # restarts, each of which ends the watches

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def __aenter__(self) -> Engine:
        app = web.Application(middlewares=[self.faulty])
        calls = {
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keepalive,
            "/v3/lease/revoke": self.revoke,
            "/v3/kv/put": self.put,
            "/v3/kv/range": self.range,
            "/v3/kv/deleterange": self.deleterange,
            "/v3/kv/txn": self.txn,
            "/v3/kv/compaction": self.compaction,
            "/v3/watch": self.watch,
            "/lab/faults": self.faults,
        }
        app.add_routes([web.post(path, handler) for path, handler in calls.items()])
        app.add_routes([web.get("/lab/state", self.state)])
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", self.port)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]
        self.expiring = asyncio.create_task(self.expire())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.expiring.cancel()
        await self.runner.cleanup()

    def now(self) -> timedelta:
        return timedelta(seconds=time.monotonic())

    def header(self) -> dict:
        return {
            "cluster_id": str(self.store.cluster),
            "member_id": "1",
            "revision": str(self.store.revision),
            "raft_term": str(self.lives + 1),
        }

    def answer(self, **fields: object) -> web.Response:
        return web.json_response({"header": self.header(), **fields})

    @web.middleware
    async def faulty(self, request: web.Request, handler: Callable[..., Awaitable]) -> web.StreamResponse:
        """Play the faults in force, and word errors as the gateway does."""
        if request.path.startswith("/lab/"):
            return await handler(request)
        self.calls[request.path] += 1
        await asyncio.sleep(max(0.0, self.paused_until - time.monotonic()))
        try:
            response = await handler(request)
        except NoLease:
            response = self.error(404, 5, "etcdserver: requested lease not found")
        except Compacted:
            response = self.error(400, 11, "etcdserver: mvcc: required revision has been compacted")
        except (ValueError, KeyError, TypeError) as wrong:
            response = self.error(400, 3, f"invalid argument: {wrong}")
        if self.rng.random() < self.drop:
            await asyncio.sleep(60)
        await asyncio.sleep(self.delay)
        await self.tell()
        return response

    def error(self, status: int, code: int, text: str) -> web.Response:
        return web.json_response({"error": text, "code": code, "message": text}, status=status)

    async def tell(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY)
            before = self.store.revision
            if time.monotonic() >= self.paused_until:
                self.store.expire(self.now())
            if self.store.revision != before:
                await self.tell()

    # --- calls

    async def grant(self, request: web.Request) -> web.Response:
        raw = await request.json()
        seconds = int(told(raw, "TTL", 0))
        if seconds <= 0:
            raise ValueError("TTL")
        return self.answer(ID=str(self.store.grant(self.now(), timedelta(seconds=seconds))), TTL=str(seconds))

    async def keepalive(self, request: web.Request) -> web.Response:
        number = int((await request.json())["ID"])
        left = self.store.renew(self.now(), number)
        fields = {"ID": str(number), **({"TTL": str(int(left.total_seconds()))} if left else {})}
        return web.json_response({"result": {"header": self.header(), **fields}})

    async def revoke(self, request: web.Request) -> web.Response:
        self.store.revoke(self.now(), int((await request.json())["ID"]))
        return self.answer()

    async def put(self, request: web.Request) -> web.Response:
        self.store.txn(self.now(), [], [operation({"request_put": await request.json()})], [])
        return self.answer()

    async def range(self, request: web.Request) -> web.Response:
        _, (pairs,) = self.store.txn(self.now(), [], [operation({"request_range": await request.json()})], [])
        return self.answer(kvs=[written(pair) for pair in pairs], count=str(len(pairs)))

    async def deleterange(self, request: web.Request) -> web.Response:
        raw = {"request_delete_range": await request.json()}
        _, (pairs,) = self.store.txn(self.now(), [], [operation(raw)], [])
        return self.answer(deleted=str(len(pairs)))

    async def txn(self, request: web.Request) -> web.Response:
        raw = await request.json()
        lists = [[operation(each) for each in told(raw, name, [])] for name in ("success", "failure")]
        held, found = self.store.txn(self.now(), [compare(each) for each in told(raw, "compare", [])], *lists)
        responses = []
        for each, pairs in zip(lists[0 if held else 1], found, strict=True):
            if isinstance(each, Range):
                kvs = [written(pair) for pair in pairs]
                responses.append({"response_range": {"kvs": kvs, "count": str(len(kvs))}})
            else:
                responses.append({"response_put" if isinstance(each, Put) else "response_delete_range": {}})
        return self.answer(**({"succeeded": True} if held else {}), responses=responses)

    async def compaction(self, request: web.Request) -> web.Response:
        self.store.compact(int(told(await request.json(), "revision", 0)))
        return self.answer()

    async def watch(self, request: web.Request) -> web.StreamResponse:
        raw = told(await request.json(), "create_request")
        key, end = octets(raw, "key"), octets(raw, "range_end")
        following = int(told(raw, "start_revision", 0)) or self.store.revision + 1
        response, life = web.StreamResponse(), self.lives
        await response.prepare(request)
        with suppress(ConnectionResetError):  # whoever watches may leave
            await self.follow(response, life, following, key, end)
        return response

    async def follow(
        self, response: web.StreamResponse, life: int, following: int, key: bytes, end: bytes
    ) -> None:
        """Tell changes from a revision on until the engine restarts."""
        await self.write(response, created=True)
        while life == self.lives:
            try:
                changes = self.store.since(following, key, end)
            except Compacted as gone:
                await self.write(response, canceled=True, compact_revision=str(gone.args[0]))
                break
            if changes:
                following = changes[-1].pair.changed + 1
                await asyncio.sleep(max(self.delay, self.paused_until - time.monotonic()))
                await self.write(response, events=[event(change) for change in changes])
                continue
            async with self.changed:
                await self.changed.wait()

    async def write(self, response: web.StreamResponse, **result: object) -> None:
        await response.write(orjson.dumps({"result": {"header": self.header(), **result}}) + b"\n")

    # --- faults

    async def faults(self, request: web.Request) -> web.Response:
        await self.apply(await request.json())
        return web.json_response({})

    async def apply(self, faults: dict) -> None:
        """Put faults in force; names that are not given stay as they are."""
        self.delay = faults.get("delay_ms", self.delay * 1000) / 1000
        self.drop = faults.get("drop", self.drop)
        if "pause_s" in faults:
            self.paused_until = time.monotonic() + faults["pause_s"]
        if (kind := faults.get("restart")) is not None:
            self.lives += 1
            if kind != "keep":
                {"lose_leases": self.store.lose_leases, "lose_all": self.store.lose_all}[kind]()
            await self.tell()

    async def state(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "revision": self.store.revision,
                "leases": len(self.store.leases),
                "calls": dict(self.calls),
                "keys": {pair.key.decode(): pair.value.decode() for pair in self.store.pairs.values()},
            }
        )
