"""A client of etcd's v3 JSON gateway: leases, one transaction, and a watch on one key.

From etcd's public API. Every call raises `Unheard` where no usable answer came in time; what it asked for
may have been done all the same."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
import orjson

NO_LEASE = 5  # gRPC's NOT_FOUND
LINE_MOST = 1 << 20  # of a watch's line


class Unheard(Exception):
    """No usable answer came."""


class NoLease(Exception):
    """The engine does not know the lease."""


def coded(value: bytes) -> str:
    """Write bytes as the gateway takes them."""
    return base64.b64encode(value).decode()


@dataclass(slots=True, frozen=True)
class Pair:
    """A key's value, and the revision of its last change."""

    value: bytes
    changed: int


class Etcd:
    """The engine at one or more addresses; after a failure the next one is asked."""

    def __init__(self, addresses: list[str], timeout: timedelta) -> None:
        self.addresses, self.timeout, self.at = addresses, timeout.total_seconds(), 0
        # No connection is kept: one that a partition made silent would cost a call when it is used again.
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))

    async def close(self) -> None:
        await self.session.close()

    def url(self, path: str) -> str:
        return f"http://{self.addresses[self.at % len(self.addresses)]}/v3/{path}"

    async def call(self, path: str, body: dict) -> dict:
        """Make a call; raises Unheard, NoLease."""
        try:
            limit = aiohttp.ClientTimeout(total=self.timeout)
            async with self.session.post(self.url(path), data=orjson.dumps(body), timeout=limit) as response:
                told = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, orjson.JSONDecodeError) as error:
            self.at += 1
            raise Unheard(f"{path}: {type(error).__name__} {error}") from None
        if response.status == 404 and isinstance(told, dict) and told.get("code") == NO_LEASE:
            raise NoLease
        if response.status != 200 or not isinstance(told, dict):
            self.at += 1
            raise Unheard(f"{path}: status {response.status}")
        return told

    async def grant(self, seconds: int) -> int:
        """Have a lease granted and give its number."""
        return self.number(await self.call("lease/grant", {"TTL": str(seconds)}), "ID")

    async def keepalive(self, lease: int) -> None:
        """Renew a lease; raises NoLease where the engine does not know it."""
        result = (await self.call("lease/keepalive", {"ID": str(lease)})).get("result")
        if not isinstance(result, dict):
            raise Unheard("lease/keepalive: no result")
        if int(result.get("TTL", 0)) <= 0:
            raise NoLease

    async def revoke(self, lease: int) -> None:
        await self.call("lease/revoke", {"ID": str(lease)})

    async def take(self, key: bytes, value: bytes, lease: int) -> tuple[bool, int, str]:
        """Write the key under the lease unless it is there; give whether it is ours, its revision, its value.

        The revision is that of its creation where it is ours, and of the engine else. A call that comes
        twice, as over a bad link, finds the key under our own lease: it is ours then, too."""
        found = {"request_range": {"key": coded(key)}}
        put = {"request_put": {"key": coded(key), "value": coded(value), "lease": str(lease)}}
        told = await self.call(
            "kv/txn",
            {
                "compare": [
                    {"result": "EQUAL", "target": "CREATE", "key": coded(key), "create_revision": "0"}
                ],
                "success": [put, found],
                "failure": [found],
            },
        )
        revision = self.number(told.get("header", {}), "revision")
        try:
            kvs = told["responses"][-1]["response_range"].get("kvs") or []
            pair = kvs[0]
            ours = int(pair.get("lease", 0)) == lease
            created = int(pair["create_revision"])
            holder = base64.b64decode(pair.get("value", "")).decode()
        except (KeyError, IndexError, TypeError, ValueError, AttributeError):
            raise Unheard("kv/txn: no pair in its answer") from None
        return ours, created if ours else revision, holder

    async def read(self, prefix: bytes) -> dict[bytes, Pair]:
        """Give all keys that begin with a prefix, as they stood at one revision."""
        end = prefix[:-1] + bytes([prefix[-1] + 1])
        told = await self.call("kv/range", {"key": coded(prefix), "range_end": coded(end)})
        try:
            return {
                base64.b64decode(each["key"]): Pair(
                    base64.b64decode(each.get("value", "")), int(each["mod_revision"])
                )
                for each in told.get("kvs") or []
            }
        except (KeyError, TypeError, ValueError, AttributeError):
            raise Unheard("kv/range: no pairs in its answer") from None

    async def commit(self, unchanged: dict[bytes, int], puts: list[tuple[bytes, bytes, int]]) -> bool:
        """Write pairs (key, value, lease or 0) if these keys still have these revisions (0: not there).

        Gives whether it was written. Raises NoLease where a lease is not known, and writes nothing then."""
        told = await self.call(
            "kv/txn",
            {
                "compare": [
                    {"result": "EQUAL", "target": "MOD", "key": coded(key), "mod_revision": str(revision)}
                    for key, revision in unchanged.items()
                ],
                "success": [
                    {"request_put": {"key": coded(key), "value": coded(value), "lease": str(lease)}}
                    for key, value, lease in puts
                ],
            },
        )
        return told.get("succeeded") is True

    async def gone(self, key: bytes, revision: int) -> None:
        """Return once the key is deleted, at this revision or later; raises Unheard where the watch ends."""
        body = {"create_request": {"key": coded(key), "start_revision": str(revision)}}
        limit = aiohttp.ClientTimeout(total=None, sock_connect=self.timeout)
        try:
            async with self.session.post(self.url("watch"), json=body, timeout=limit) as response:
                async for result in self.lines(response):
                    events = result.get("events") or []
                    if any(each.get("type") == "DELETE" for each in events):
                        return
                    if result.get("canceled"):  # what came before is compacted: ask how it stands
                        return
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, AttributeError) as error:
            raise Unheard(f"watch: {type(error).__name__} {error}") from None
        raise Unheard("watch: ended")

    async def lines(self, response: aiohttp.ClientResponse) -> AsyncIterator[dict]:
        """Give the results of a stream, one JSON object a line."""
        rest = b""
        async for part in response.content.iter_any():
            *whole, rest = (rest + part).split(b"\n")
            if len(rest) > LINE_MOST:
                raise ValueError("a line is too long")
            for line in whole:
                if line.strip():
                    yield orjson.loads(line).get("result") or {}

    @staticmethod
    def number(told: dict, name: str) -> int:
        try:
            return int(told[name])
        except (KeyError, TypeError, ValueError):
            raise Unheard(f"{name}: missing in the answer") from None
