"""Final checks before bytes are sent, a response or a request is accepted, or a connection is closed. No I/O.

The choice of path and endpoint, and of retries, is made in `decision/router.py`. It is checked again here
when it takes effect, since a wait, a signal or a list update may come between. The limits of memory, request
size and connections are in `net/`. A check returns None if the work may proceed, else the reason for denial,
which the caller logs and counts.

Two facts of TCP matter here. Bytes handed to the system have not arrived yet, and closing a connection
doesn't recall them; only a reset does (`net/pool.py`). So an abandoned attempt is reset, and what may not
arrive after some time must be abandoned by then (`response_due`)."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Time from SIGTERM until new requests are refused. Refusals start before 0.7 s, because requests that arrive
# until then must be answered before SIGKILL, and the event loop may block for 0.15 s.
REFUSE_AFTER = timedelta(milliseconds=500)


class Denial(Enum):
    """Why something may not happen now. The values are log events, explained in `docs/on-call.md`."""

    CLIENT_DISCONNECTED = "client_gone"
    REQUEST_ENDED = "request_ended"
    READ_ENDED = "read_ended"
    DEADLINE_PASSED = "attempt_too_late"
    REPEAT_WINDOW_PASSED = "repeat_too_late"
    ATTEMPTS_USED = "attempts_used"
    NOT_REPEATABLE = "not_repeatable"
    NOT_LISTED = "send_stopped"
    OVER_BUDGET = "send_over_budget"
    STOPPING = "stopping"
    REQUEST_PENDING = "request_waits"
    CONNECTION_NEW = "connection_new"
    RESPONSE_TOO_LATE = "response_too_late"


class Phase(Enum):
    """Phase of the process with respect to new requests."""

    SERVING = "serving"
    DRAINING = "draining"  # operator's LEAVE: requests are served, connections close after their response
    GRACE_PERIOD = "lingering"  # after SIGTERM: requests are still served, as clients still send them here
    REFUSING = "ending"  # after `REFUSE_AFTER`: new requests are refused, as SIGKILL could cut them off


@dataclass(slots=True, frozen=True)
class SendConditions:
    """Conditions of a send, all as of now.

    `deadline` and `repeat_until` are times on the reducer's clock, or None if there is none.
    `repeat_until` is the end of the window in which endpoints discard duplicates.
    `read_in_flight` is None if the send does not depend on a read (a reservation is made only during one)."""

    now: timedelta
    client_disconnected: bool
    ended: bool  # the final answer was given, or a response has started
    listed: bool  # discovery lists the endpoint as accepting new work
    deadline: timedelta | None = None
    repeat_until: timedelta | None = None
    read_in_flight: bool | None = None


@dataclass(slots=True, frozen=True)
class RepeatConditions:
    """Conditions of another attempt.

    `repeatable`: the attempt is a read, or running the request twice does no harm (its class isn't UNSAFE).
    `may_have_run`: an earlier attempt reached a writer, or may have."""

    repeatable: bool
    may_have_run: bool
    attempts: int
    max_attempts: int | None


def may_accept(phase: Phase) -> Denial | None:
    """Check whether a request that was just read may be accepted."""
    return Denial.STOPPING if phase is Phase.REFUSING else None


def may_send(conditions: SendConditions) -> Denial | None:
    """Check whether bytes of an attempt or of a reservation call may be sent to an endpoint."""
    if conditions.client_disconnected:
        return Denial.CLIENT_DISCONNECTED
    if conditions.ended:
        return Denial.REQUEST_ENDED
    if conditions.read_in_flight is False:
        return Denial.READ_ENDED
    if conditions.repeat_until is not None and conditions.now >= conditions.repeat_until:
        return Denial.REPEAT_WINDOW_PASSED
    if conditions.deadline is not None and conditions.now >= conditions.deadline:
        return Denial.DEADLINE_PASSED
    return None if conditions.listed else Denial.NOT_LISTED


def may_repeat(conditions: RepeatConditions) -> Denial | None:
    """Check whether a request may have another attempt."""
    if conditions.max_attempts is not None and conditions.attempts >= conditions.max_attempts:
        return Denial.ATTEMPTS_USED
    return Denial.NOT_REPEATABLE if conditions.may_have_run and not conditions.repeatable else None


def response_due(
    *, deadline: timedelta, timeout_at: timedelta | None, repeat_until: timedelta | None
) -> timedelta:
    """Return until when an attempt may wait for its response; it is abandoned then.

    Until its response starts nothing shows that an attempt has arrived. A repeat that is still on its way
    when its window ends would run again on arrival, so it is recalled at that moment.

    `deadline`: of the request. `timeout_at`: of the attempt, or None.
    `repeat_until`: end of the window in which endpoints discard this attempt as a duplicate, or None."""
    limits = (deadline, timeout_at, repeat_until)
    return min(limit for limit in limits if limit is not None)


def may_respond(*, ended: bool, abandoned: bool, response_started: bool) -> Denial | None:
    """Check whether a response that an endpoint has begun may be passed on to the client.

    After the final answer, the client's connection may carry its next request.

    `ended`: the request has its final answer, or its client has disconnected.
    `abandoned`: the attempt was given up, so another one may have taken its place.
    `response_started`: the client is receiving a response already."""
    return Denial.RESPONSE_TOO_LATE if ended or abandoned or response_started else None


def may_close(
    *, request_in_progress: bool, unread_bytes: bool, age: float, served: bool, initial_grace: float
) -> Denial | None:
    """Check whether a client connection may be closed without a response. Called for each one in a flood.

    `request_in_progress`: a request was read and isn't answered yet, or its head is being read.
    `unread_bytes`: the system holds bytes that were not read.
    `age`: seconds since the connection was accepted or its last response was written.
    `served`: it has carried a request before.
    `initial_grace`: seconds that a new connection may stay silent."""
    if request_in_progress or unread_bytes:
        return Denial.REQUEST_PENDING
    return None if served or age > initial_grace else Denial.CONNECTION_NEW
