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
    MOOT = "moot"  # never sent, as the request had ended or a repeat was not permitted
    MISS = "miss"  # the prompt has been read at a reader, which holds its state for a writer to fetch


# --- settings


@dataclass(slots=True, frozen=True)
class KindSettings:
    """A kind of server; `memory` is its capacity in tokens, None if not known."""

    name: str
    role: Role
    memory: int | None = None


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """A class of requests, with its targets and whether its requests may be repeated."""

    name: str
    aim: int  # target TTFT, in ns
    deadline: int  # time limit of a request, in ns; not used by the router, which has Request.time_left
    effect: Idempotency
    worth: float = 1.0  # of an answer in time; not used by the router
    late_worth: float = 0.0  # of a late answer; not used by the router
    # KEYED only: the servers among which repeats are discarded; the default permits the fewest repeats.
    group: Group = Group.CELL
    window: int = 0  # KEYED only: time after the first send for which servers discard repeats, in ns
    aim_per_1000: int = 0  # added to the target TTFT per 1,000 prompt tokens, in ns
    token_aim: int | None = None  # target time per output token, in ns

    @property
    def safe_to_refuse(self) -> bool:
        """Return whether a request may be refused although it may have run.

        A refusal invites the client to send the request again, so a repeat must be harmless at any server.
        """
        return self.effect is Idempotency.SAFE or (
            self.effect is Idempotency.KEYED and self.group is Group.ALL
        )


@dataclass(slots=True, frozen=True)
class TenantSettings:
    """A tenant, and its share and quota over all routers."""

    name: str
    share: float | None = None  # not used by the router
    quota_per_s: float | None = None  # requests per second


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings that a router is started with.

    Some fields are not used by the router (the decision module): the rest of the conductor uses them, or they
    only describe the deployment.
    """

    kinds: tuple[KindSettings, ...]
    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    routers: int = 1  # number of routers in the fleet
    position: int = 0  # index of this router among them; not used by the router
    zone: str | None = None  # of this router; not used by the router
    tick: int = 0  # ns; margin by which deadlines and windows are treated as ending early
    over_share_worth: float = 1.0  # of requests above a tenant's share; not used by the router
    max_attempts: int | None = None  # per request; None: no limit
    cancel: bool = False  # attempts in flight may be cancelled
    second_copies: bool = False  # a SAFE request may have several attempts in flight at once
    probes: bool = False  # servers answer health checks
    peers: bool = False  # routers may send each other messages
    reserve_ahead: bool = False  # memory may be reserved at a writer during a read
    resume: bool = False  # clients resume a stream that was cut off; not used by the router
    writers_read: bool = False  # writers may read prompts as fallback, see Router.fallback_writers
    retry_after: bool = False  # a refusal may advise the client when to retry
    max_retry_after: int | None = None  # ns; longest such advice; None: none is given
    must_subscribe: bool = False  # the server list is sent to subscribed routers only
    far_price: float = 0.0  # of a state transfer; not used by the router
    probe_price: float = 0.0  # price of a reservation, as a fraction of the value of one answered request
    answer_slack: int = 0  # ns; not used by the router
    release_within: int | None = None  # ns; longest time that a read state may be held unused
    drain_grace: int = 0  # ns; how long a draining server still accepts requests; not used by the router
    cold: int = 0  # ns; warm-up time of a server after its start; 0: servers are warm at once
    cold_share: float = 1.0  # capacity of a cold server, as a share of a warm one's
    fall_multiple: float | None = (
        None  # multiple of its capacity that overloads a cold server; None: no slow start
    )
    fall: int = 0  # ns; period over which that overload is measured; not used by the router
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
    """An entry of the server list; `started_at` is 0 if the server started long ago."""

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
    """A client's request, as it arrived, which must get exactly one final answer.

    `time_left` is the time to its deadline. `prefix_tokens` is the length of the part of the prompt that it
    shares with other requests of its session or prefix. The router's state of the request is `state.Job`.
    """

    request_id: str
    class_name: str
    prompt_tokens: int
    max_output_tokens: int
    time_left: int
    session: str | None = None
    prefix: str | None = None
    prefix_tokens: int = 0
    hint: int | None = None  # expected output time in ns: output tokens times ClassSettings.token_aim
    tenant: str | None = None
    retry: bool = False  # the client has marked the request as a repeat of one that was refused or failed
    resumed: bool = False  # the client resumes a stream that was cut off; not used by the router


@dataclass(slots=True, frozen=True)
class FirstToken:
    """The response stream of an attempt has started, so the request can no longer be sent elsewhere."""

    request_id: str
    attempt: int
    server: int
    elapsed: int


# Value of Outcome.detail for CONNECT_FAILED and RESET: the failure says nothing about the server.
SERVER_NOT_AT_FAULT = 1


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended.

    `closed`: the request has ended, with this attempt or before it, so that none may follow. `detail` depends
    on the status. OK, MISS: the number of cached tokens that the server found. FULL: 1 if there was no read
    state for the writer to fetch, 0 if the server had no capacity. RESET, CONNECT_FAILED: SERVER_NOT_AT_FAULT
    if a kept-alive connection may have been closed as idle, if the conductor denied the send, or if a local
    socket failure or an internal error prevented it. Other statuses: 0.
    """

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
    """Send the request to a server; attempts count from 0.

    `timeout` limits the attempt, in ns; 0, which the router always uses, means the client's deadline.
    """

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
    """Give up an attempt in flight and close its connection; its Outcome follows as CANCELLED."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, safe to retry.

    `retry_after` advises the client after how many ns to retry; 0 gives no advice.
    """

    request_id: str
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request_id: str


@dataclass(slots=True, frozen=True)
class EndStream:
    """End a running stream cleanly, so that the client resumes it elsewhere; not used by the router."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event at a point in time."""

    at: int
    timer: int


@dataclass(slots=True, frozen=True)
class CancelTimer:
    """Withdraw a timer that is not needed any more. An expiry after this is ignored."""

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
    """Write a log line for operators; not used by the router."""

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
    | CancelTimer
    | Probe
    | SendPeerMessage
    | SubscribeServerList
    | Log
)
