"""Judges a soak by what clients and endpoints saw, with the terms of the platform's protocol page. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

LATE = 0.5  # seconds after a request's time, up to which an answer only earns nothing
AFTER_LEAVING = 0.1  # seconds after a client has gone in which an attempt may still begin
LEFT_SLACK = 0.15  # seconds that a told time may be over what is left
HELD_EXTRA = 0.3  # seconds that something may be held longer than the settings say
EXCUSED_TAKEN = 0.7  # seconds after SIGTERM: what comes until then may be unanswered at SIGKILL
BAD_CLIENT = 3.0  # seconds within which a bad client has its error or a close
READ_FOR_SURE = 0.05  # seconds: an end so long after a request's last byte came after it was read


@dataclass(slots=True)
class Ask:
    """A request as its client saw it. Times are the machine's monotonic clock, in seconds."""

    id: str
    conductor: int
    once: bool
    sent: float  # when its last byte was written
    deadline: float
    status: int = 0  # 0 where no answer came
    body: bytes = b""
    whole: bool = False  # its answer came to the end
    ended: float = 0.0  # when its answer or its connection was at its end
    began: bool = False  # the first byte of an answer came
    reset: bool = False  # the connection ended by a reset
    left: float | None = None  # when its client closed the connection


@dataclass(slots=True)
class Arrival:
    """A call whose last byte reached an endpoint. `told_left`: the time it tells, in seconds."""

    at: float
    begun: float  # when its first byte came
    endpoint: int
    kind: str  # read, write, hold or release
    told_left: float | None = None
    ran: bool = False


@dataclass(slots=True)
class Trace:
    """What endpoints saw of one request."""

    arrivals: list[Arrival] = field(default_factory=list)
    held_since: float | None = None
    reads_out: int = 0
    held_for: float = 0.0  # the longest
    held_at: float = 0.0  # when the longest began

    def note(self, arrival: Arrival) -> None:
        """Take a call in. A write takes what is held, a release lets go of it."""
        self.arrivals.append(arrival)
        if arrival.kind == "read":
            self.reads_out += 1
        if arrival.kind == "hold" and self.reads_out == 0:
            self.hold(arrival.at)
        if arrival.kind in ("write", "release", "read"):
            self.free(arrival.at)

    def read_ended(self, at: float) -> None:
        """Note that a read is over: its state is held from here on."""
        self.reads_out -= 1
        self.hold(at)

    def hold(self, at: float) -> None:
        if self.held_since is None:
            self.held_since = at

    def free(self, at: float) -> None:
        if self.held_since is not None and at - self.held_since > self.held_for:
            self.held_for, self.held_at = at - self.held_since, self.held_since
        self.held_since = None


@dataclass(slots=True)
class Spans:
    """Spans of time by target."""

    spans: dict[int, list[tuple[float, float]]] = field(default_factory=dict)

    def add(self, target: int, begin: float, end: float) -> None:
        self.spans.setdefault(target, []).append((begin, end))

    def meets(self, target: int, begin: float, end: float) -> bool:
        """Tell whether a target has a span that overlaps another one."""
        return any(first < end and begin < last for first, last in self.spans.get(target, ()))


@dataclass(slots=True)
class Life:
    """One process of a conductor."""

    started: float
    ready: float | None = None  # when it accepted connections first
    termed: float | None = None
    killed: float | None = None
    status: int | None = None
    faults: list[dict] = field(default_factory=list)  # lines of its log that tell of its own faults


@dataclass(slots=True)
class Record:
    """All that a soak saw. `slack`: how far this machine's own lateness may move a moment, in seconds."""

    release_within: float
    drain_grace: float
    slack: float = 0.2
    asks: list[Ask] = field(default_factory=list)
    traces: dict[str, Trace] = field(default_factory=dict)
    lives: dict[int, list[Life]] = field(default_factory=dict)
    drains: list[tuple[int, int, float]] = field(default_factory=list)  # conductor, endpoint, when told
    faulted: Spans = field(default_factory=Spans)  # endpoints whose path or answers were at fault
    cut: Spans = field(default_factory=Spans)  # endpoints whose path was cut
    broken: Spans = field(default_factory=Spans)  # conductors whose connections fail on their own machine
    stalls: list[tuple[int, float, float]] = field(default_factory=list)  # conductor, when, how long
    ended: float = 0.0

    def trace(self, id: str) -> Trace:
        """Give what endpoints saw of a request, from its first call on."""
        return self.traces.setdefault(id, Trace())


@dataclass(slots=True, frozen=True)
class Problem:
    """A broken rule."""

    rule: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.text}"


def life_at(record: Record, conductor: int, at: float) -> Life:
    """Give the process that a conductor had at a moment."""
    lives = record.lives[conductor]
    return next((each for each in reversed(lives) if each.started <= at), lives[0])


def excused_by_end(life: Life, sent: float, slack: float) -> bool:
    """Tell whether a process's kill excuses a request: an unannounced one, or one that came early enough."""
    if life.killed is None or sent > life.killed + slack:
        return False
    return life.termed is None or sent <= life.termed + EXCUSED_TAKEN


def check_answer(record: Record, ask: Ask, trace: Trace) -> Iterable[Problem]:
    """Check that a request had its one final answer, whole and in time."""
    life = life_at(record, ask.conductor, ask.sent)
    if ask.left is not None or excused_by_end(life, ask.sent, record.slack):
        return
    first = record.lives[ask.conductor][0]
    broken = life is first and record.broken.meets(ask.conductor, ask.sent, ask.ended)
    forwarded = any(each.kind in ("read", "write") for each in trace.arrivals)
    if ask.status == 0 and not ask.began:
        surely_read = not ask.reset and ask.ended - ask.sent > READ_FOR_SURE
        if (forwarded or surely_read) and not broken:
            yield Problem("lost", f"{ask.id} had no answer ({ask.ended - ask.sent:.3f} s after it was sent)")
        return
    if ask.status not in (0, 200):
        if ask.ended > ask.deadline + LATE + record.slack:
            yield Problem("lost", f"{ask.id} was answered {ask.status} {ask.ended - ask.deadline:.3f} s late")
        return
    writers = [each for each in trace.arrivals if each.kind == "write"]
    faulted = any(record.faulted.meets(each.endpoint, each.begun, ask.ended) for each in writers)
    if not ask.whole and not faulted and not broken:
        yield Problem("lost", f"{ask.id} had half of an answer")
    if ask.whole and not sound(ask):
        yield Problem("lost", f"{ask.id} had a wrong answer: {ask.body[-80:]!r}")


def sound(ask: Ask) -> bool:
    """Tell whether an answer is one endpoint's whole stream for this request."""
    lines = [line for line in ask.body.decode("latin-1").split("\n") if line.startswith("data: ")]
    if len(lines) < 3 or lines[-1] != "data: [DONE]":
        return False
    parts = [line.split('"content":"')[1].split('"')[0].split("/") for line in lines[:-2]]
    order = [int(part[2]) for part in parts]
    return (
        {part[0] for part in parts} == {ask.id}
        and len({part[1] for part in parts}) == 1
        and order == list(range(len(order)))
    )


def check_sends(record: Record, ask: Ask, trace: Trace) -> Iterable[Problem]:
    """Check what went to endpoints for a request: not after its client's end, with the time that is left."""
    for each in trace.arrivals:
        if each.kind == "release":
            continue
        if ask.left is not None and each.at > ask.left + AFTER_LEAVING + record.slack:
            late = each.at - ask.left
            yield Problem("lost", f"{ask.id}: a {each.kind} arrived {late:.3f} s after its client left")
        if ask.status and each.at > ask.ended + AFTER_LEAVING + record.slack:
            late = each.at - ask.ended
            yield Problem("lost", f"{ask.id}: a {each.kind} arrived {late:.3f} s after its answer")
        if each.told_left is None or record.cut.meets(each.endpoint, each.at - 5, each.at):
            continue
        if each.told_left > ask.deadline - each.begun + LEFT_SLACK + record.slack:
            left = ask.deadline - each.begun
            yield Problem("lost", f"{ask.id}: told {each.told_left:.3f} s, {left:.3f} s were left")


def check_runs(ask: Ask, trace: Trace) -> Iterable[Problem]:
    """Check that what must run once ran once, and not at all where it was refused."""
    runs = sum(each.ran for each in trace.arrivals if each.kind == "write")
    if ask.once and runs > 1:
        yield Problem("duplicate", f"{ask.id} ran {runs} times")
    if ask.once and runs and ask.status in (429, 503):
        yield Problem("duplicate", f"{ask.id} was refused and has run")


def check_held(record: Record, ask: Ask, trace: Trace) -> Iterable[Problem]:
    """Check that what was held was used or released in time."""
    if trace.held_since is not None:
        trace.free(record.ended)
    life = life_at(record, ask.conductor, ask.sent)
    if life.killed is not None and trace.held_at + trace.held_for > life.killed - record.slack:
        return
    if trace.held_for > record.release_within + HELD_EXTRA + record.slack:
        yield Problem("pinned", f"{ask.id} was held for {trace.held_for:.3f} s")


def check_drains(record: Record) -> Iterable[Problem]:
    """Check that nothing new went to an endpoint that a conductor had been told drains."""
    conductors = {ask.id: ask.conductor for ask in record.asks}
    for conductor, endpoint, told in record.drains:
        for id, trace in record.traces.items():
            if conductors.get(id) != conductor:
                continue
            for each in trace.arrivals:
                late = each.begun - told - record.drain_grace - record.slack
                sent = each.kind in ("read", "write") and each.endpoint == endpoint
                sent = sent and life_at(record, conductor, each.begun).started <= told
                if sent and late > 0 and not record.cut.meets(endpoint, each.begun - 5, each.begun):
                    yield Problem("drain", f"{id} went to endpoint {endpoint} {late:.3f} s after the grace")


def check_lives(record: Record) -> Iterable[Problem]:
    """Check that no process crashed or told of a fault of its own."""
    for conductor, lives in record.lives.items():
        for life in lives:
            if life.status == -15 and life.ready is None:
                continue  # before the interpreter could heed it; ending after SIGTERM is no crash
            if life.status not in (None, 0, -9):
                yield Problem("crash", f"conductor {conductor} ended with {life.status}")
            if life.status == 0 and life.termed is None:
                yield Problem("crash", f"conductor {conductor} ended by itself")
            for line in life.faults[:3]:
                yield Problem("fault", f"conductor {conductor}: {line}")


def check_stalls(record: Record) -> Iterable[Problem]:
    """Check that clients that stopped in the middle of a request had an error or a close in time."""
    for conductor, at, length in record.stalls:
        if length > BAD_CLIENT + record.slack:
            text = f"a client that stopped midway at conductor {conductor} waited {length:.3f} s ({at:.3f})"
            yield Problem("lost", text)


def judge(record: Record) -> list[Problem]:
    """Give all broken rules of a soak."""
    found: list[Problem] = []
    for ask in record.asks:
        trace = record.traces.get(ask.id, Trace())
        found += check_answer(record, ask, trace)
        found += check_sends(record, ask, trace)
        found += check_runs(ask, trace)
        found += check_held(record, ask, trace)
    found += check_drains(record)
    found += check_stalls(record)
    found += check_lives(record)
    return found
