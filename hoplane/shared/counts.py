"""Counters that merge: each process counts for itself, and the fleet's count is the sum. No I/O.

Grow-only counters by process: merging takes the larger of two counts of one process, so that it does not
matter how often, in which order or how late reports come."""

from __future__ import annotations

Counts = dict[str, int]


class Counter:
    """The fleet's counts as one process knows them. `me` names the process, anew with each start."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.known: dict[str, Counts] = {me: {}}

    @property
    def mine(self) -> Counts:
        return self.known[self.me]

    def add(self, name: str, more: int = 1) -> None:
        """Count. Raises ValueError for less than nothing."""
        if more < 0:
            raise ValueError(f"{name}: counts only grow")
        self.mine[name] = self.mine.get(name, 0) + more

    def take(self, process: str, counts: Counts) -> None:
        """Merge a report of a process in, our own of an earlier moment among them."""
        have = self.known.setdefault(process, {})
        for name, count in counts.items():
            have[name] = max(have.get(name, 0), count)

    def total(self) -> Counts:
        """Give the fleet's counts."""
        found: Counts = {}
        for counts in self.known.values():
            for name, count in counts.items():
                found[name] = found.get(name, 0) + count
        return dict(sorted(found.items()))
