"""The reducer's input events and the effects that it returns. Plain data without behaviour.

Times are `timedelta` on the reducer's clock. `decision/interface.py` has classes of the same names, such as
`Release`: they are the router's events and actions, in nanoseconds. The reducer converts between the two.

`log_name` is a class's name in log lines. Operators' tools match it, so it stays when a class is renamed."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import ClassVar

from hoplane.core.timers import Timer
from hoplane.decision.interface import Settings, State, Status

ZERO = timedelta()


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A model server as listed by discovery. `started` is on the reducer's clock; zero means long ago."""

    name: str
    address: str
    zone: str
    kind: str
    cell: int
    state: State
    weight: float = 1.0
    started: timedelta = ZERO


# --- events


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request was accepted; it gets exactly one final answer.

    The reducer's state of it is `reducer.Request`, the router's event is `interface.Request`.
    `idempotency_key` identifies a request that must not run twice; None for one that may."""

    log_name: ClassVar[str] = "Asked"

    id: str
    class_name: str
    prompt_tokens: int
    max_output_tokens: int
    time_left: timedelta
    session: str | None = None
    prefix: str | None = None
    prefix_tokens: int = 0
    tenant: str | None = None
    retry: bool = False
    resumed: bool = False
    idempotency_key: str | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client closed its connection."""

    log_name: ClassVar[str] = "Left"

    id: str


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The first event of an attempt's response is about to be sent to the client."""

    log_name: ClassVar[str] = "Began"

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended; its connection is idle again or closed.

    `written`: the last byte of the request may have been written to the endpoint."""

    log_name: ClassVar[str] = "Ended"

    id: str
    attempt: int
    status: Status
    detail: int = 0
    load: dict[str, float] = field(default_factory=dict)
    written: bool = True


@dataclass(slots=True, frozen=True)
class ReservationFinished:
    """Result of a `Reserve` call: reserved, not reserved, or None if unknown.

    `unanswered`: the endpoint sent no answer."""

    log_name: ClassVar[str] = "HoldAnswered"

    id: str
    attempt: int
    reserved: bool | None
    unanswered: bool = False


@dataclass(slots=True, frozen=True)
class ProbeFinished:
    """Result of a health probe of an endpoint."""

    log_name: ClassVar[str] = "Probed"

    server: int
    status: Status
    duration: timedelta
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with `SetTimer` has expired."""

    log_name: ClassVar[str] = "Due"

    timer: Timer


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """The endpoint list changed. `complete`: this is the full list, else only the changed entries.

    `unreadable` names endpoints whose entries could not be parsed; their previous entries stay valid."""

    log_name: ClassVar[str] = "Listed"

    endpoints: tuple[Endpoint, ...]
    complete: bool
    unreadable: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestRejectedAtFront:
    """The front answered a request itself, before the reducer saw it. `refused`: refused, else failed."""

    log_name: ClassVar[str] = "Turned"

    class_name: str
    refused: bool


@dataclass(slots=True, frozen=True)
class SettingsReloaded:
    """The configuration file was reloaded on SIGHUP. `settings` is None if the file was invalid.

    New settings apply to requests that arrive from now on."""

    log_name: ClassVar[str] = "Reloaded"

    settings: Settings | None


@dataclass(slots=True, frozen=True)
class EndpointReportedFailing:
    """Outlier detection, shared by the conductors, reports an endpoint as failing; the router ejects it."""

    log_name: ClassVar[str] = "Judged"

    endpoint: str


@dataclass(slots=True, frozen=True)
class RequestInterrupted:
    """A request ends early because the process is about to be killed; its client resumes it elsewhere."""

    log_name: ClassVar[str] = "Closing"

    id: str


Event = (
    RequestReceived
    | ClientDisconnected
    | ResponseStarted
    | AttemptEnded
    | ReservationFinished
    | ProbeFinished
    | TimerFired
    | EndpointsUpdated
    | RequestRejectedAtFront
    | SettingsReloaded
    | EndpointReportedFailing
    | RequestInterrupted
)


# --- effects


@dataclass(slots=True, frozen=True)
class Forward:
    """Start an attempt: send the request to an endpoint, along with its `time_left`.

    `at_most_once`: the request must not run twice, so the last byte is withheld as long as possible to know
    for certain that an attempt did not run.
    `repeat_until`: the end of the window in which endpoints discard duplicates; the attempt must start
    before it."""

    log_name: ClassVar[str] = "Forward"

    id: str
    attempt: int
    endpoint: Endpoint
    time_left: timedelta
    is_read: bool
    at_most_once: bool = False
    repeat_until: timedelta | None = None


@dataclass(slots=True, frozen=True)
class AbandonAttempt:
    """Close an attempt's connection. Its `AttemptEnded` still follows."""

    log_name: ClassVar[str] = "Abandon"

    id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Reserve:
    """Make a reservation at an endpoint once the last byte of the read attempt is sent."""

    log_name: ClassVar[str] = "AskHold"

    id: str
    attempt: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health probe to an endpoint."""

    log_name: ClassVar[str] = "Probe"

    server: int
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class Release:
    """Release the read state and all reservations of a request. Any endpoint accepts the call.

    `endpoints`: those that took part in the request; they are tried first.
    `delay`: time to wait before the first call.
    `held_since`: since when read state or a reservation may be held, on the reducer's clock.
    `repeat`: release again later, as a read was cut off and may still complete, and leave its state, after
    the first release."""

    log_name: ClassVar[str] = "LetGo"

    id: str
    endpoints: tuple[Endpoint, ...]
    delay: timedelta = ZERO
    held_since: timedelta | None = None
    repeat: bool = False


@dataclass(slots=True, frozen=True)
class AttemptRecord:
    """How an attempt of a request ended, for the log: `status` is None while it is in flight."""

    endpoint: str
    status: Status | None


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused; retrying is harmless. `retry_after` is None where no advice may be given."""

    log_name: ClassVar[str] = "Refuse"

    id: str
    retry_after: timedelta | None
    reason: str
    attempts: tuple[AttemptRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have run. `duplicate`: its id may have run before."""

    log_name: ClassVar[str] = "Fail"

    id: str
    reason: str
    duplicate: bool = False
    attempts: tuple[AttemptRecord, ...] = ()


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerFired` event at a time on the reducer's clock."""

    log_name: ClassVar[str] = "Wake"

    at: timedelta
    timer: Timer


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line."""

    log_name: ClassVar[str] = "Say"

    event: str
    fields: dict[str, object]


@dataclass(slots=True, frozen=True)
class ReleaseKey:
    """Give up an idempotency key, as its request certainly never ran: any process may accept it again."""

    log_name: ClassVar[str] = "ReleaseKey"

    key: str


@dataclass(slots=True, frozen=True)
class CancelTimer:
    """Withdraw a timer that is not needed any more."""

    log_name: ClassVar[str] = "CancelTimer"

    timer: Timer


Effect = (
    Forward
    | AbandonAttempt
    | Reserve
    | Probe
    | Release
    | Refuse
    | Fail
    | SetTimer
    | CancelTimer
    | ReleaseKey
    | WriteLog
)
