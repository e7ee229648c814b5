"""The oracle of a soak test: checks what clients and endpoints observed against the protocol. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .answer_generator import FALSE_EVENT

MAX_LATENESS = 0.5  # seconds after the deadline; a response until then has no value but is no violation
DISCONNECT_GRACE = 0.1  # seconds after a client disconnected in which an attempt may still start
TIME_LEFT_TOLERANCE = 0.15  # seconds by which the time left in a call may exceed the actual one
RESERVATION_TOLERANCE = 0.3  # seconds by which a reservation may exceed the configured limit
SIGTERM_ACCEPT_WINDOW = 0.7  # seconds after SIGTERM; requests until then may be unanswered at SIGKILL
STALLED_CLIENT_TIMEOUT = 3.0  # seconds within which a stalled client must get an error or a close
# Seconds after a request's last byte. If the connection ends later than this, the conductor has certainly
# read the request.
CERTAIN_READ_DELAY = 0.05
MEMORY_MB = 192  # `limits.memory_mb` of the conductors
CLIENT_PATIENCE = 5.0  # seconds after a stream's last event, within which it must end or have another event


@dataclass(slots=True)
class RequestRecord:
    """A request as its client observed it. Times are in seconds of the machine's monotonic clock."""

    request_id: str
    conductor: int
    at_most_once: bool
    sent_at: float  # when the last byte was written
    deadline: float
    status: int = 0  # 0 without a response
    body: bytes = b""
    complete: bool = False  # the response was received to its end
    ended_at: float = 0.0  # when the response or the connection ended
    response_started: bool = False  # the first byte of the response was received
    reset: bool = False  # the connection was reset
    disconnected_at: float | None = None  # when the client closed the connection
    last_event_at: float | None = None  # when the last event of a stream arrived
    sent_again_at: float | None = None  # when the same id was sent again after its client had left
    is_repeat: bool = False  # its id was sent before


@dataclass(slots=True)
class EndpointCall:
    """A call that an endpoint received completely. `time_left`: the value of its header, in seconds."""

    received_at: float
    first_byte_at: float
    endpoint: int
    kind: str  # read, write, hold or release
    time_left: float | None = None
    executed: bool = False
    unsound: bool = False  # its answer can never be whole


@dataclass(slots=True, frozen=True)
class Reservation:
    """A time in which an endpoint held something for a request without working on it, in seconds."""

    start: float
    end: float


@dataclass(slots=True)
class RequestTrace:
    """What endpoints observed of one request."""

    calls: list[EndpointCall] = field(default_factory=list)
    reserved_since: float | None = None
    reads_in_flight: int = 0
    reservations: list[Reservation] = field(default_factory=list)  # those that have ended

    def add_call(self, call: EndpointCall) -> None:
        """Record a call. A write uses the reservation, a release or a further read ends it."""
        self.calls.append(call)
        if call.kind == "read":
            self.reads_in_flight += 1
        if call.kind == "hold" and self.reads_in_flight == 0:
            self.start_reservation(call.received_at)
        if call.kind in ("write", "release", "read"):
            self.end_reservation(call.received_at)

    def end_read(self, timestamp: float) -> None:
        """Record the end of a read, whose state is reserved from then on."""
        self.reads_in_flight -= 1
        self.start_reservation(timestamp)

    def start_reservation(self, timestamp: float) -> None:
        if self.reserved_since is None:
            self.reserved_since = timestamp

    def end_reservation(self, timestamp: float) -> None:
        if self.reserved_since is not None:
            self.reservations.append(Reservation(self.reserved_since, timestamp))
        self.reserved_since = None


@dataclass(slots=True)
class TargetIntervals:
    """Time intervals by target (an endpoint or a conductor)."""

    intervals: dict[int, list[tuple[float, float]]] = field(default_factory=dict)

    def add(self, target: int, begin: float, end: float) -> None:
        self.intervals.setdefault(target, []).append((begin, end))

    def overlaps(self, target: int, begin: float, end: float) -> bool:
        """Return whether an interval of a target overlaps the given one."""
        return any(first < end and begin < last for first, last in self.intervals.get(target, ()))

    def end_of(self, target: int, timestamp: float) -> float | None:
        """Return the end of a target's interval that contains a time, or None if there is none."""
        ends = (last for first, last in self.intervals.get(target, ()) if first <= timestamp < last)
        return max(ends, default=None)


@dataclass(slots=True)
class ProcessRecord:
    """One process of a conductor."""

    started_at: float
    ready_at: float | None = None  # when it first accepted a connection
    sigterm_at: float | None = None
    sigkill_at: float | None = None
    exit_status: int | None = None
    ended_by_itself: bool = False  # before any signal that ends it
    peak_mb: int = 0  # the most resident memory
    fault_lines: list[dict] = field(default_factory=list)  # log lines that report internal faults


@dataclass(slots=True)
class SoakRecord:
    """All observations of a soak.

    `timing_slack`: the error of recorded times due to this process's own event loop lag, in seconds.
    `cancel`: the settings permit conductors to give up attempts whose requests still wait."""

    release_within: float
    drain_grace: float
    timing_slack: float = 0.2
    cancel: bool = True
    requests: list[RequestRecord] = field(default_factory=list)
    traces: dict[str, RequestTrace] = field(default_factory=dict)
    process_records: dict[int, list[ProcessRecord]] = field(default_factory=dict)
    # Conductor, endpoint, and when discovery first reported the drain.
    drain_notices: list[tuple[int, int, float]] = field(default_factory=list)
    # Endpoints with an injected fault of their path or responses.
    faulty_endpoints: TargetIntervals = field(default_factory=TargetIntervals)
    partitioned_endpoints: TargetIntervals = field(default_factory=TargetIntervals)
    # Conductors whose connections fail on their own machine.
    faulty_conductors: TargetIntervals = field(default_factory=TargetIntervals)
    # Conductor, start and duration of the stall.
    stalled_clients: list[tuple[int, float, float]] = field(default_factory=list)
    ended_at: float = 0.0

    def trace(self, request_id: str) -> RequestTrace:
        """Return the trace of a request; the first call creates it."""
        return self.traces.setdefault(request_id, RequestTrace())


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated rule of the protocol."""

    rule: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.text}"


def process_at(record: SoakRecord, conductor: int, timestamp: float) -> ProcessRecord:
    """Return the process that a conductor ran at a time."""
    process_records = record.process_records[conductor]
    return next(
        (process for process in reversed(process_records) if process.started_at <= timestamp),
        process_records[0],
    )


def excused_by_kill(process: ProcessRecord, sent_at: float, timing_slack: float) -> bool:
    """Return whether SIGKILL excuses an unanswered request.

    It does without a preceding SIGTERM, or if the request was sent early enough after that."""
    if process.sigkill_at is None or sent_at > process.sigkill_at + timing_slack:
        return False
    return process.sigterm_at is None or sent_at <= process.sigterm_at + SIGTERM_ACCEPT_WINDOW


def check_answer(record: SoakRecord, request: RequestRecord, trace: RequestTrace) -> Iterable[Violation]:
    """Check that a request got exactly one final response, complete and in time."""
    process = process_at(record, request.conductor, request.sent_at)
    if request.disconnected_at is not None or excused_by_kill(process, request.sent_at, record.timing_slack):
        return
    first_process = record.process_records[request.conductor][0]
    conductor_faulty = process is first_process and record.faulty_conductors.overlaps(
        request.conductor, request.sent_at, request.ended_at
    )
    forwarded = any(call.kind in ("read", "write") for call in trace.calls)
    if request.status == 0 and not request.response_started:
        certainly_read = not request.reset and request.ended_at - request.sent_at > CERTAIN_READ_DELAY
        if (forwarded or certainly_read) and not conductor_faulty:
            yield Violation(
                "lost",
                f"{request.request_id}: no response "
                f"({request.ended_at - request.sent_at:.3f} s after it was sent)",
            )
        return
    if request.status not in (0, 200):
        if request.ended_at > request.deadline + MAX_LATENESS + record.timing_slack:
            yield Violation(
                "lost",
                f"{request.request_id}: status {request.status} "
                f"{request.ended_at - request.deadline:.3f} s after the deadline",
            )
        return
    writers = [call for call in trace.calls if call.kind == "write"]
    endpoint_faulty = any(
        record.faulty_endpoints.overlaps(call.endpoint, call.first_byte_at, request.ended_at)
        for call in writers
    )
    unsound = any(call.unsound for call in writers)
    if not (request.complete or endpoint_faulty or conductor_faulty or unsound):
        yield Violation("lost", f"{request.request_id}: truncated response")
    if FALSE_EVENT in request.body:
        yield Violation("lost", f"{request.request_id}: got an event from behind an unsound byte")
    if request.complete and not is_valid_stream(request):
        yield Violation("lost", f"{request.request_id}: malformed response: {request.body[-80:]!r}")


def is_valid_stream(request: RequestRecord) -> bool:
    """Return whether a response is the complete stream of one endpoint for this request."""
    lines = [line for line in request.body.decode("latin-1").split("\n") if line.startswith("data: ")]
    if len(lines) < 3 or lines[-1] != "data: [DONE]":
        return False
    parts = [line.split('"content":"')[1].split('"')[0].split("/") for line in lines[:-2]]
    positions = [int(part[2]) for part in parts]
    return (
        {part[0] for part in parts} == {request.request_id}
        and len({part[1] for part in parts}) == 1
        and positions == list(range(len(positions)))
    )


def belongs_to_other(request: RequestRecord, call: EndpointCall) -> bool:
    """Return whether a call was made for another request with the same id, before or after this one."""
    if request.is_repeat and call.received_at < request.sent_at:
        return True
    return request.sent_again_at is not None and call.received_at >= request.sent_again_at


def check_sends(record: SoakRecord, request: RequestRecord, trace: RequestTrace) -> Iterable[Violation]:
    """Check that no call was sent after the client or the response ended, and that its time left is right."""
    for call in trace.calls:
        if call.kind == "release" or belongs_to_other(request, call):
            continue
        if (
            request.disconnected_at is not None
            and call.received_at > request.disconnected_at + DISCONNECT_GRACE + record.timing_slack
        ):
            lateness = call.received_at - request.disconnected_at
            yield Violation(
                "lost",
                f"{request.request_id}: a {call.kind} arrived {lateness:.3f} s after the client disconnected",
            )
        if request.status and call.received_at > request.ended_at + DISCONNECT_GRACE + record.timing_slack:
            lateness = call.received_at - request.ended_at
            yield Violation(
                "lost",
                f"{request.request_id}: a {call.kind} arrived {lateness:.3f} s after the final response",
            )
        if call.time_left is None or record.partitioned_endpoints.overlaps(
            call.endpoint, call.received_at - 5, call.received_at
        ):
            continue
        if call.time_left > request.deadline - call.first_byte_at + TIME_LEFT_TOLERANCE + record.timing_slack:
            remaining = request.deadline - call.first_byte_at
            yield Violation(
                "lost",
                f"{request.request_id}: time left in a call was {call.time_left:.3f} s "
                f"instead of {remaining:.3f} s",
            )


def check_executions(request: RequestRecord, trace: RequestTrace) -> Iterable[Violation]:
    """Check that an at-most-once request was executed at most once, and not at all if it was refused."""
    executions = sum(call.executed for call in trace.calls if call.kind == "write")
    if request.at_most_once and executions > 1:
        yield Violation("duplicate", f"{request.request_id}: executed {executions} times")
    writes = [call for call in trace.calls if call.kind == "write" and not belongs_to_other(request, call)]
    executed = any(call.executed for call in writes)
    if request.at_most_once and executed and request.status in (429, 503):
        yield Violation("duplicate", f"{request.request_id}: executed although it was refused")


def limit_applies_from(
    record: SoakRecord, request: RequestRecord, trace: RequestTrace, reservation: Reservation
) -> float:
    """Return from when the limit of a reservation's time applies: while no attempt is in flight.

    Where no cancels are permitted, a read whose answer waits behind a partition is in flight until the path
    heals or the request has its final answer."""
    reads = [call for call in trace.calls if call.kind == "read" and call.received_at <= reservation.start]
    if record.cancel or not reads:
        return reservation.start
    healed_at = record.partitioned_endpoints.end_of(reads[-1].endpoint, reservation.start)
    if healed_at is None:
        return reservation.start
    return max(reservation.start, min(healed_at, request.ended_at))


def check_reservations(
    record: SoakRecord, request: RequestRecord, trace: RequestTrace
) -> Iterable[Violation]:
    """Check that a reservation was used or released in time."""
    if trace.reserved_since is not None:
        trace.end_reservation(record.ended_at)
    process = process_at(record, request.conductor, request.sent_at)
    for reservation in trace.reservations:
        if process.sigkill_at is not None and reservation.end > process.sigkill_at - record.timing_slack:
            continue
        held = reservation.end - limit_applies_from(record, request, trace, reservation)
        if held > record.release_within + RESERVATION_TOLERANCE + record.timing_slack:
            yield Violation("pinned", f"{request.request_id}: reserved for {held:.3f} s")


def check_drains(record: SoakRecord) -> Iterable[Violation]:
    """Check that a conductor sent nothing new to an endpoint that discovery had reported as draining."""
    conductor_by_request = {request.request_id: request.conductor for request in record.requests}
    for conductor, endpoint, notified_at in record.drain_notices:
        for request_id, trace in record.traces.items():
            if conductor_by_request.get(request_id) != conductor:
                continue
            for call in trace.calls:
                lateness = call.first_byte_at - notified_at - record.drain_grace - record.timing_slack
                is_new_call = call.kind in ("read", "write") and call.endpoint == endpoint
                is_new_call = (
                    is_new_call
                    and process_at(record, conductor, call.first_byte_at).started_at <= notified_at
                )
                if (
                    is_new_call
                    and lateness > 0
                    and not record.partitioned_endpoints.overlaps(
                        endpoint, call.first_byte_at - 5, call.first_byte_at
                    )
                ):
                    yield Violation(
                        "drain",
                        f"{request_id}: sent to endpoint {endpoint} "
                        f"{lateness:.3f} s after the drain grace period",
                    )


def check_exits(record: SoakRecord) -> Iterable[Violation]:
    """Check that no process crashed or reported an internal fault."""
    for conductor, process_records in record.process_records.items():
        for process in process_records:
            if process.exit_status == -15 and process.ready_at is None:
                continue  # SIGTERM before the interpreter could install its handler; that is no crash
            if process.exit_status not in (None, 0, -9):
                yield Violation("crash", f"conductor {conductor} exited with status {process.exit_status}")
            if process.exit_status == 0 and process.sigterm_at is None:
                yield Violation("crash", f"conductor {conductor} exited without SIGTERM")
            if process.ended_by_itself:
                yield Violation("crash", f"conductor {conductor} ended by itself: {process.exit_status}")
            if process.peak_mb > MEMORY_MB:
                yield Violation("memory", f"conductor {conductor} used {process.peak_mb} MB of {MEMORY_MB}")
            for line in process.fault_lines[:3]:
                yield Violation("fault", f"conductor {conductor}: {line}")


def check_left_waiting(record: SoakRecord, request: RequestRecord) -> Iterable[Violation]:
    """Check that no client was left on a stream on which no event came any more."""
    if request.complete or request.last_event_at is None or request.disconnected_at is not None:
        return
    waited = request.ended_at - request.last_event_at
    if waited > CLIENT_PATIENCE + record.timing_slack:
        yield Violation("lost", f"{request.request_id}: left for {waited:.3f} s after the last event")


def check_stalled_clients(record: SoakRecord) -> Iterable[Violation]:
    """Check that clients that stalled within a request got an error or a close in time."""
    for conductor, started_at, duration in record.stalled_clients:
        if duration > STALLED_CLIENT_TIMEOUT + record.timing_slack:
            text = (
                f"a client that stalled within a request to conductor {conductor} "
                f"waited {duration:.3f} s ({started_at:.3f})"
            )
            yield Violation("lost", text)


def find_violations(record: SoakRecord) -> list[Violation]:
    """Return all violations in a soak."""
    violations: list[Violation] = []
    for request in record.requests:
        trace = record.traces.get(request.request_id, RequestTrace())
        violations += check_answer(record, request, trace)
        violations += check_sends(record, request, trace)
        violations += check_executions(request, trace)
        violations += check_left_waiting(record, request)
        violations += check_reservations(record, request, trace)
    violations += check_drains(record)
    violations += check_stalled_clients(record)
    violations += check_exits(record)
    return violations
