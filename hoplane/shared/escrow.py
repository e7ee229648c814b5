"""Budgets that a fleet spends together, cut into slices that each conductor holds for a term. No I/O.

A budget bounds what all conductors together spend in any window of time. A part of it is split beforehand:
each of at most `most` conductors may always spend its floor, whatever it hears. The rest is a pool, of
which a conductor may hold a slice, written at the engine under its lease. No slice is counted twice: what
its holder spends of it ends a whole window before the engine can let the slice go."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

ZERO = timedelta()


@dataclass(slots=True, frozen=True)
class Budget:
    """What the fleet may spend: `bound` units in any `window`, by at most `most` conductors.

    `reserve`: the part of the bound that is split into floors. Raises ValueError with the key in front."""

    bound: float
    window: timedelta
    most: int
    reserve: float = 0.3

    def __post_init__(self) -> None:
        """Refuse what bounds nothing."""
        if not self.bound > 0:
            raise ValueError("bound: must be above 0")
        if self.window <= ZERO:
            raise ValueError("window_ms: must be above 0")
        if self.most < 1:
            raise ValueError("most: must be at least 1")
        if not 0 <= self.reserve <= 1:
            raise ValueError("reserve: must be from 0 to 1")

    @property
    def floor(self) -> float:
        """Give what one conductor may always spend in a window."""
        return self.bound * self.reserve / self.most

    @property
    def pool(self) -> float:
        """Give what all slices together may hold."""
        return self.bound - self.floor * self.most


class Purse:
    """One conductor's part of one budget.

    `held` is what the engine has written for us, `slice` what we spend by: less than `held` for a window
    after a cut, and nothing once the term is over. `until` is our own clock's time at which it is."""

    def __init__(self, budget: Budget) -> None:
        self.budget = budget
        self.held = self.slice = 0.0
        self.until = ZERO
        self.cut_at: timedelta | None = None
        self.spends: deque[tuple[timedelta, float]] = deque()
        self.booked: deque[timedelta] = deque()  # sends decided on that have not gone

    def allowance(self, now: timedelta) -> float:
        """Give what may be spent in the window that ends now."""
        return self.budget.floor + (self.slice if now < self.until else 0.0)

    def spent(self, now: timedelta) -> float:
        """Give what was spent in the window that ends now."""
        over = now - self.budget.window
        while self.spends and self.spends[0][0] <= over:
            self.spends.popleft()
        while self.booked and self.booked[0] <= over:
            self.booked.popleft()
        return sum(amount for _, amount in self.spends) + len(self.booked)

    def may_spend(self, now: timedelta, amount: float = 1.0) -> bool:
        """Tell whether an amount fits beside what the window holds already."""
        return self.spent(now) + amount <= self.allowance(now) + 1e-9

    def spend(self, now: timedelta, amount: float = 1.0) -> None:
        """Note an amount as spent; what was not asked for by `may_spend` counts all the same."""
        self.spends.append((now, amount))

    def book(self, now: timedelta) -> None:
        """Keep room for a send that was decided on, for a window: it goes a moment later, or never."""
        self.booked.append(now)

    def go(self, now: timedelta) -> bool:
        """Spend a send as its bytes go, in place of one that was booked; False where it no longer fits.

        Guards against a process that stands still, or is behind, between the decision and the bytes: its
        slice may be another's by then, and the window that it was booked in is over."""
        self.spent(now)
        if self.booked:
            self.booked.popleft()
        if fits := self.may_spend(now):
            self.spend(now)
        return fits

    def renewed(self, sent: timedelta, span: timedelta) -> None:
        """Take in that the lease lives, by a call sent then; `span` is how long that surely holds."""
        self.until = max(self.until, sent + span - self.budget.window)

    def lost(self) -> None:
        """Take in that the lease is gone, and every slice with it."""
        self.held = self.slice = 0.0
        self.until, self.cut_at = ZERO, None

    def wanted(self, now: timedelta, members: int, others: float) -> float:
        """Give what should be written for us, by how many live and what others hold.

        More than our part is cut: first here, and at the engine a window later."""
        whole = 1.0 - self.budget.floor  # with the floor, what one whole unit needs
        # Guards against a fleet so large that nobody's part comes to a unit, and nothing would be spent:
        # then as many conductors as the pool has room for hold what a unit needs, and the others nothing.
        part = max(self.budget.pool / max(1, members), min(whole, self.budget.pool))
        if self.held > part + 1e-9:
            # Guards against a second cut within the first one's window: what it takes was spent by until now.
            if self.cut_at is None or part < self.slice - 1e-9:
                self.cut_at, self.slice = now, min(part, self.slice)
            return self.slice if now >= self.cut_at + self.budget.window else self.held
        self.cut_at = None
        room = min(part, self.budget.pool - others)
        return max(self.held, room if room >= whole - 1e-9 else 0.0)

    def written(self, amount: float) -> None:
        """Take in that the engine has written this amount for us."""
        if self.cut_at is None or amount <= self.slice + 1e-9:
            self.slice, self.cut_at = amount, None
        self.held = amount
