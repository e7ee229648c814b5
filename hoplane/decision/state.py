"""What a router remembers. Nothing is decided here and nothing is tuned here."""

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


def mix(text: str) -> int:
    """Hash a text the same way in every process."""
    value = (crc32(text.encode()) + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return ((value ^ value >> 31) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF) >> 32


@dataclass(slots=True)
class Mean:
    """A running average."""

    value: float | None = None

    def add(self, sample: float, blend: float) -> None:
        """Take a sample in."""
        self.value = sample if self.value is None else self.value + blend * (sample - self.value)


@dataclass(slots=True)
class Rate:
    """How many came lately, fading over a span."""

    span: int
    count: float = 0.0
    at: int = 0

    def add(self, now: int, more: int = 1) -> float:
        """Count more in and give how many came in the span."""
        self.count = self.count * max(0.0, 1 - (now - self.at) / self.span) + more
        self.at = now
        return self.count


LATELY = 20_000_000_000  # a server's answers count for this long, fading


class Aged(Protocol):
    """What tells when it was last used."""

    at: int


def drop_before(table: dict[str, Aged], moment: int) -> None:
    """Drop the entries last used before a moment from a table that has the least lately used first."""
    while table and next(iter(table.values())).at < moment:
        del table[next(iter(table))]


@dataclass(slots=True, eq=False)
class Server:
    """A server as this router knows it."""

    entry: ServerEntry
    role: Role
    memory: int
    out: dict[tuple[str, int], Attempt] = field(default_factory=dict)  # our attempts out, oldest first
    held: int = 0  # tokens of ours that its answers may come to hold
    streams: int = 0
    lag: int = 0  # how long its last read or first token had to wait
    lag_at: int = 0
    passed: int = 0  # what was sent before this, others have passed: later ones of ours were answered
    heard: int = 0  # when it last showed a sign of life
    probed: int = 0  # when it was probed last
    answered: int = 0  # when it answered a probe last
    missed: int | None = None  # when the process began whose probe timed out last, None once it showed life
    idle_at: int = 0  # when such an answer told that hardly anything waits there, 0 if it told otherwise
    strikes: int = 0  # failures in a row
    errors: int = 0  # answers in a row that were errors, or could not be read
    bad: Rate = field(default_factory=lambda: Rate(LATELY))  # such answers of late
    good: Rate = field(default_factory=lambda: Rate(LATELY))  # reads done and answers begun of late
    told_at: int = 0  # when it last told its load, in a report with an answer
    told_held: float = 0.0  # the share of its memory that was held
    aside_until: int = 0
    full: dict[tuple[str | None, str], int] = field(default_factory=dict)  # until when, by tenant and class
    credit: float | None = None  # of a send to it while it is cold, paid in up to 1
    credit_at: int = 0
    kept_since: int = 0  # what it kept before this is gone
    read_since: int = 0  # and what it read before this
    prefixes: dict[str, Rate] = field(default_factory=dict)  # what it read of shared beginnings

    def renew(self, entry: ServerEntry, role: Role, now: int) -> None:
        """Take a line of the list in; a restarted server is cold and keeps nothing."""
        if entry.started_at > self.entry.started_at:
            self.credit, self.credit_at, self.kept_since, self.read_since = None, now, now, now
            self.strikes = self.aside_until = self.lag = self.told_at = 0
            self.bad.count = self.good.count = 0.0
            self.prefixes.clear()
            self.full.clear()
        self.entry, self.role = entry, role

    def doubt(self, now: int, before: float) -> float:
        """Guess the part of its answers that are errors, from those of late and what was thought before."""
        bad, good = self.bad.add(now, 0), self.good.add(now, 0)
        return (bad + before) / (bad + good + 1)

    def freshness(self, now: int, span: int) -> float:
        """Give what its last load report still counts: 1 when it comes, nothing after the span."""
        return max(0.0, 1 - (now - self.told_at) / span) if self.told_at else 0.0

    def warmth(self, now: int, span: int) -> float:
        """Give how far its time to warm up has run, 1 where it is warm."""
        return min(1.0, (now - self.entry.started_at) / span) if self.entry.started_at and span else 1.0

    def forget(self, now: int) -> None:
        """Take all that it read as lost; what is out there has to be read whole."""
        self.read_since = now
        self.prefixes.clear()
        for attempt in self.out.values():
            if attempt.reads:
                attempt.unread = attempt.job.request.prompt_tokens

    def opens(self, pair: tuple[str | None, str]) -> int:
        """Give the time from which it is set aside no more, nor full for a tenant and class."""
        return max(self.aside_until, self.full.get(pair, 0)) if self.full else self.aside_until

    @property
    def oldest(self) -> Attempt | None:
        """Give our attempt that has waited longest there and that no later one has passed."""
        for attempt in self.out.values():
            if not attempt.began and not attempt.passed:
                return attempt
        return None

    @property
    def waiting(self) -> int:
        """Give our tokens that wait to be read there."""
        return sum(attempt.unread for attempt in self.out.values() if not attempt.began)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send."""

    job: Job
    index: int
    server: Server
    reads: bool  # at a reader
    held: int  # tokens that its answer may come to hold
    unread: int  # tokens that it has to read, as far as we know
    sent: int
    began: bool = False
    over: bool = False
    risky: bool = False  # it may have run
    failed: bool = False  # it served nothing: another server comes first for the next

    @property
    def passed(self) -> bool:
        """Tell whether later ones of ours were answered, or nothing waits there: this one may be lost."""
        return self.sent < max(self.server.passed, self.server.idle_at)

    def take(self) -> None:
        """Book it as out."""
        self.job.attempts.append(self)
        self.server.out[self.job.request.request_id, self.index] = self
        self.server.held += self.held
        self.server.streams += not self.reads

    def drop(self) -> None:
        """Book it as over."""
        self.over = True
        del self.server.out[self.job.request.request_id, self.index]
        self.server.held -= self.held
        self.server.streams -= not self.reads


class Servers(dict[int, Server]):
    """The server list, level with what was told last."""

    def __init__(self, kinds: Iterable[KindSettings]) -> None:
        super().__init__()
        self.kinds = {kind.name: kind for kind in kinds}
        self.by_role: dict[Role, list[Server]] = {}
        self.of_roles: dict[tuple[Role, ...], list[Server]] = {}  # by the roles asked for, till the next list

    def update(self, event: ServerListUpdate, now: int) -> None:
        """Take a list in; a whole one removes what it leaves out. A gone server stays while we await it."""
        entries = [entry for entry in event.entries or () if entry.kind in self.kinds]
        named = {entry.server for entry in entries}
        for key, server in list(self.items()):
            if event.whole and key not in named:
                server.entry = replace(server.entry, state=State.GONE)
            if server.entry.state is State.GONE and not server.out:
                del self[key]
        for entry in entries:
            kind = self.kinds[entry.kind]
            server = self.setdefault(entry.server, Server(entry, kind.role, kind.memory or 0, credit_at=now))
            server.renew(entry, kind.role, now)
        live = [server for server in self.values() if server.entry.state is State.LIVE]
        self.by_role = {role: [server for server in live if server.role is role] for role in Role}
        self.of_roles.clear()

    def live(self, roles: Iterable[Role]) -> list[Server]:
        """Give the servers of some roles that run and do not drain; the list is shared: nobody changes it."""
        if (key := tuple(roles)) not in self.of_roles:
            self.of_roles[key] = [server for role in key for server in self.by_role.get(role, ())]
        return self.of_roles[key]

    def attempt(self, event: FirstToken | ReservationResult | Outcome) -> Attempt | None:
        """Give the attempt out that an event speaks of."""
        server = self.get(event.server)
        return server.out.get((event.request_id, event.attempt)) if server else None


class Ring:
    """A hash ring, the same wherever its servers have the same parts of it."""

    def __init__(self, points: Iterable[tuple[Server, int]] = ()) -> None:
        hashed = ((mix(f"{s.entry.server} {n}"), s) for s, most in points for n in range(most))
        self.points = sorted(hashed, key=lambda item: (item[0], item[1].entry.server))

    def walk(self, key: str) -> Iterator[Server]:
        """Give each server once, in the order of the ring from a key's place."""
        start = bisect_left(self.points, mix(key), key=lambda item: item[0])
        return iter(dict.fromkeys(server for _, server in self.points[start:] + self.points[:start]))


class Timers(dict[int, Callable[[], "Job | None"]]):
    """What to do at each timer, counted on."""

    count = 0

    def add(self, callback: Callable[[], Job | None]) -> int:
        """Keep what to do and give the timer's number."""
        self.count += 1
        self[self.count] = callback
        return self.count

    def fire(self, number: int) -> Job | None:
        """Do what was kept for a timer, once."""
        callback = self.pop(number, None)
        return callback() if callback else None


@dataclass(slots=True)
class Row:
    """A session's row: who wrote its last answer, and who read how much of it."""

    writer: int
    at: int
    reader: int | None
    read: int


@dataclass(slots=True, eq=False)
class Job:
    """A request taken, until its last attempt is in."""

    request: Request
    cls: ClassSettings
    arrived: int
    deadline: int
    row: Row | None
    cap: int | None = None  # attempts at most, as the settings were when it came
    attempts: list[Attempt] = field(default_factory=list)
    local: Server | None = None  # the writer that reads this turn itself
    state_at: Server | None = None  # the reader where the read state waits
    state_since: int = 0
    reader: Server | None = None  # who read the prompt
    near: Server | None = None  # the reader that it was last sent to
    asked: list[Server] = field(default_factory=list)  # where a place was asked for during that read
    place: Server | None = None  # where one is held
    cell: tuple[bool, ...] = ()
    first_at: int | None = None
    pause: int = 0  # how long its client should stay away if it is refused
    ended: bool = False

    def next_row(self, writer: Server, now: int) -> Row:
        """Give the session's row after this answer; a writer's own read leaves the reader as it was."""
        reader = self.reader or (writer if writer.role is Role.BOTH else None)
        if reader is not None:
            return Row(writer.entry.server, now, reader.entry.server, self.request.prompt_tokens)
        return Row(writer.entry.server, now, *((self.row.reader, self.row.read) if self.row else (None, 0)))

    @property
    def out(self) -> list[Attempt]:
        """Give the attempts that are out."""
        return [attempt for attempt in self.attempts if not attempt.over]

    @property
    def pair(self) -> tuple[str | None, str]:
        """Give its tenant and class."""
        return self.request.tenant, self.request.cls

    @property
    def spot(self) -> str:
        """Give what its place among a prefix's readers hangs on: the session, else the request itself."""
        return self.request.session or self.request.request_id

    @property
    def settled(self) -> bool:
        """Tell whether the client has, or is getting, its answer."""
        return self.ended or self.first_at is not None

    @property
    def aim(self) -> int:
        """Give the wanted time to the first token for a prompt of this length."""
        return self.cls.aim + self.cls.aim_per_1000 * self.request.prompt_tokens // 1000

    @property
    def new(self) -> int:
        """Give the tokens beyond the shared beginning."""
        return max(0, self.request.prompt_tokens - self.request.prefix_len)

    @property
    def answer(self) -> int:
        """Give the answer's length as hinted, else its told maximum."""
        request, aim = self.request, self.cls.token_aim
        return max(1, request.hint // aim if request.hint and aim else request.max_output_tokens)


def retune(router, settings) -> None:
    """Put new settings in force for what comes from now on; a request taken keeps its class as it was.

    The server list, what was learnt of servers and sessions, and timers stay. Kinds stay as they were."""
    router.settings = settings
    router.classes = {cls.name: cls for cls in settings.classes}
    router.quotas = {tenant.name: tenant.quota_per_s for tenant in settings.tenants}
    router.pairs = [None, *((tenant, name) for tenant in (None, *router.quotas) for name in router.classes)]
