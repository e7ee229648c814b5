"""Client of etcd's v3 JSON gateway: leases, transactions, and a watch on one key.

Every call raises `EtcdUnavailable` if no usable reply arrived in time. The request may nevertheless have
been executed."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
import orjson

from hoplane.net.response_body import read_body

GRPC_NOT_FOUND = 5
MAX_REPLY_BYTES = 4 * 1024 * 1024  # of a call
MAX_LINE_BYTES = 1 << 20  # of one message of a watch stream


class EtcdUnavailable(Exception):
    """etcd gave no usable reply."""


class LeaseNotFound(Exception):
    """etcd does not know the lease."""


def encode_base64(value: bytes) -> str:
    """Encode bytes for the JSON gateway."""
    return base64.b64encode(value).decode()


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key's value and the revision of its last modification."""

    value: bytes
    mod_revision: int


class EtcdClient:
    """Client of an etcd cluster.

    After a failed call, but not after a failed watch, it uses the next address."""

    def __init__(self, addresses: list[str], timeout: timedelta) -> None:
        self.addresses, self.timeout, self.address_index = addresses, timeout.total_seconds(), 0
        # Connections are not reused: a call on one that a partition has silently broken would time out.
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))

    async def close(self) -> None:
        await self.session.close()

    def url(self, path: str) -> str:
        return f"http://{self.addresses[self.address_index % len(self.addresses)]}/v3/{path}"

    async def call(self, path: str, body: dict) -> dict:
        """Call the gateway. Raises EtcdUnavailable or LeaseNotFound."""
        try:
            client_timeout = aiohttp.ClientTimeout(total=self.timeout)
            async with self.session.post(
                self.url(path), data=orjson.dumps(body), timeout=client_timeout
            ) as response:
                data = await read_body(response, MAX_REPLY_BYTES)
            if data is None:
                raise aiohttp.ClientPayloadError(f"the reply exceeds {MAX_REPLY_BYTES} bytes")
            reply = orjson.loads(data)
        except (aiohttp.ClientError, TimeoutError, OSError, orjson.JSONDecodeError) as error:
            self.address_index += 1
            raise EtcdUnavailable(f"{path}: {type(error).__name__} {error}") from None
        if response.status == 404 and isinstance(reply, dict) and reply.get("code") == GRPC_NOT_FOUND:
            raise LeaseNotFound
        if response.status != 200 or not isinstance(reply, dict):
            self.address_index += 1
            raise EtcdUnavailable(f"{path}: status {response.status}")
        return reply

    async def grant(self, ttl_seconds: int) -> int:
        """Request a lease and return its id."""
        return self.int_field(await self.call("lease/grant", {"TTL": str(ttl_seconds)}), "ID")

    async def keepalive(self, lease_id: int) -> None:
        """Renew a lease. Raises LeaseNotFound if etcd does not know it."""
        result = (await self.call("lease/keepalive", {"ID": str(lease_id)})).get("result")
        if not isinstance(result, dict):
            raise EtcdUnavailable("lease/keepalive: no result")
        if int(result.get("TTL", 0)) <= 0:
            raise LeaseNotFound

    async def revoke(self, lease_id: int) -> None:
        await self.call("lease/revoke", {"ID": str(lease_id)})

    async def acquire_key(self, key: bytes, value: bytes, lease_id: int) -> tuple[bool, int, str]:
        """Create the key under the lease if it does not exist.

        Returns whether the key is ours, a revision and the key's value. The revision is the key's creation
        revision if it is ours, else etcd's current one. The call is idempotent: if the network delivers it
        twice, the second finds the key under our own lease and still reports it as ours."""
        lookup = {"request_range": {"key": encode_base64(key)}}
        put = {
            "request_put": {"key": encode_base64(key), "value": encode_base64(value), "lease": str(lease_id)}
        }
        reply = await self.call(
            "kv/txn",
            {
                "compare": [
                    {"result": "EQUAL", "target": "CREATE", "key": encode_base64(key), "create_revision": "0"}
                ],
                "success": [put, lookup],
                "failure": [lookup],
            },
        )
        revision = self.int_field(reply.get("header", {}), "revision")
        try:
            kvs = reply["responses"][-1]["response_range"].get("kvs") or []
            kv = kvs[0]
            is_ours = int(kv.get("lease", 0)) == lease_id
            create_revision = int(kv["create_revision"])
            holder = base64.b64decode(kv.get("value", "")).decode()
        except (KeyError, IndexError, TypeError, ValueError, AttributeError):
            raise EtcdUnavailable("kv/txn: the reply has no key") from None
        return is_ours, create_revision if is_ours else revision, holder

    async def read_prefix(self, prefix: bytes) -> dict[bytes, KeyValue]:
        """Return a consistent snapshot of all keys with a prefix."""
        end = prefix[:-1] + bytes([prefix[-1] + 1])
        reply = await self.call("kv/range", {"key": encode_base64(prefix), "range_end": encode_base64(end)})
        try:
            return {
                base64.b64decode(each["key"]): KeyValue(
                    base64.b64decode(each.get("value", "")), int(each["mod_revision"])
                )
                for each in reply.get("kvs") or []
            }
        except (KeyError, TypeError, ValueError, AttributeError):
            raise EtcdUnavailable("kv/range: malformed keys in the reply") from None

    async def commit(
        self, expected_revisions: dict[bytes, int], puts: list[tuple[bytes, bytes, int]]
    ) -> bool:
        """Compare-and-swap: write (key, value, lease id or 0) if the keys still have the expected revisions.

        An expected revision of 0 means that the key does not exist. Returns whether the writes were made.
        Raises LeaseNotFound, without any write, if a lease is unknown."""
        reply = await self.call(
            "kv/txn",
            {
                "compare": [
                    {
                        "result": "EQUAL",
                        "target": "MOD",
                        "key": encode_base64(key),
                        "mod_revision": str(revision),
                    }
                    for key, revision in expected_revisions.items()
                ],
                "success": [
                    {
                        "request_put": {
                            "key": encode_base64(key),
                            "value": encode_base64(value),
                            "lease": str(lease_id),
                        }
                    }
                    for key, value, lease_id in puts
                ],
            },
        )
        return reply.get("succeeded") is True

    async def wait_deleted(self, key: bytes, revision: int) -> None:
        """Wait until the key is deleted at this revision or later, or until etcd cancels the watch.

        Raises EtcdUnavailable if the connection fails or ends."""
        body = {"create_request": {"key": encode_base64(key), "start_revision": str(revision)}}
        client_timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.timeout)
        try:
            async with self.session.post(self.url("watch"), json=body, timeout=client_timeout) as response:
                async for result in self.stream_results(response):
                    events = result.get("events") or []
                    if any(each.get("type") == "DELETE" for each in events):
                        return
                    # Canceled, for example, after the start revision was compacted: a deletion may have been
                    # missed, so the caller campaigns again.
                    if result.get("canceled"):
                        return
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, AttributeError) as error:
            raise EtcdUnavailable(f"watch: {type(error).__name__} {error}") from None
        raise EtcdUnavailable("watch: the stream ended")

    async def stream_results(self, response: aiohttp.ClientResponse) -> AsyncIterator[dict]:
        """Yield the results of a stream of newline-delimited JSON objects."""
        buffer = b""
        async for chunk in response.content.iter_any():
            *complete_lines, buffer = (buffer + chunk).split(b"\n")
            if len(buffer) > MAX_LINE_BYTES:
                raise ValueError("a stream message is too long")
            for line in complete_lines:
                if line.strip():
                    yield orjson.loads(line).get("result") or {}

    @staticmethod
    def int_field(reply: dict, name: str) -> int:
        try:
            return int(reply[name])
        except (KeyError, TypeError, ValueError):
            raise EtcdUnavailable(f"{name}: missing in the reply") from None
