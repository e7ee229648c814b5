"""The interface of the decision module: settings, events (its input) and actions (its output).

All times and durations are integer nanoseconds, all lengths are in tokens. `None` means "not known". This
module holds data only; decisions are made in `router.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Role(Enum):
    """The work that a kind of server does."""

    READ = "read"
    WRITE = "write"
    BOTH = "both"


class Idempotency(Enum):
    """Whether a request may be repeated once it may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The set of servers that discard repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """The state of a server according to the server list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"  # the prompt has been read; the reader holds its state


# --- settings


@dataclass(slots=True, frozen=True)
class KindSettings:
    """A kind of server; `memory` is its capacity in tokens."""

    name: str
    role: Role
    memory: int | None = None


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """A class of requests; `aim` is the target TTFT, `window` the span in which repeats are discarded."""

    name: str
    aim: int
    deadline: int
    effect: Idempotency
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window: int = 0
    aim_per_1000: int = 0
    token_aim: int | None = None

    @property
    def safe_to_refuse(self) -> bool:
        """Return whether a request may be refused although it may have run.

        A refusal invites the client to send the request again.
        """
        return self.effect is Idempotency.SAFE or (
            self.effect is Idempotency.KEYED and self.group is Group.ALL
        )


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """A tenant, and its share and quota over all routers."""

    name: str
    share: float | None = None
    quota_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings that a router is started with."""

    kinds: tuple[KindSettings, ...]
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    routers: int = 1
    position: int = 0
    zone: str | None = None
    tick: int = 0
    over_share_worth: float = 1.0
    max_attempts: int | None = None
    cancel: bool = False
    second_copies: bool = False
    probes: bool = False
    peers: bool = False
    reserve_ahead: bool = False
    resume: bool = False
    writers_read: bool = False
    retry_after: bool = False
    max_retry_after: int | None = None
    must_subscribe: bool = False  # the server list is sent to subscribed routers only
    far_price: float = 0.0
    probe_price: float = 0.0
    answer_slack: int = 0
    release_within: int | None = None
    drain_grace: int = 0
    cold: int = 0
    cold_share: float = 1.0
    fall_multiple: float | None = None
    fall: int = 0
    waiting_tokens_field: str | None = None  # load report field: waiting prompt tokens, in thousands
    held_memory_field: str | None = None  # load report field: share of the server's memory in use

    def __post_init__(self) -> None:
        """Reject inconsistent settings; each error names the setting."""
        if not any(kind.role is not Role.READ for kind in self.kinds):
            raise ValueError("kinds: there is no writer and no mixed kind")
        if not self.classes:
            raise ValueError("classes: there are none")
        if self.routers < 1:
            raise ValueError("routers: must be at least 1")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")
        if self.max_attempts is not None and self.max_attempts < 1:
            raise ValueError("max_attempts: must be at least 1")
        times = ("tick", "answer_slack", "release_within", "drain_grace", "cold", "fall", "max_retry_after")
        for name in times:
            if (getattr(self, name) or 0) < 0:
                raise ValueError(f"{name}: a time cannot be negative")
        for cls in self.classes:
            for name in ("aim", "deadline", "window", "aim_per_1000", "token_aim"):
                if (getattr(cls, name) or 0) < 0:
                    raise ValueError(f"classes.{cls.name}.{name}: a time cannot be negative")


# --- events


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """An entry of the server list; `started_at` is 0 if the start lies long back."""

    server: int
    kind: str
    zone: str
    cell: int
    state: State
    weight: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """The whole server list, or only the changed entries; `entries` is None if fetching it failed."""

    entries: tuple[ServerEntry, ...] | None
    whole: bool


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request, which must get exactly one final answer."""

    request_id: str
    class_name: str
    prompt_tokens: int
    max_output_tokens: int
    time_left: int
    session: str | None = None
    prefix: str | None = None
    prefix_tokens: int = 0
    hint: int | None = None  # expected output time, see ClassSettings.token_aim
    tenant: str | None = None
    retry: bool = False
    resumed: bool = False


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The response stream of an attempt has started."""

    request_id: str
    attempt: int
    server: int
    elapsed: int


SERVER_NOT_AT_FAULT = 1  # value of Outcome.detail


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended.

    `detail` depends on the status. OK, MISS: the number of cached tokens that the server found. FULL: 1 if
    the server had no read state to fetch. RESET, CONNECT_FAILED: SERVER_NOT_AT_FAULT if a kept-alive
    connection may have been closed as idle, or the send was held back on our side; neither says anything
    about the server."""

    request_id: str
    attempt: int
    server: int
    status: Status
    elapsed: int
    closed: bool = False
    detail: int = 0
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ReservationResult:
    """The result of a Reserve action."""

    request_id: str
    attempt: int
    server: int
    reserved: bool


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with SetTimer has expired."""

    timer: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The result of a Probe action."""

    server: int
    status: Status
    elapsed: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    data: bytes


Event = (
    ServerListUpdate
    | Request
    | FirstToken
    | Outcome
    | ReservationResult
    | ClientDisconnected
    | TimerFired
    | ProbeResult
    | PeerMessage
)


# --- actions


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request to a server; attempts count from 0. `timeout` 0: until the client's deadline."""

    request_id: str
    server: int
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class Reserve:
    """Reserve memory at a writer while the prompt is still being read."""

    request_id: str
    server: int


@dataclass(slots=True, frozen=True)
class Release:
    """Release all read states and reservations of a request that no attempt still needs."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, safe to retry. `retry_after` 0 gives the client no advice on when."""

    request_id: str
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request_id: str


@dataclass(slots=True, frozen=True)
class EndStream:
    """End a running stream cleanly, so that the client resumes it elsewhere."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event at a point in time."""

    at: int
    timer: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to one router, or to all others if `to` is None."""

    to: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class SubscribeServerList:
    """Subscribe to the server list."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a log line for operators."""

    text: str


Action = (
    Send
    | Reserve
    | Release
    | Cancel
    | Refuse
    | Fail
    | EndStream
    | SetTimer
    | Probe
    | SendPeerMessage
    | SubscribeServerList
    | Log
)
