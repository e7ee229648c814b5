"""Runtime checks of the invariants of a request's life cycle; counts violations. No I/O.

The checks are independent of the decisions (`core/permits.py`): they observe what was actually done. A
violation is a bug in this program. `DUMP` reports their number, and the log has a line `violation` for each
kind at most once a second."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from enum import Enum

MAX_LATENESS = timedelta(milliseconds=500)  # after its deadline an answer is useless, but no violation
# Time after the end of its window within which the event loop must have recalled an unanswered repeat.
RECALL_TOLERANCE = timedelta(milliseconds=500)


class Violation(Enum):
    """An invariant that was violated."""

    RUN_TWICE = "run_twice"
    REPEAT_OUTLIVED_WINDOW = "repeat_outlived_window"
    ANSWERED_TWICE = "answered_twice"
    ANSWERED_LATE = "answered_late"
    ENDED_UNANSWERED = "ended_unanswered"
    CLOSED_UNANSWERED = "closed_unanswered"
    EFFECT_FAILED = "effect_failed"
    EVENT_FAILED = "event_failed"
    HELD_TOO_LONG = "held_too_long"


class Invariants:
    """Counts violations by kind, and tracks which requests still need their final answer.

    The runtime calls the methods named after an event when it happens: they record the event and check that
    it is permitted at this point. Those that can detect a violation return it, already counted."""

    def __init__(self) -> None:
        self.counts: Counter[Violation] = Counter()
        self.deadlines: dict[str, timedelta] = {}  # of requests without a final answer, by id

    @property
    def total(self) -> int:
        """Return the number of violations since the start."""
        return sum(self.counts.values())

    def record(self, violation: Violation) -> Violation:
        """Count a violation."""
        self.counts[violation] += 1
        return violation

    def request_received(self, id: str, deadline: timedelta) -> None:
        """Record the arrival of a request, which must get exactly one final answer."""
        self.deadlines[id] = deadline

    def final_answer_given(self, id: str, now: timedelta) -> Violation | None:
        """Record a final answer; check that it is the only one and at most `MAX_LATENESS` after the deadline.

        Returns the violation, if any."""
        deadline = self.deadlines.pop(id, None)
        if deadline is None:
            return self.record(Violation.ANSWERED_TWICE)
        return self.record(Violation.ANSWERED_LATE) if now > deadline + MAX_LATENESS else None

    def response_started(self, id: str) -> Violation | None:
        """Record the start of a request's response; check that the request has no final answer yet.

        The deadline no longer applies from then on. Returns the violation, if any."""
        if id not in self.deadlines:
            return self.record(Violation.ANSWERED_TWICE)
        self.deadlines[id] = timedelta.max - MAX_LATENESS
        return None

    def attempt_ended_unanswered(self, repeat_until: timedelta | None, now: timedelta) -> Violation | None:
        """Record an attempt's end without an answer; check that a repeat was not in flight after its window.

        `repeat_until`: end of the window in which endpoints discard the attempt as a duplicate, or None.
        Returns the violation, if any."""
        if repeat_until is None or now <= repeat_until + RECALL_TOLERANCE:
            return None
        return self.record(Violation.REPEAT_OUTLIVED_WINDOW)

    def client_disconnected(self, id: str) -> None:
        """Record a client's disconnect: its request needs no answer."""
        self.deadlines.pop(id, None)

    def handler_ended(self, id: str) -> Violation | None:
        """Record the end of a request's handler; check that it answered or that its client disconnected.

        Returns the violation, if any."""
        return self.record(Violation.ENDED_UNANSWERED) if self.deadlines.pop(id, None) is not None else None
