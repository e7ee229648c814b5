"""Grow-only counters (G-counter CRDT): each process counts for itself, the fleet's count is the sum. No I/O.

Merging takes the larger of two counts of one process, so reports may arrive repeatedly, late and out of
order."""

from __future__ import annotations

Counts = dict[str, int]


class GrowOnlyCounter:
    """The fleet's counts as one process knows them. `process_id` is unique for each start of a process."""

    def __init__(self, process_id: str) -> None:
        self.process_id = process_id
        self.counts_by_process: dict[str, Counts] = {process_id: {}}

    @property
    def own_counts(self) -> Counts:
        return self.counts_by_process[self.process_id]

    def increment(self, name: str, amount: int = 1) -> None:
        """Increment a local count. Raises ValueError for a negative amount."""
        if amount < 0:
            raise ValueError(f"{name}: cannot decrement a grow-only counter")
        self.own_counts[name] = self.own_counts.get(name, 0) + amount

    def merge(self, process: str, counts: Counts) -> None:
        """Merge the counts that a process reported; these may be older counts of our own."""
        merged = self.counts_by_process.setdefault(process, {})
        for name, count in counts.items():
            merged[name] = max(merged.get(name, 0), count)

    def total(self) -> Counts:
        """Return the fleet's counts."""
        totals: Counts = {}
        for counts in self.counts_by_process.values():
            for name, count in counts.items():
                totals[name] = totals.get(name, 0) + count
        return dict(sorted(totals.items()))
