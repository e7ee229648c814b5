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
    ahead: bool = False
    resume: bool = False
    writers_read: bool = False
    retry_after: bool = False
    max_retry_after: int | None = None
    must_ask: bool = False  # the server list comes only to routers that subscribe
    far_price: float = 0.0
    probe_price: float = 0.0
    answer_slack: int = 0
    release_within: int | None = None
    drain_grace: int = 0
    cold: int = 0
    cold_share: float = 1.0
    fall_multiple: float | None = None
    fall: int = 0
    waiting_told: str | None = None  # what load reports call the thousands of prompt tokens that wait
    held_told: str | None = None  # and the share of its memory that a server holds

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
class Entry:
    """A line of the server list."""

    server: int
    kind: str
    zone: str
    cell: int
    state: State
    weight: float = 1.0
    born: int = 0


@dataclass(slots=True, frozen=True)
class Fleet:
    """The server list, whole or what changed of it; `entries` is None where asking for it failed."""

    entries: tuple[Entry, ...] | None
    whole: bool


@dataclass(slots=True, frozen=True)
class Request:
    """A client's request; one final answer is owed from here on."""

    request: str
    cls: str
    prompt: int
    max_out: int
    patience: int
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

    request: str
    attempt: int
    server: int
    elapsed: int


KEPT = 1


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended. `note`: with OK and MISS tokens found kept, with FULL 1 for no state to fetch.

    With RESET or CONNECT_FAILED, KEPT tells of a connection from before that was perhaps closed as idle,
    or of a send that was held back by us: neither tells of the server."""

    request: str
    attempt: int
    server: int
    status: Status
    elapsed: int
    closed: bool = False
    note: int = 0
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Place:
    """Whether a place was held, asked for with Hold."""

    request: str
    attempt: int
    server: int
    held: bool


@dataclass(slots=True, frozen=True)
class Gone:
    """The client has left; nothing is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer set with SetTimer is due."""

    timer: int


@dataclass(slots=True, frozen=True)
class Probed:
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


Event = Fleet | Request | FirstToken | Outcome | Place | Gone | Timer | Probed | PeerMessage


# --- actions


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request to a server; attempts count from 0. `timeout` 0: until the client gives up."""

    request: str
    server: int
    timeout: int = 0


@dataclass(slots=True, frozen=True)
class Hold:
    """Hold a place ahead at a writer."""

    request: str
    server: int


@dataclass(slots=True, frozen=True)
class Release:
    """Let go of every state and place that no attempt waits for."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """End the wait for one attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, trying again is harmless. `pause` 0: no advice on when."""

    request: str
    pause: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    request: str


@dataclass(slots=True, frozen=True)
class Move:
    """End a running stream in good order; its client comes back."""

    request: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a Timer event."""

    at: int
    timer: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(slots=True, frozen=True)
class Tell:
    """Send a message to one router, or to all the others where `to` is None."""

    to: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Watch:
    """Subscribe to the server list."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Hold | Release | Cancel | Refuse | Fail | Move | SetTimer | Probe | Tell | Watch | Log
