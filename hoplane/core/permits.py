"""Decides whether something may be sent, repeated, started or closed now. The one place for it; no I/O.

Each question is asked twice: when the work is decided on, and again as it takes effect (the bytes are handed
to the system, the connection closes), since a wait, a signal or a list may lie between. An answer is None
where the work may go on, and else the reason why not, which the caller logs and counts.

Two facts of TCP stand behind the questions. Bytes handed to the system have not arrived, and closing a
connection does not recall them: only a reset does (`net/pool.py`). An attempt that is given up is reset."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Since SIGTERM. What comes 0.7 s after it must be answered before SIGKILL; a loop may be held for 0.15 s.
REFUSE_AFTER = timedelta(milliseconds=500)


class Denial(Enum):
    """Why something may not happen now. The values are log events that `docs/on-call.md` explains."""

    CLIENT_GONE = "client_gone"
    ENDED = "request_ended"
    READ_ENDED = "read_ended"
    DEADLINE_PASSED = "attempt_too_late"
    REPEAT_WINDOW_PASSED = "repeat_too_late"
    ATTEMPTS_USED = "attempts_used"
    NOT_REPEATABLE = "not_repeatable"
    NOT_LISTED = "send_stopped"
    OVER_BUDGET = "send_over_budget"
    STOPPING = "stopping"
    REQUEST_WAITS = "request_waits"
    TOO_YOUNG = "connection_new"


class Phase(Enum):
    """How far a process is in its life, as far as new requests are concerned."""

    SERVING = "serving"
    DRAINING = "draining"  # an operator's LEAVE: connections end with their answers, requests are served
    LINGERING = "lingering"  # SIGTERM came, and clients have not heard of it yet
    ENDING = "ending"  # what comes from now on could be cut by SIGKILL, and would be lost


@dataclass(slots=True, frozen=True)
class SendFacts:
    """What a send depends on, all as of now.

    `deadline` and `repeat_until` are moments on the reducer's clock, None where there is none. `reads_out` is
    None where the send does not depend on a read (a place is asked for during one alone)."""

    now: timedelta
    client_gone: bool
    ended: bool  # the final answer was given, or an answer has begun
    listed: bool  # discovery lists the endpoint as one that takes new work
    deadline: timedelta | None = None
    repeat_until: timedelta | None = None
    reads_out: bool | None = None


@dataclass(slots=True, frozen=True)
class RepeatFacts:
    """What a further attempt depends on. `may_have_run`: an earlier one reached a writer, or might have."""

    repeatable: bool
    may_have_run: bool
    attempts: int
    most: int | None


def may_start(phase: Phase) -> Denial | None:
    """Tell whether a request that has just been read may be taken."""
    return Denial.STOPPING if phase is Phase.ENDING else None


def may_send(facts: SendFacts) -> Denial | None:
    """Tell whether bytes of an attempt, or of a place asked for, may go to an endpoint."""
    if facts.client_gone:
        return Denial.CLIENT_GONE
    if facts.ended:
        return Denial.ENDED
    if facts.reads_out is False:
        return Denial.READ_ENDED
    if facts.repeat_until is not None and facts.now >= facts.repeat_until:
        return Denial.REPEAT_WINDOW_PASSED
    if facts.deadline is not None and facts.now >= facts.deadline:
        return Denial.DEADLINE_PASSED
    return None if facts.listed else Denial.NOT_LISTED


def may_repeat(facts: RepeatFacts) -> Denial | None:
    """Tell whether one more attempt may be made for a request."""
    if facts.most is not None and facts.attempts >= facts.most:
        return Denial.ATTEMPTS_USED
    return Denial.NOT_REPEATABLE if facts.may_have_run and not facts.repeatable else None


def may_close(
    *, request_open: bool, bytes_wait: bool, age: float, served: bool, fresh: float
) -> Denial | None:
    """Tell whether a client's connection may be closed without an answer; asked for each in a flood of them.

    `request_open`: one was read and is not answered, or its head is being read. `bytes_wait`: the system
    holds bytes that were not read. `age`: seconds since it was accepted or its last answer was written.
    `served`: it has carried a request before. `fresh`: seconds that a new one may be silent at first."""
    if request_open or bytes_wait:
        return Denial.REQUEST_WAITS
    return None if served or age > fresh else Denial.TOO_YOUNG
