"""Timers that the reducer sets, as the `timer` of `SetTimer` and `TimerFired`. Those of the router are ints.

A timer names what it is for as it was when the timer was set. One that fires after that has changed, or for
an earlier request with the same id, has no effect."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True, frozen=True)
class DeadlineTimer:
    """Timer for a client's deadline, in case the router has lost track of the request."""

    id: str
    received_at: timedelta


@dataclass(slots=True, frozen=True)
class AttemptTimer:
    """Timer for an attempt whose response is due before the client's deadline (`permits.response_due`)."""

    id: str
    attempt: int
    received_at: timedelta


@dataclass(slots=True, frozen=True)
class ReadStateTimer:
    """Timer for read state that a request may hold at endpoints: released unless a response has started."""

    id: str
    held_since: timedelta


@dataclass(slots=True, frozen=True)
class ReservationTimer:
    """Timer for a reservation that may exist although its read may not have reached the endpoint."""

    id: str
    attempt: int
    received_at: timedelta


Timer = int | DeadlineTimer | AttemptTimer | ReadStateTimer | ReservationTimer
