"""A budget of bytes in memory that are taken from peers."""

from __future__ import annotations


class MemoryBudget:
    """Budget of bytes in memory, shared by the connections of a process.

    The caller rejects what `reserve` has no room for: a front checks the size of a request's body before it
    reads the body, `relay.py` checks each piece of a buffered response. This has nothing to do with
    reservations at endpoints.
    """

    def __init__(self, limit: int) -> None:
        self.limit = self.available = limit

    def resize(self, limit: int) -> None:
        """Change the limit in bytes; bytes in use stay in use, so `available` may become negative."""
        self.available += limit - self.limit
        self.limit = limit

    def reserve(self, size: int) -> bool:
        """Take bytes from the budget; return whether so many were available."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def release(self, size: int) -> None:
        """Return bytes to the budget."""
        self.available += size


class MemoryLease:
    """Bytes of a budget that belong to one message; they are given back once, however it ends."""

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget, self.size, self.released = budget, 0, False

    def extend(self, size: int) -> bool:
        """Take more bytes; return whether so many were available and the message has not ended."""
        if self.released or not self.budget.reserve(size):
            return False
        self.size += size
        return True

    def shrink(self, size: int) -> None:
        """Give back all bytes over a size."""
        if not self.released and self.size > size:
            self.budget.release(self.size - size)
            self.size = size

    def release(self) -> None:
        """Give all bytes back. Further calls do nothing."""
        if not self.released:
            self.released = True
            self.budget.release(self.size)
