"""Remembers which idempotency keys may have run.

A key expires after the retention time; when the store is full, new keys are refused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b

DIGEST_BYTES = 16  # of a key, as clients choose how long their keys are


def key_digest(key: str) -> bytes:
    """Return a digest that stands for a key."""
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class IdempotencyStore:
    """Idempotency keys of requests that must not run twice.

    A client may repeat a request whose first copy is still running or may have run. A key is recorded when
    its request arrives and stored for `retention` after its end, unless the request certainly never ran.
    Keys are stored as digests."""

    capacity: int
    retention: timedelta
    running: set[bytes] = field(default_factory=set)
    finished: dict[bytes, timedelta] = field(default_factory=dict)  # end times, oldest first

    def is_duplicate(self, key: str, now: timedelta) -> bool:
        """Return whether a key is running, or may have run within the retention time."""
        self.expire(now)
        digest = key_digest(key)
        return digest in self.running or digest in self.finished

    @property
    def full(self) -> bool:
        """Return whether there is no room for another key; evicting one could let a request run twice."""
        return len(self.running) + len(self.finished) >= self.capacity

    def start(self, key: str) -> None:
        """Record a key as running."""
        self.running.add(key_digest(key))

    def end(self, key: str, now: timedelta, may_have_run: bool) -> None:
        """Record a key as ended; one that never ran may be used again."""
        digest = key_digest(key)
        self.running.discard(digest)
        if may_have_run:
            self.finished[digest] = now

    def expire(self, now: timedelta) -> None:
        """Drop keys older than the retention time."""
        while self.finished and now - next(iter(self.finished.values())) > self.retention:
            del self.finished[next(iter(self.finished))]
