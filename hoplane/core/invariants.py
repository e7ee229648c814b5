"""Checks at run time what must always hold of a request's life, and counts what does not. No I/O.

The checks stand beside the decisions (`core/permits.py`) and do not rest on them: they look at what was done.
A violation is a fault of this program; `DUMP` gives their number and the log a line `violation` for each
kind, at most once a second."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from enum import Enum

LATE = timedelta(milliseconds=500)  # after a request's time, up to which an answer only earns nothing


class Violation(Enum):
    """What should never happen."""

    RUN_TWICE = "run_twice"
    ANSWERED_TWICE = "answered_twice"
    ANSWERED_LATE = "answered_late"
    ENDED_UNANSWERED = "ended_unanswered"
    CLOSED_UNANSWERED = "closed_unanswered"
    EFFECT_FAILED = "effect_failed"
    EVENT_FAILED = "event_failed"
    HELD_TOO_LONG = "held_too_long"


class Invariants:
    """Counts violations by kind, and follows which requests have had their final answer."""

    def __init__(self) -> None:
        self.counts: Counter[Violation] = Counter()
        self.due: dict[str, timedelta] = {}  # by request without a final answer: when its time is over

    @property
    def total(self) -> int:
        """Give the number of violations since the start."""
        return sum(self.counts.values())

    def note(self, violation: Violation) -> Violation:
        """Count a violation."""
        self.counts[violation] += 1
        return violation

    def taken(self, id: str, deadline: timedelta) -> None:
        """Note that a request was taken: one final answer is owed."""
        self.due[id] = deadline

    def answered(self, id: str, now: timedelta) -> Violation | None:
        """Check a final answer: it is the only one, and it is in time, or late by no more than `LATE`."""
        deadline = self.due.pop(id, None)
        if deadline is None:
            return self.note(Violation.ANSWERED_TWICE)
        return self.note(Violation.ANSWERED_LATE) if now > deadline + LATE else None

    def began(self, id: str) -> None:
        """Note that an answer has begun: from here on it may take its time."""
        if id in self.due:
            self.due[id] = timedelta.max - LATE

    def left(self, id: str) -> None:
        """Note that a client has gone: nothing is owed to it."""
        self.due.pop(id, None)

    def closed(self, id: str) -> Violation | None:
        """Check the end of a request's handler: its answer was given, or its client has gone."""
        return self.note(Violation.ENDED_UNANSWERED) if self.due.pop(id, None) is not None else None
