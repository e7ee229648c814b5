"""The state of a stand-in for etcd: revisions, leases, transactions, history and its compaction. No I/O.

From etcd's public v3 API (`rpc.proto`, `kv.proto`): each change of the keys makes a revision, starting from
1; a key remembers the revisions of its creation and last change; a lease takes its keys with it; a watch is
told changes from a revision on, unless they were compacted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta


class Compacted(Exception):
    """The history asked for is gone; the argument is the first revision that is left."""


class NoLease(Exception):
    """No such lease."""


@dataclass(slots=True, frozen=True)
class Pair:
    """A key and its value, with what etcd keeps of them."""

    key: bytes
    value: bytes
    created: int
    changed: int
    version: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """A line of history; `pair.value` is empty where the key was deleted."""

    pair: Pair
    deleted: bool


@dataclass(slots=True)
class Lease:
    """A lease; it ends at `until` unless it is renewed."""

    ttl: timedelta
    until: timedelta
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Put:
    """An operation of a transaction."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Range:
    """An operation of a transaction: the keys from `key` to under `end`, or the one key."""

    key: bytes
    end: bytes = b""


@dataclass(slots=True, frozen=True)
class Delete:
    """An operation of a transaction, over the same keys as a range."""

    key: bytes
    end: bytes = b""


@dataclass(slots=True, frozen=True)
class Compare:
    """A condition: `what` of the key (a field of Pair) against a value, by `sign` (=, >, < or !)."""

    key: bytes
    what: str
    sign: str
    against: int | bytes


Operation = Put | Range | Delete
SIGNS: dict[str, Callable] = {
    "=": lambda a, b: a == b,
    "!": lambda a, b: a != b,
    ">": lambda a, b: a > b,
    "<": lambda a, b: a < b,
}


class Store:
    """Keys, leases and history; every call first ends what has run out by `now`."""

    def __init__(self, seed: int = 1) -> None:
        self.cluster, self.revision, self.compacted = seed, 1, 0
        self.pairs: dict[bytes, Pair] = {}
        self.leases: dict[int, Lease] = {}
        self.history: list[Change] = []
        self.granted = seed << 20

    # --- leases

    def expire(self, now: timedelta) -> None:
        """End the leases that have run out; each one's keys go in one revision."""
        for number in [number for number, lease in self.leases.items() if lease.until <= now]:
            self.revoke(now, number)

    def grant(self, now: timedelta, ttl: timedelta) -> int:
        """Grant a lease and give its number."""
        self.expire(now)
        self.granted += 1
        self.leases[self.granted] = Lease(ttl, now + ttl)
        return self.granted

    def renew(self, now: timedelta, number: int) -> timedelta:
        """Renew a lease and give its time to live, nothing where it is not known."""
        self.expire(now)
        if (lease := self.leases.get(number)) is None:
            return timedelta()
        lease.until = now + lease.ttl
        return lease.ttl

    def revoke(self, now: timedelta, number: int) -> None:
        """End a lease and its keys; raises NoLease."""
        if (lease := self.leases.pop(number, None)) is None:
            raise NoLease(number)
        if doomed := [key for key in sorted(lease.keys) if key in self.pairs]:
            self.revision += 1
            for key in doomed:
                self.delete(key)

    # --- keys

    def put(self, operation: Put) -> None:
        """Write a key at the present revision; raises NoLease."""
        if operation.lease and operation.lease not in self.leases:
            raise NoLease(operation.lease)
        old = self.pairs.get(operation.key)
        if old is not None and old.lease in self.leases:
            self.leases[old.lease].keys.discard(operation.key)
        if operation.lease:
            self.leases[operation.lease].keys.add(operation.key)
        created, version = (old.created, old.version + 1) if old else (self.revision, 1)
        pair = Pair(operation.key, operation.value, created, self.revision, version, operation.lease)
        self.pairs[operation.key] = pair
        self.history.append(Change(pair, deleted=False))

    def delete(self, key: bytes) -> None:
        """Delete a key that is there, at the present revision."""
        pair = self.pairs.pop(key)
        if pair.lease in self.leases:
            self.leases[pair.lease].keys.discard(key)
        gone = replace(pair, value=b"", created=0, changed=self.revision, version=0, lease=0)
        self.history.append(Change(gone, deleted=True))

    def within(self, key: bytes, end: bytes) -> list[Pair]:
        """Give the pairs of a range, in the order of their keys."""
        if not end:
            return [self.pairs[key]] if key in self.pairs else []
        return [self.pairs[k] for k in sorted(self.pairs) if key <= k and (end == b"\0" or k < end)]

    def holds(self, compare: Compare) -> bool:
        """Tell whether a condition holds; a key that is not there counts as all zero."""
        pair = self.pairs.get(compare.key) or Pair(compare.key, b"", 0, 0, 0)
        return SIGNS[compare.sign](getattr(pair, compare.what), compare.against)

    def txn(
        self, now: timedelta, compares: list[Compare], success: list[Operation], failure: list[Operation]
    ) -> tuple[bool, list[list[Pair]]]:
        """Do one of two lists of operations, whole, at one revision; raises NoLease and changes nothing then.

        Gives whether the conditions held, and the pairs of each operation (those found or deleted)."""
        self.expire(now)
        held = all(map(self.holds, compares))
        operations = success if held else failure
        for each in operations:
            if isinstance(each, Put) and each.lease and each.lease not in self.leases:
                raise NoLease(each.lease)
        doomed = any(isinstance(each, Delete) and self.within(each.key, each.end) for each in operations)
        self.revision += doomed or any(isinstance(each, Put) for each in operations)
        found = []
        for each in operations:
            pairs = [] if isinstance(each, Put) else self.within(each.key, each.end)
            found.append(pairs)
            if isinstance(each, Put):
                self.put(each)
            elif isinstance(each, Delete):
                for pair in pairs:
                    self.delete(pair.key)
        return held, found

    # --- history

    def since(self, revision: int, key: bytes, end: bytes = b"") -> list[Change]:
        """Give the changes from a revision on, of a key or a range; raises Compacted."""
        if revision <= self.compacted:
            raise Compacted(self.compacted + 1)
        return [
            change
            for change in self.history
            if change.pair.changed >= revision
            and (
                change.pair.key == key
                or (end != b"" and key <= change.pair.key and (end == b"\0" or change.pair.key < end))
            )
        ]

    def compact(self, revision: int) -> None:
        """Drop the history up to a revision; raises Compacted where that is done or lies ahead."""
        if not self.compacted < revision <= self.revision:
            raise Compacted(self.compacted + 1)
        self.compacted = revision
        self.history = [change for change in self.history if change.pair.changed > revision]

    # --- faults

    def lose_leases(self) -> None:
        """Forget all leases with their keys, as no engine should; revisions go on."""
        for number in list(self.leases):
            self.revoke(timedelta(), number)

    def lose_all(self) -> None:
        """Come back as a new and empty cluster."""
        self.__init__(self.cluster + 1)
