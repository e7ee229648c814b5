"""The state that a router keeps of servers, requests and sessions. Nothing is decided or tuned here."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Protocol
from zlib import crc32

from .interface import (
    ClassSettings,
    FirstToken,
    KindSettings,
    Outcome,
    Request,
    ReservationResult,
    Role,
    ServerEntry,
    ServerListUpdate,
    State,
)


def stable_hash(text: str) -> int:
    """Hash a text to the same value in every process."""
    value = (crc32(text.encode()) + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return ((value ^ value >> 31) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF) >> 32


@dataclass(slots=True)
class MovingAverage:
    """An exponential moving average; the first sample counts in full."""

    value: float | None = None  # None before the first sample

    def add(self, sample: float, weight: float) -> None:
        """Add a sample with the given weight."""
        self.value = sample if self.value is None else self.value + weight * (sample - self.value)


@dataclass(slots=True)
class DecayingCounter:
    """A count of recent events that decays linearly over `span`."""

    span: int
    count: float = 0.0
    updated_at: int = 0

    def add(self, now: int, amount: int = 1) -> float:
        """Add events and return the decayed count."""
        self.count = self.count * max(0.0, 1 - (now - self.updated_at) / self.span) + amount
        self.updated_at = now
        return self.count


RESULT_WINDOW = 20_000_000_000  # over which a server's successes and failures are counted


# Names of sessions or prefixes in a table, as clients choose them. An entry takes at most 0.6 KB, or 1.4 KB
# if its key is no ASCII.
MAX_TABLE_ENTRIES = 4096


class Timestamped(Protocol):
    """An object that records when it was last updated."""

    updated_at: int


def drop_older_than(table: dict[str, Timestamped], cutoff: int) -> None:
    """Remove entries updated before the cutoff from a table that is ordered by update time."""
    while table and next(iter(table.values())).updated_at < cutoff:
        del table[next(iter(table))]


def limit_entries(table: dict[str, Timestamped]) -> None:
    """Remove the oldest entries over `MAX_TABLE_ENTRIES` from a table that is ordered by update time."""
    while len(table) > MAX_TABLE_ENTRIES:
        del table[next(iter(table))]


@dataclass(slots=True, eq=False)
class Server:
    """A server as seen by this router: its list entry, our attempts there, and what was observed of it.

    The core has endpoints instead, which carry an address and no observations.
    """

    entry: ServerEntry
    role: Role
    memory: int
    in_flight: dict[tuple[str, int], Attempt] = field(default_factory=dict)  # our attempts, oldest first
    committed_tokens: int = 0  # upper bound of the memory that our attempts will use, in tokens
    streams: int = 0  # our attempts in flight there that are not reads
    queue_delay: int = 0  # ns, of its last read or first token: the elapsed time less the reading time
    queue_delay_at: int = 0
    # Waiting attempts sent before this time are presumed lost, as a later one was answered.
    overtaken_before: int = 0
    last_seen: int = 0
    last_probe_at: int = 0
    last_probe_answer_at: int = 0
    timed_out_process: int | None = None  # start time of the process whose last probe timed out
    idle_at: int = 0  # when a probe answer reported an empty queue; 0 if the last one reported load
    consecutive_ejections: int = 0
    consecutive_errors: int = 0  # including answers that could not be read
    recent_failures: DecayingCounter = field(default_factory=lambda: DecayingCounter(RESULT_WINDOW))
    # Counts finished reads and started responses.
    recent_successes: DecayingCounter = field(default_factory=lambda: DecayingCounter(RESULT_WINDOW))
    load_reported_at: int = 0
    reported_memory_share: float = 0.0
    ejected_until: int = 0
    # Full for a tenant and class until then.
    full_until: dict[tuple[str | None, str], int] = field(default_factory=dict)
    credit: float | None = None  # slow-start credit of a cold server; 1 allows a send
    credit_updated_at: int = 0
    sessions_valid_since: int = 0  # session records from before are void
    reads_valid_since: int = 0  # reads from before are no longer cached
    cached_prefixes: dict[str, DecayingCounter] = field(default_factory=dict)

    def refresh(self, entry: ServerEntry, role: Role, now: int) -> None:
        """Apply an entry of the server list; a restarted server is cold and has nothing cached."""
        if entry.started_at > self.entry.started_at:
            self.credit, self.credit_updated_at, self.sessions_valid_since, self.reads_valid_since = (
                None,
                now,
                now,
                now,
            )
            self.consecutive_ejections = self.ejected_until = self.queue_delay = self.load_reported_at = 0
            self.recent_failures.count = self.recent_successes.count = 0.0
            self.cached_prefixes.clear()
            self.full_until.clear()
        self.entry, self.role = entry, role

    def error_rate(self, now: int, prior: float) -> float:
        """Estimate the share of failures among recent results, starting from the prior."""
        recent_failures, recent_successes = (
            self.recent_failures.add(now, 0),
            self.recent_successes.add(now, 0),
        )
        return (recent_failures + prior) / (recent_failures + recent_successes + 1)

    def report_weight(self, now: int, span: int) -> float:
        """Return the weight of the last load report: 1 when it arrives, falling to 0 over `span`."""
        return max(0.0, 1 - (now - self.load_reported_at) / span) if self.load_reported_at else 0.0

    def warmup_progress(self, now: int, span: int) -> float:
        """Return the elapsed share of the warm-up time; 1 if the server is warm."""
        return min(1.0, (now - self.entry.started_at) / span) if self.entry.started_at and span else 1.0

    def invalidate_cache(self, now: int) -> None:
        """Treat everything that the server has read as lost; reads in flight count in full."""
        self.reads_valid_since = now
        self.cached_prefixes.clear()
        for attempt in self.in_flight.values():
            if attempt.is_read:
                attempt.unread_tokens = attempt.job.request.prompt_tokens

    def available_at(self, tenant_class: tuple[str | None, str]) -> int:
        """Return when the server is neither ejected nor full for a tenant and class."""
        return (
            max(self.ejected_until, self.full_until.get(tenant_class, 0))
            if self.full_until
            else self.ejected_until
        )

    @property
    def oldest_waiting(self) -> Attempt | None:
        """Return the attempt that waits longest at the server and is not presumed lost."""
        for attempt in self.in_flight.values():
            if not attempt.response_started and not attempt.presumed_lost:
                return attempt
        return None

    @property
    def queued_tokens(self) -> int:
        """Return the tokens of our attempts that wait to be read at the server."""
        return sum(
            attempt.unread_tokens for attempt in self.in_flight.values() if not attempt.response_started
        )


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to a server, from the Send action to its Outcome.

    The core has an Attempt of its own, which follows the connection; both have the same index.
    """

    job: Job
    index: int
    server: Server
    is_read: bool  # sent to a reader for reading only; false for a local read and at a mixed server
    committed_tokens: int  # upper bound of the memory that its answer will use, in tokens
    unread_tokens: int  # estimated tokens that the server has to read
    sent_at: int
    response_started: bool = False
    finished: bool = False
    may_have_run: bool = False
    failed: bool = False  # other servers are tried first for the next attempt
    # The server's list entry at the time of the send; later lists may show the server in another group.
    entry: ServerEntry = field(init=False)

    def __post_init__(self) -> None:
        self.entry = self.server.entry

    @property
    def presumed_lost(self) -> bool:
        """Return whether the attempt is presumed lost rather than queued.

        That is the case if a later attempt at the server was answered, or if the server has since reported an
        empty queue.
        """
        return self.sent_at < max(self.server.overtaken_before, self.server.idle_at)

    def register(self) -> None:
        """Add the attempt to its request and server."""
        self.job.attempts.append(self)
        self.server.in_flight[self.job.request.request_id, self.index] = self
        self.server.committed_tokens += self.committed_tokens
        self.server.streams += not self.is_read

    def unregister(self) -> None:
        """Mark the attempt as finished and remove it from its server."""
        self.finished = True
        del self.server.in_flight[self.job.request.request_id, self.index]
        self.server.committed_tokens -= self.committed_tokens
        self.server.streams -= not self.is_read


class Servers(dict[int, Server]):
    """The servers known from the server list, by id."""

    def __init__(self, kinds: Iterable[KindSettings]) -> None:
        super().__init__()
        self.kinds = {kind.name: kind for kind in kinds}
        self.by_role: dict[Role, list[Server]] = {}
        self.live_by_roles: dict[tuple[Role, ...], list[Server]] = {}  # cleared by each list

    def update(self, event: ServerListUpdate, now: int) -> None:
        """Apply a server list. A complete list also removes servers that it leaves out.

        A removed server stays in the table until its attempts have ended.
        """
        entries = [entry for entry in event.entries or () if entry.kind in self.kinds]
        listed_ids = {entry.server for entry in entries}
        for key, server in list(self.items()):
            if event.whole and key not in listed_ids:
                server.entry = replace(server.entry, state=State.GONE)
            if server.entry.state is State.GONE and not server.in_flight:
                del self[key]
        for entry in entries:
            kind = self.kinds[entry.kind]
            server = self.setdefault(
                entry.server, Server(entry, kind.role, kind.memory or 0, credit_updated_at=now)
            )
            server.refresh(entry, kind.role, now)
        live = [server for server in self.values() if server.entry.state is State.LIVE]
        self.by_role = {role: [server for server in live if server.role is role] for role in Role}
        self.live_by_roles.clear()

    def live(self, roles: Iterable[Role]) -> list[Server]:
        """Return the live servers of some roles. The list is cached and must not be modified."""
        if (key := tuple(roles)) not in self.live_by_roles:
            self.live_by_roles[key] = [server for role in key for server in self.by_role.get(role, ())]
        return self.live_by_roles[key]

    def attempt(self, event: FirstToken | ReservationResult | Outcome) -> Attempt | None:
        """Return the attempt in flight that an event refers to."""
        server = self.get(event.server)
        return server.in_flight.get((event.request_id, event.attempt)) if server else None


class HashRing:
    """A consistent-hash ring, equal in all routers that have the same servers and virtual nodes."""

    def __init__(self, virtual_nodes: Iterable[tuple[Server, int]] = ()) -> None:
        hashed = (
            (stable_hash(f"{s.entry.server} {n}"), s) for s, count in virtual_nodes for n in range(count)
        )
        self.virtual_nodes = sorted(hashed, key=lambda item: (item[0], item[1].entry.server))

    def walk(self, key: str) -> Iterator[Server]:
        """Return each server once, in ring order from the key's position."""
        start = bisect_left(self.virtual_nodes, stable_hash(key), key=lambda item: item[0])
        return iter(
            dict.fromkeys(server for _, server in self.virtual_nodes[start:] + self.virtual_nodes[:start])
        )


class Timers(dict[int, Callable[[], "Job | None"]]):
    """Timer callbacks by timer id; ids count up. A job that a callback returns is continued by the router."""

    count = 0

    def add(self, callback: Callable[[], Job | None]) -> int:
        """Register a callback and return its timer id."""
        self.count += 1
        self[self.count] = callback
        return self.count

    def fire(self, number: int) -> Job | None:
        """Run the callback of a timer once."""
        callback = self.pop(number, None)
        return callback() if callback else None


@dataclass(slots=True)
class SessionRecord:
    """The servers of a session's last request: its writer, its reader, and the tokens read by that reader."""

    writer: int
    updated_at: int
    reader: int | None
    read_tokens: int


@dataclass(slots=True, eq=False)
class Job:
    """The router's state of a request, from its arrival until its last attempt has ended.

    `request` is the client's request as it arrived, which never changes. The core's own Request has the state
    that concerns connections and answers instead: what was received, what may be held, what was sent back.
    """

    request: Request
    cls: ClassSettings
    arrived_at: int
    deadline: int
    session_record: SessionRecord | None
    max_attempts: int | None = None  # by the settings at its arrival
    attempts: list[Attempt] = field(default_factory=list)
    local_server: Server | None = None  # the session's writer that is to read this prompt itself
    state_holder: Server | None = None  # the reader that holds the read state
    state_since: int = 0
    reader: Server | None = None  # the reader that has read the prompt
    last_reader: Server | None = None  # the reader that it was last sent to
    # Writers at which a reservation was requested during the current read.
    requested_reservations: list[Server] = field(default_factory=list)
    reserved_server: Server | None = None
    # Selects the averages to compare with: whether the prompt is longer than the mean, whether it has more
    # new tokens than output tokens, and whether writers have more streams than on average, all at the first
    # use. Empty until then.
    bucket: tuple[bool, ...] = ()
    first_token_at: int | None = None
    deadline_timer: int = 0  # id of the timer for its deadline
    retry_delay: int = 0  # ns after which the client is advised to retry if it is refused
    ended: bool = False

    def next_session_record(self, writer: Server, now: int) -> SessionRecord:
        """Return the session's record after this answer.

        If a writer read the prompt itself, the previous reader stays in the record.
        """
        reader = self.reader or (writer if writer.role is Role.BOTH else None)
        if reader is not None:
            return SessionRecord(writer.entry.server, now, reader.entry.server, self.request.prompt_tokens)
        return SessionRecord(
            writer.entry.server,
            now,
            *(
                (self.session_record.reader, self.session_record.read_tokens)
                if self.session_record
                else (None, 0)
            ),
        )

    @property
    def in_flight(self) -> list[Attempt]:
        """Return the attempts that have no outcome yet, oldest first."""
        return [attempt for attempt in self.attempts if not attempt.finished]

    @property
    def tenant_class(self) -> tuple[str | None, str]:
        """Return the key by which a server may be full for some requests only."""
        return self.request.tenant, self.request.class_name

    @property
    def placement_key(self) -> str:
        """Return the key that selects one of a prefix's readers: the session, or else the request id."""
        return self.request.session or self.request.request_id

    @property
    def is_answered(self) -> bool:
        """Return whether the client has its final answer, or its response stream has started."""
        return self.ended or self.first_token_at is not None

    @property
    def aim(self) -> int:
        """Return the target TTFT in ns: that of the class, plus its addition per 1,000 prompt tokens."""
        return self.cls.aim + self.cls.aim_per_1000 * self.request.prompt_tokens // 1000

    @property
    def new_tokens(self) -> int:
        """Return the number of prompt tokens after the prefix shared with earlier requests."""
        return max(0, self.request.prompt_tokens - self.request.prefix_tokens)

    @property
    def output_tokens(self) -> int:
        """Return the expected output in tokens.

        With a hint, that is the expected output time over the target time per token, else the maximum.
        """
        request, aim = self.request, self.cls.token_aim
        return max(1, request.hint // aim if request.hint and aim else request.max_output_tokens)


def apply_settings(router, settings) -> None:
    """Apply new settings to later requests; requests in progress keep the settings of their class.

    The server list, the kinds of servers, timers, and the observations of servers and sessions do not change.
    """
    router.settings = settings
    router.classes = {cls.name: cls for cls in settings.classes}
    router.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants}
    router.tenant_classes = [
        None,
        *((tenant, name) for tenant in (None, *router.quotas) for name in router.classes),
    ]
