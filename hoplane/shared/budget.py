"""Fleet-wide rate limits, divided into quota slices that conductors hold under a lease. No I/O.

A budget bounds what all conductors together spend in any time window. A part of it is reserved: each of at
most `max_members` conductors may always spend its floor, even when it cannot reach etcd. The rest is a pool.
A conductor may hold a slice of the pool, recorded in etcd under its lease. No part of the pool is spent
twice: a holder stops spending its slice a whole window before its lease can expire and free the slice."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

ZERO = timedelta()


@dataclass(slots=True, frozen=True)
class Budget:
    """A limit of `bound` units in any `window`, for a fleet of at most `max_members` conductors.

    `reserve`: fraction of the bound that is divided into floors. Raises ValueError with a message that starts
    with the key."""

    bound: float
    window: timedelta
    max_members: int
    reserve: float = 0.3

    def __post_init__(self) -> None:
        """Reject values out of range."""
        if not self.bound > 0:
            raise ValueError("bound: must be above 0")
        if self.window <= ZERO:
            raise ValueError("window_ms: must be above 0")
        if self.max_members < 1:
            raise ValueError("most: must be at least 1")
        if not 0 <= self.reserve <= 1:
            raise ValueError("reserve: must be from 0 to 1")

    @property
    def floor(self) -> float:
        """Return what one conductor may always spend in a window."""
        return self.bound * self.reserve / self.max_members

    @property
    def pool(self) -> float:
        """Return the upper bound on the sum of all slices."""
        return self.bound - self.floor * self.max_members


class Quota:
    """One conductor's quota of one budget.

    `granted` is the slice recorded in etcd for this conductor. `spendable` is the part of it that the
    conductor may spend; it is smaller than `granted` for one window after a reduction. From `valid_until` on,
    by this conductor's own clock, the slice must not be spent."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.granted = self.spendable = 0.0
        self.valid_until = ZERO
        self.reduced_at: timedelta | None = None
        self.spendings: deque[tuple[timedelta, float]] = deque()
        self.reservations: deque[timedelta] = deque()  # sends that were decided on and have not gone out

    def allowance(self, now: timedelta) -> float:
        """Return what may be spent in the window that ends now."""
        return self.budget.floor + (self.spendable if now < self.valid_until else 0.0)

    def spent(self, now: timedelta) -> float:
        """Return what was spent or reserved in the window that ends now."""
        window_start = now - self.budget.window
        while self.spendings and self.spendings[0][0] <= window_start:
            self.spendings.popleft()
        while self.reservations and self.reservations[0] <= window_start:
            self.reservations.popleft()
        return sum(amount for _, amount in self.spendings) + len(self.reservations)

    def may_spend(self, now: timedelta, amount: float = 1.0) -> bool:
        """Return whether an amount fits in addition to what the window already contains."""
        return self.spent(now) + amount <= self.allowance(now) + 1e-9

    def spend(self, now: timedelta, amount: float = 1.0) -> None:
        """Record an amount as spent, whether or not `may_spend` allowed it."""
        self.spendings.append((now, amount))

    def reserve_send(self, now: timedelta) -> None:
        """Reserve room for a send that goes out a moment later or never. Expires after a window."""
        self.reservations.append(now)

    def spend_reserved(self, now: timedelta) -> bool:
        """Convert a reservation into a spend as the request is written. Returns False if it no longer fits.

        If the process was suspended between the decision and the write, the reservation may have expired and
        another conductor may hold the slice."""
        self.spent(now)
        if self.reservations:
            self.reservations.popleft()
        if fits := self.may_spend(now):
            self.spend(now)
        return fits

    def on_lease_renewed(self, sent_at: timedelta, safe_lifetime: timedelta) -> None:
        """Extend the validity of the slice, because a lease call sent at `sent_at` succeeded."""
        self.valid_until = max(self.valid_until, sent_at + safe_lifetime - self.budget.window)

    def on_lease_lost(self) -> None:
        """Void the slice: etcd deleted it together with the lease."""
        self.granted = self.spendable = 0.0
        self.valid_until, self.reduced_at = ZERO, None

    def target_slice(self, now: timedelta, members: int, granted_to_others: float) -> float:
        """Return the slice to record in etcd, given the live members and what is granted to the others.

        A slice above the fair share is reduced: first locally, and in etcd a window later."""
        min_useful_slice = 1.0 - self.budget.floor  # together with the floor it allows one whole unit
        # In a very large fleet an equal share would be under one unit, and nobody could spend anything. In
        # that case as many conductors as the pool allows hold enough for one unit, and the others hold
        # nothing.
        fair_share = max(self.budget.pool / max(1, members), min(min_useful_slice, self.budget.pool))
        if self.granted > fair_share + 1e-9:
            # A further reduction within the window of the first restarts the window, because the larger slice
            # could be spent until now.
            if self.reduced_at is None or fair_share < self.spendable - 1e-9:
                self.reduced_at, self.spendable = now, min(fair_share, self.spendable)
            return self.spendable if now >= self.reduced_at + self.budget.window else self.granted
        self.reduced_at = None
        available = min(fair_share, self.budget.pool - granted_to_others)
        return max(self.granted, available if available >= min_useful_slice - 1e-9 else 0.0)

    def on_slice_written(self, amount: float) -> None:
        """Apply a slice of this amount, which etcd has recorded for this conductor."""
        if self.reduced_at is None or amount <= self.spendable + 1e-9:
            self.spendable, self.reduced_at = amount, None
        self.granted = amount
