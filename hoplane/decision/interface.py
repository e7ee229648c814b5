"""What goes into the decision module and what comes out: settings, events and actions.

All times and spans are integer nanoseconds, all lengths are tokens. `None` means "not told".
Nothing is decided here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Role(Enum):
    """What a kind of server does."""

    READ = "read"
    WRITE = "write"
    BOTH = "both"


class Effect(Enum):
    """How far a request may be repeated once it may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What the server list says of a server."""

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
    MISS = "miss"  # the prompt has been read; its state waits at the reader


# --- settings


@dataclass(slots=True, frozen=True)
class KindSettings:
    """A kind of server."""

    name: str
    role: Role
    memory: int | None = None


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """A class of requests."""

    name: str
    aim: int
    deadline: int
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window: int = 0
    aim_per_1000: int = 0
    token_aim: int | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether it may be refused, and so be sent again by its client, though it may have run."""
        return self.effect is Effect.SAFE or (self.effect is Effect.KEYED and self.group is Group.ALL)


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """A tenant and what it may ask for, over all routers."""

    name: str
    share: float | None = None
    quota_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class Settings:
    """What a router is told at start."""

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
    must_subscribe: bool = False  # the server list comes only to routers that subscribe
    far_price: float = 0.0
    probe_price: float = 0.0
    answer_slack: int = 0
    release_within: int | None = None
    drain_grace: int = 0
    cold: int = 0
    cold_share: float = 1.0
    fall_multiple: float | None = None
    fall: int = 0
    waiting_tokens_field: str | None = None  # what load reports call the thousands of prompt tokens that wait
    held_memory_field: str | None = None  # and the share of its memory that a server holds

    def __post_init__(self) -> None:
        """Refuse settings that cannot be."""
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
    """A line of the server list."""

    server: int
    kind: str
    zone: str
    cell: int
    state: State
    weight: float = 1.0
    started_at: int = 0


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """The server list, whole or what changed of it; `entries` is None where asking for it failed."""

    entries: tuple[ServerEntry, ...] | None
    whole: bool


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; one final answer is owed from here on."""

    request_id: str
    cls: str
    prompt_tokens: int
    max_output_tokens: int
    time_left: int
    session: str | None = None
    prefix: str | None = None
    prefix_len: int = 0
    hint: int | None = None
    tenant: str | None = None
    retry: bool = False
    resumed: bool = False


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The answer's stream has begun."""

    request_id: str
    attempt: int
    server: int
    elapsed: int


SERVER_NOT_AT_FAULT = 1


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
    """Whether a place was held, asked for with Reserve."""

    request_id: str
    attempt: int
    server: int
    reserved: bool


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has left; nothing is owed any more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with SetTimer is due."""

    timer: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """What came of a Probe."""

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
    """Send the request to a server; attempts count from 0. `timeout` 0: until the client gives up."""

    request_id: str
    server: int
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class Reserve:
    """Hold a place ahead at a writer."""

    request_id: str
    server: int


@dataclass(slots=True, frozen=True)
class Release:
    """Let go of every state and place that no attempt waits for."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """End the wait for one attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, trying again is harmless. `retry_after` 0: no advice on when."""

    request_id: str
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    request_id: str


@dataclass(slots=True, frozen=True)
class EndStream:
    """End a running stream in good order; its client comes back."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired event."""

    at: int
    timer: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send a message to one router, or to all the others where `to` is None."""

    to: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class SubscribeServerList:
    """Subscribe to the server list."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

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
