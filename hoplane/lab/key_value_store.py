"""In-memory key-value store of the etcd stand-in: revisions, leases, transactions and compaction. No I/O.

It follows etcd's public v3 API (`rpc.proto`, `kv.proto`): the revision starts at 1 and grows with each change
of keys; a key stores the revisions of its creation and last change; when a lease ends, its keys are deleted;
a watch gets the changes from a revision on, unless they were compacted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta


class RevisionCompacted(Exception):
    """The requested history was compacted. The argument is the first available revision."""


class UnknownLease(Exception):
    """The lease does not exist."""


@dataclass(slots=True, frozen=True)
class KeyValue:
    """A key and its value with etcd's metadata. `created` and `changed` are revisions, `lease` is an ID."""

    key: bytes
    value: bytes
    created: int
    changed: int
    version: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """An entry of the history. For a deletion, `pair.value` is empty."""

    pair: KeyValue
    deleted: bool


@dataclass(slots=True)
class Lease:
    """A lease. It expires at `expires_at` unless it is renewed."""

    ttl: timedelta
    expires_at: timedelta
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Put:
    """Operation of a transaction: writes a key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Range:
    """Operation of a transaction: reads the keys from `key` to `range_end` (excluded), or the one key."""

    key: bytes
    range_end: bytes = b""


@dataclass(slots=True, frozen=True)
class Delete:
    """Operation of a transaction: deletes the keys that a range selects."""

    key: bytes
    range_end: bytes = b""


@dataclass(slots=True, frozen=True)
class Compare:
    """Condition of a transaction on `target`, a field of KeyValue. `operator` is one of =, >, < and !."""

    key: bytes
    target: str
    operator: str
    expected: int | bytes


Operation = Put | Range | Delete
COMPARISONS: dict[str, Callable] = {
    "=": lambda a, b: a == b,
    "!": lambda a, b: a != b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
}


class KeyValueStore:
    """Keys, leases and history. `grant`, `renew` and `txn` first revoke the leases that expired by `now`."""

    def __init__(self, seed: int = 1) -> None:
        self.cluster_id, self.revision, self.compacted_revision = seed, 1, 0
        self.pairs: dict[bytes, KeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self.history: list[Change] = []
        self.last_lease_id = seed << 20

    # --- leases

    def expire(self, now: timedelta) -> None:
        """Revoke expired leases. The keys of each are deleted in one revision."""
        for lease_id in [lease_id for lease_id, lease in self.leases.items() if lease.expires_at <= now]:
            self.revoke(now, lease_id)

    def grant(self, now: timedelta, ttl: timedelta) -> int:
        """Grant a lease and return its ID."""
        self.expire(now)
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = Lease(ttl, now + ttl)
        return self.last_lease_id

    def renew(self, now: timedelta, lease_id: int) -> timedelta:
        """Renew a lease and return its time to live, zero if it does not exist."""
        self.expire(now)
        if (lease := self.leases.get(lease_id)) is None:
            return timedelta()
        lease.expires_at = now + lease.ttl
        return lease.ttl

    def revoke(self, now: timedelta, lease_id: int) -> None:
        """Revoke a lease and delete its keys. Raises UnknownLease."""
        if (lease := self.leases.pop(lease_id, None)) is None:
            raise UnknownLease(lease_id)
        if deleted_keys := [key for key in sorted(lease.keys) if key in self.pairs]:
            self.revision += 1
            for key in deleted_keys:
                self.delete(key)

    # --- keys

    def put(self, operation: Put) -> None:
        """Write a key at the current revision. Raises UnknownLease."""
        if operation.lease and operation.lease not in self.leases:
            raise UnknownLease(operation.lease)
        previous = self.pairs.get(operation.key)
        if previous is not None and previous.lease in self.leases:
            self.leases[previous.lease].keys.discard(operation.key)
        if operation.lease:
            self.leases[operation.lease].keys.add(operation.key)
        created, version = (previous.created, previous.version + 1) if previous else (self.revision, 1)
        pair = KeyValue(operation.key, operation.value, created, self.revision, version, operation.lease)
        self.pairs[operation.key] = pair
        self.history.append(Change(pair, deleted=False))

    def delete(self, key: bytes) -> None:
        """Delete an existing key at the current revision."""
        pair = self.pairs.pop(key)
        if pair.lease in self.leases:
            self.leases[pair.lease].keys.discard(key)
        tombstone = replace(pair, value=b"", created=0, changed=self.revision, version=0, lease=0)
        self.history.append(Change(tombstone, deleted=True))

    def select(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        """Return the pairs of a range, ordered by key."""
        if not range_end:
            return [self.pairs[key]] if key in self.pairs else []
        return [
            self.pairs[k] for k in sorted(self.pairs) if key <= k and (range_end == b"\0" or k < range_end)
        ]

    def evaluate(self, compare: Compare) -> bool:
        """Return whether a condition holds. All fields of a missing key are zero or empty."""
        pair = self.pairs.get(compare.key) or KeyValue(compare.key, b"", 0, 0, 0)
        return COMPARISONS[compare.operator](getattr(pair, compare.target), compare.expected)

    def txn(
        self, now: timedelta, compares: list[Compare], success: list[Operation], failure: list[Operation]
    ) -> tuple[bool, list[list[KeyValue]]]:
        """Perform one of two lists of operations atomically, at one revision.

        Returns whether the conditions held, and the pairs that each operation read or deleted. Raises
        UnknownLease without any change."""
        self.expire(now)
        succeeded = all(map(self.evaluate, compares))
        operations = success if succeeded else failure
        for operation in operations:
            if isinstance(operation, Put) and operation.lease and operation.lease not in self.leases:
                raise UnknownLease(operation.lease)
        deletes_keys = any(
            isinstance(operation, Delete) and self.select(operation.key, operation.range_end)
            for operation in operations
        )
        self.revision += deletes_keys or any(isinstance(operation, Put) for operation in operations)
        results = []
        for operation in operations:
            pairs = [] if isinstance(operation, Put) else self.select(operation.key, operation.range_end)
            results.append(pairs)
            if isinstance(operation, Put):
                self.put(operation)
            elif isinstance(operation, Delete):
                for pair in pairs:
                    self.delete(pair.key)
        return succeeded, results

    # --- history

    def changes_since(self, revision: int, key: bytes, range_end: bytes = b"") -> list[Change]:
        """Return the changes of a key or a range from a revision on. Raises RevisionCompacted."""
        if revision <= self.compacted_revision:
            raise RevisionCompacted(self.compacted_revision + 1)
        return [
            change
            for change in self.history
            if change.pair.changed >= revision
            and (
                change.pair.key == key
                or (
                    range_end != b""
                    and key <= change.pair.key
                    and (range_end == b"\0" or change.pair.key < range_end)
                )
            )
        ]

    def compact(self, revision: int) -> None:
        """Drop the history up to a revision. Raises RevisionCompacted if it is compacted or in the future."""
        if not self.compacted_revision < revision <= self.revision:
            raise RevisionCompacted(self.compacted_revision + 1)
        self.compacted_revision = revision
        self.history = [change for change in self.history if change.pair.changed > revision]

    # --- faults

    def lose_leases(self) -> None:
        """Delete all leases with their keys, unlike a correct etcd. The revision continues."""
        for lease_id in list(self.leases):
            self.revoke(timedelta(), lease_id)

    def lose_all(self) -> None:
        """Reset to a new, empty cluster."""
        self.__init__(self.cluster_id + 1)
