"""Which ids may have run: bounded in number and in time, oldest dropped first."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class Ledger:
    """Ids of requests that must not run twice.

    Guards against a client that repeats a booking whose first sending may have run or is running. An id
    is taken when the request comes and stays until `keep` after its end, unless it surely never ran."""

    most: int
    keep: timedelta
    running: set[str] = field(default_factory=set)
    ran: dict[str, timedelta] = field(default_factory=dict)  # oldest first

    def clashes(self, key: str, now: timedelta) -> bool:
        """Tell whether an id is running or may have run lately."""
        self.expire(now)
        return key in self.running or key in self.ran

    @property
    def full(self) -> bool:
        """Tell whether another id would not fit: dropping one early could let a booking run twice."""
        return len(self.running) + len(self.ran) >= self.most

    def start(self, key: str) -> None:
        """Book an id as running."""
        self.running.add(key)

    def end(self, key: str, now: timedelta, may_have_run: bool) -> None:
        """Book an id as over; one that never ran may come again."""
        self.running.discard(key)
        if may_have_run:
            self.ran[key] = now

    def expire(self, now: timedelta) -> None:
        """Drop what is older than the keeping time."""
        while self.ran and now - next(iter(self.ran.values())) > self.keep:
            del self.ran[next(iter(self.ran))]
