"""The one reducer: every change of request, attempt, hold and fleet state happens here."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from zlib import crc32

from hoplane.core import events as ev
from hoplane.core import permits
from hoplane.core.idempotency import IdempotencyStore
from hoplane.core.invariants import Invariants, Violation
from hoplane.core.permits import Denial
from hoplane.core.statistics import Statistics
from hoplane.core.time_conversion import to_ns, to_timedelta
from hoplane.decision import interface as api
from hoplane.decision.interface import Status
from hoplane.decision.rules import Router
from hoplane.decision.state import retune
from hoplane.decision.words import Symptom, Word

ANSWERED_STATUSES = (Status.OK, Status.MISS, Status.FULL, Status.ERROR)
MAY_HAVE_RUN_STATUSES = (Status.OK, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)
INTERRUPTED_RELEASE_DELAY = timedelta(
    milliseconds=15
)  # a release waits so long after a cut: the close goes ahead of it
DEFAULT_HOLD_LIMIT = timedelta(
    milliseconds=500
)  # how long something may be held where the settings name no limit
RELEASE_LEAD = timedelta(
    milliseconds=100
)  # a release begins so long before that, for its way and a busy loop
UNKNOWN_ANSWER_LEAD = timedelta(
    milliseconds=200
)  # of the 300 ms before an answer "not known"; the rest is slack
DEADLINE_GRACE = timedelta(milliseconds=5)  # after the deadline, which the module sees to by itself


@dataclass(slots=True)
class Attempt:
    """One send of a request."""

    server: int
    is_read: bool
    sent_at: timedelta
    response_started: bool = False
    ended: bool = False
    answered: bool = False  # its endpoint was reached, as it answered
    abandon_status: Status | None = None  # how it counts once its connection is closed


@dataclass(slots=True)
class Request:
    """A request taken, until its last attempt and hold are in."""

    received: ev.RequestReceived
    received_at: timedelta
    deadline: timedelta
    max_attempts: int | None = None  # attempts, and its class, as the settings were when it came
    class_settings: api.ClassSettings | None = None
    repeat_until: timedelta | None = None  # when endpoints discard its repeats no more, once it may have run
    attempts: list[Attempt] = field(default_factory=list)
    response_started: bool = False
    closed: bool = False  # the client has its answer, is getting it, or is gone
    answer_pending: bool = False  # closed as we end, and still to be answered
    pending_reservations: int = 0  # calls out that ask for a place
    interrupted: bool = (
        False  # an attempt or a place asked for was cut off: what it left may show a moment later
    )
    held_since: timedelta | None = None  # since when what it left may be held, None while a release is out
    may_have_run: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether it may be refused though it may have run."""
        return self.class_settings is None or self.class_settings.repeatable

    def has_effect(self, effect: api.Effect) -> bool:
        """Tell whether its class has this effect."""
        return self.class_settings is not None and self.class_settings.effect is effect


@dataclass(slots=True, frozen=True)
class HeldStateTimer:
    """The timer of what a request left at a time: it has to be let go of unless an answer has begun."""

    id: str
    held_since: timedelta


@dataclass(slots=True, frozen=True)
class ReservationTimer:
    """The timer of a place that may be held for a read which may not have arrived."""

    id: str
    attempt: int
    received_at: timedelta


@dataclass
class ConductorState:
    """The state that `reduce` changes."""

    settings: api.Settings
    router: Router
    idempotency_store: IdempotencyStore
    requests: dict[str, Request] = field(default_factory=dict)
    server_ids: dict[str, int] = field(default_factory=dict)  # the module's server numbers, by name
    fleet: dict[int, ev.Endpoint] = field(default_factory=dict)
    statistics: Statistics = field(default_factory=Statistics)
    invariants: Invariants = field(default_factory=Invariants)

    def accepts_work(self, endpoint: ev.Endpoint) -> bool:
        """Tell whether an endpoint is listed as one that may have new work."""
        listed = self.fleet.get(self.server_ids.get(endpoint.name))
        return listed is not None and listed.state is api.State.LIVE

    def may_send(
        self, effect: ev.Forward | ev.Reserve, now: timedelta, client_gone: bool, deadline: timedelta | None
    ) -> Denial | None:
        """Tell whether an attempt's bytes, or a place's request, may go now; see `core/permits.py`."""
        request, attempt = self.requests.get(effect.id), None
        if request is not None and effect.attempt < len(request.attempts):
            attempt = request.attempts[effect.attempt]
        forward = effect if isinstance(effect, ev.Forward) else None
        given_up = attempt is not None and attempt.abandon_status is not None
        return permits.may_send(
            permits.SendConditions(
                now,
                client_gone,
                request is None or request.closed or request.response_started or given_up,
                self.accepts_work(effect.endpoint),
                deadline,
                forward and forward.repeat_until,
                None if forward or attempt is None else not attempt.ended,
            )
        )

    def response_started(self, id: str) -> bool:
        """Tell whether a request's answer has begun, with which all that was held for it is let go of."""
        request = self.requests.get(id)
        return request is not None and request.response_started

    def hold_limit(self) -> timedelta:
        """Give how long something may be held before its release begins."""
        told = self.settings.release_within
        limit = DEFAULT_HOLD_LIMIT if told is None else to_timedelta(told)
        return max(limit / 2, limit - RELEASE_LEAD)

    def reservation_release_delay(self) -> timedelta:
        """Give how long after an answer "not known" a place is released that may be held since before."""
        told = self.settings.release_within
        return max(
            ev.ZERO, (DEFAULT_HOLD_LIMIT if told is None else to_timedelta(told)) - UNKNOWN_ANSWER_LEAD
        )

    def server_id(self, name: str) -> int:
        """Give an endpoint's number: the same at every conductor, as the module's ring hashes it."""
        if name not in self.server_ids:
            server_id, used_ids = crc32(name.encode()), set(self.server_ids.values())
            while server_id in used_ids:
                server_id += 1
            self.server_ids[name] = server_id
        return self.server_ids[name]


def reduce(state: ConductorState, now: timedelta, event: ev.Event) -> list[ev.Effect]:
    """Take an event in and give the effects that it calls for, in order."""
    return list(iterate_effects(state, now, event))


def iterate_effects(state: ConductorState, now: timedelta, event: ev.Event) -> Iterator[ev.Effect]:
    """Take an event in and give its effects one by one, so that a fault costs none of those before it."""
    releasing = set()
    for each in HANDLERS[type(event)](state, now, event):
        # A release may be asked for more than once, at an attempt's end and at the request's: one is enough.
        if type(each) is not ev.Release or each.id not in releasing:
            yield each
        if type(each) is ev.Release:
            releasing.add(each.id)


def run_module(state: ConductorState, now: timedelta, event: api.Event) -> Iterator[ev.Effect]:
    """Let the module decide, and turn its actions into effects; what it sent in vain is told at once."""
    pending = [event]
    while pending:
        for action in state.router.handle(to_ns(now), pending.pop(0)):
            if type(action) is api.Send:
                moot = yield from send(state, now, action)
                pending.extend(moot)
            elif handler := ACTIONS.get(type(action)):
                yield from handler(state, now, action)


# --- events


def on_request_received(
    state: ConductorState, now: timedelta, event: ev.RequestReceived
) -> Iterator[ev.Effect]:
    """Take a request, unless its id is in use or may have run."""
    once = event.idempotency_key
    if event.id in state.requests or (once and state.idempotency_store.is_duplicate(once, now)):
        state.statistics.count(event.class_name, "errored")
        yield ev.Fail(event.id, "its id is running or may have run", duplicate=True)
        return
    if once and state.idempotency_store.full:
        state.statistics.count(event.class_name, "deferred")
        yield ev.Refuse(
            event.id, permitted_retry_after(state, timedelta(seconds=1)), "the ledger of ids is full"
        )
        return
    if once:
        state.idempotency_store.start(once)
    told = state.settings
    cls = next((each for each in told.classes if each.name == event.class_name), None)
    state.requests[event.id] = Request(event, now, now + event.time_left, told.max_attempts, cls)
    yield ev.SetTimer(now + event.time_left + DEADLINE_GRACE, (event.id, None, now))
    yield from run_module(
        state,
        now,
        api.Request(
            event.id,
            event.class_name,
            event.prompt_tokens,
            event.max_output_tokens,
            to_ns(event.time_left),
            event.session,
            event.prefix,
            event.prefix_tokens,
            None,
            event.tenant,
            event.retry,
            event.resumed,
        ),
    )
    yield from finish_request(state, now, event.id)


def on_client_disconnected(
    state: ConductorState, now: timedelta, event: ev.ClientDisconnected
) -> Iterator[ev.Effect]:
    """Owe nothing to a client that is gone, and end what is out for it, a stream too."""
    if request := state.requests.get(event.id):
        request.answer_pending = False
        yield from end_request(state, now, request)


def end_request(state: ConductorState, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Decide nothing more for a request, and give up what is out for it."""
    told = not request.closed
    request.closed = True
    if told:
        yield from run_module(state, now, api.ClientDisconnected(request.received.id))
    for index in range(len(request.attempts)):
        yield from abandon(request, index, Status.CANCELLED)
    yield from finish_request(state, now, request.received.id)


def on_response_started(
    state: ConductorState, now: timedelta, event: ev.ResponseStarted
) -> Iterator[ev.Effect]:
    """Bind the answer to the client: the deadline runs no more from here on."""
    request = state.requests.get(event.id)
    if request is None or request.closed:
        return
    attempt = request.attempts[event.attempt]
    attempt.response_started = request.response_started = True
    request.held_since = None
    yield from run_module(
        state, now, api.FirstToken(event.id, event.attempt, attempt.server, to_ns(now - attempt.sent_at))
    )


def on_attempt_ended(state: ConductorState, now: timedelta, event: ev.AttemptEnded) -> Iterator[ev.Effect]:
    """Book an attempt as over and let the module go on."""
    request = state.requests.get(event.id)
    if request is None or request.attempts[event.attempt].ended:
        return
    attempt = request.attempts[event.attempt]
    status = event.status
    if status is Status.CANCELLED and attempt.abandon_status is not None:
        status = attempt.abandon_status
    attempt.ended, attempt.answered = True, status in ANSWERED_STATUSES
    if event.written and status is not Status.CONNECT_FAILED:
        state.statistics.sends += 1
    if attempt.response_started:
        state.statistics.count(request.received.class_name, "answered" if status is Status.OK else "errored")
    if attempt.response_started or status is Status.OK:
        request.closed = True
    if status in MAY_HAVE_RUN_STATUSES:
        request.interrupted = True
    if not attempt.is_read and status in MAY_HAVE_RUN_STATUSES:
        if request.may_have_run and request.has_effect(api.Effect.UNSAFE):
            state.invariants.record(Violation.RUN_TWICE)
        request.may_have_run = True
        if request.repeat_until is None and request.has_effect(api.Effect.KEYED):
            request.repeat_until = attempt.sent_at + to_timedelta(request.class_settings.window)
    yield from release_overdue(state, now, request)
    if not request.response_started and status is not Status.CONNECT_FAILED:
        yield from note_leftovers(state, now, request, attempt, status)
    yield from run_module(
        state,
        now,
        api.Outcome(
            event.id,
            event.attempt,
            attempt.server,
            status,
            to_ns(now - attempt.sent_at),
            request.closed,
            event.detail,
            event.load,
        ),
    )
    yield from finish_request(state, now, event.id)


def on_reservation_finished(
    state: ConductorState, now: timedelta, event: ev.ReservationFinished
) -> Iterator[ev.Effect]:
    """Tell the module of a place while the read is out; one that may be held unknown is let go at the end."""
    request = state.requests.get(event.id)
    if request is None:
        return
    request.pending_reservations -= 1
    request.interrupted = request.interrupted or event.reserved is None
    attempt = request.attempts[event.attempt]
    if event.reserved is None and not event.unanswered and not attempt.ended and not request.closed:
        # The endpoint knew of no read: ours has not arrived, or arrived behind. If it is not over by the time
        # that a place may be held, it may not have arrived at all, and what has not arrived stops no clock.
        yield ev.SetTimer(
            now + state.reservation_release_delay(),
            ReservationTimer(request.received.id, event.attempt, request.received_at),
        )
    if event.reserved is not False and attempt.ended and not request.response_started:
        yield from start_hold_timer(state, now, request)
    if event.reserved is not None and not attempt.ended:
        yield from run_module(
            state, now, api.ReservationResult(event.id, event.attempt, attempt.server, event.reserved)
        )
    elif request.closed and not request.response_started and event.reserved is not False:
        yield build_release(state, request)
    yield from finish_request(state, now, event.id)


def on_probe_finished(state: ConductorState, now: timedelta, event: ev.ProbeFinished) -> Iterator[ev.Effect]:
    """Tell the module whether an endpoint has shown a sign of life."""
    if event.server in state.fleet:
        yield from run_module(
            state, now, api.ProbeResult(event.server, event.status, to_ns(event.duration), event.load)
        )


def on_timer_fired(state: ConductorState, now: timedelta, event: ev.TimerFired) -> Iterator[ev.Effect]:
    """Fire the module's timer, or one of ours: an attempt's time-out or the client's deadline."""
    if isinstance(event.timer, int):
        yield from run_module(state, now, api.TimerFired(event.timer))
        return
    if isinstance(event.timer, HeldStateTimer):
        if (request := state.requests.get(event.timer.id)) and request.held_since == event.timer.held_since:
            yield from release_overdue(state, now, request)
        return
    if isinstance(event.timer, ReservationTimer):
        request = state.requests.get(event.timer.id)
        waits = request is not None and request.received_at == event.timer.received_at and not request.closed
        if waits and not request.attempts[event.timer.attempt].ended:
            yield build_release(state, request)
        return
    id, attempt, received_at = event.timer
    request = state.requests.get(id)
    # Guards against a timer of an earlier request with the same id, which would end this one.
    if request is None or request.response_started or request.received_at != received_at:
        return
    if attempt is not None:
        yield from abandon(request, attempt, Status.TIMEOUT)
    elif not request.closed:
        # Guards against a module that forgets a request: its time-outs come first, so this is the last word.
        for index in range(len(request.attempts)):
            yield from abandon(request, index, Status.TIMEOUT)
        yield from fail(state, now, api.Fail(id))
    yield from finish_request(state, now, id)


def on_endpoints_updated(
    state: ConductorState, now: timedelta, event: ev.EndpointsUpdated
) -> Iterator[ev.Effect]:
    """Bring the fleet level. An endpoint of a kind that the settings do not name is left out."""
    kinds = {kind.name for kind in state.settings.kinds}
    known = {state.server_id(each.name): each for each in event.endpoints if each.kind in kinds}
    kept = {state.server_ids.get(name) for name in event.unreadable} & set(state.fleet)
    known = {**{server_id: state.fleet[server_id] for server_id in kept}, **known}
    if event.complete:
        for server_id in set(state.fleet) - set(known):
            del state.fleet[server_id]
    state.fleet.update(known)
    for server_id, each in known.items():
        if each.state is api.State.GONE:
            del state.fleet[server_id]
    # Guards against a table that grows with each endpoint that ever was; a name's number is the same again.
    state.server_ids = {each.name: server_id for server_id, each in state.fleet.items()}
    entries = tuple(
        api.ServerEntry(
            server_id, each.kind, each.zone, each.cell, each.state, each.weight, to_ns(each.started)
        )
        for server_id, each in known.items()
    )
    states = {each.name: each.state.value for each in known.values() if each.state is not api.State.LIVE}
    yield ev.WriteLog("endpoints", {"whole": event.complete, "known": len(state.fleet), "not_live": states})
    yield from run_module(state, now, api.ServerListUpdate(entries, event.complete))


def on_settings_reloaded(
    state: ConductorState, now: timedelta, event: ev.SettingsReloaded
) -> Iterator[ev.Effect]:
    """Put a new file's settings in force for requests from now on, or count it as turned down."""
    if event.settings is None:
        state.statistics.conf_invalid += 1
        return
    state.statistics.conf_loaded += 1
    state.settings = replace(event.settings, kinds=state.settings.kinds)  # kinds wait for a start
    retune(state.router, state.settings)
    yield ev.WriteLog("retuned", {"classes": [each.name for each in event.settings.classes]})


def on_request_rejected_at_front(
    state: ConductorState, now: timedelta, event: ev.RequestRejectedAtFront
) -> Iterator[ev.Effect]:
    """Count what a front answered by itself."""
    state.statistics.count(event.class_name, "deferred" if event.refused else "errored")
    yield from ()


def on_endpoint_reported_failing(
    state: ConductorState, now: timedelta, event: ev.EndpointReportedFailing
) -> Iterator[ev.Effect]:
    """Let the module avoid an endpoint, as it does on a peer's word."""
    server_id = state.server_ids.get(event.endpoint)
    if server_id in state.fleet:
        yield from run_module(state, now, api.PeerMessage(0, Word(Symptom.DOWN, server_id).pack()))


def on_request_interrupted(
    state: ConductorState, now: timedelta, event: ev.RequestInterrupted
) -> Iterator[ev.Effect]:
    """End a request: a stream that has begun is broken off, for its client to go on elsewhere.

    Guards against requests that SIGKILL would leave without an answer: it comes with what is out."""
    if request := state.requests.get(event.id):
        request.answer_pending = request.answer_pending or not (request.closed or request.response_started)
        yield from end_request(state, now, request)


HANDLERS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    ev.RequestReceived: on_request_received,
    ev.ClientDisconnected: on_client_disconnected,
    ev.ResponseStarted: on_response_started,
    ev.AttemptEnded: on_attempt_ended,
    ev.ReservationFinished: on_reservation_finished,
    ev.ProbeFinished: on_probe_finished,
    ev.TimerFired: on_timer_fired,
    ev.EndpointsUpdated: on_endpoints_updated,
    ev.RequestRejectedAtFront: on_request_rejected_at_front,
    ev.SettingsReloaded: on_settings_reloaded,
    ev.EndpointReportedFailing: on_endpoint_reported_failing,
    ev.RequestInterrupted: on_request_interrupted,
}


# --- actions


def send(state: ConductorState, now: timedelta, action: api.Send):
    """Open an attempt; gives the outcome at once where it cannot be opened."""
    request, endpoint = state.requests.get(action.request_id), state.fleet.get(action.server)
    if request is None:
        return []
    index, max_attempts = len(request.attempts), request.max_attempts
    role = next((k.role for k in state.settings.kinds if endpoint and k.name == endpoint.kind), None)
    request.attempts.append(Attempt(action.server, role is api.Role.READ, now))
    denial = permits.may_repeat(
        permits.RepeatConditions(
            role is api.Role.READ or request.repeatable or not request.has_effect(api.Effect.UNSAFE),
            request.may_have_run,
            index,
            max_attempts or None,
        )
    )
    if denial is not None or request.closed or request.response_started or now >= request.deadline:
        status = Status.MOOT
    elif endpoint is None:
        status = Status.CONNECT_FAILED
    else:
        patience = request.deadline - now
        if action.timeout and (own := to_timedelta(action.timeout)) < patience:
            patience = own
            yield ev.SetTimer(now + own, (action.request_id, index, request.received_at))
        is_read = role is api.Role.READ
        yield ev.Forward(
            action.request_id,
            index,
            endpoint,
            patience,
            is_read,
            not is_read and request.has_effect(api.Effect.UNSAFE),
            None if is_read else request.repeat_until,
        )
        return []
    request.attempts[index].ended = True
    return [api.Outcome(action.request_id, index, action.server, status, 0, request.closed)]


def hold(state: ConductorState, now: timedelta, action: api.Reserve) -> Iterator[ev.Effect]:
    """Ask for a place during the read that is out."""
    request, endpoint = state.requests.get(action.request_id), state.fleet.get(action.server)
    if request is None or endpoint is None or not request.attempts or request.attempts[-1].ended:
        return
    request.pending_reservations += 1
    yield ev.Reserve(action.request_id, len(request.attempts) - 1, endpoint)


def probe(state: ConductorState, now: timedelta, action: api.Probe) -> Iterator[ev.Effect]:
    """Ask an endpoint that is still listed for a sign of life."""
    if endpoint := state.fleet.get(action.server):
        yield ev.Probe(action.server, endpoint)


def release(state: ConductorState, now: timedelta, action: api.Release) -> Iterator[ev.Effect]:
    """Let go of what is held. A stream that has begun has let go of all by itself."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.response_started:
        yield build_release(state, request)


def cancel(state: ConductorState, now: timedelta, action: api.Cancel) -> Iterator[ev.Effect]:
    """Give an attempt up, unless its stream has begun."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.attempts[action.attempt].response_started:
        yield from abandon(request, action.attempt, Status.CANCELLED)


def refuse(state: ConductorState, now: timedelta, action: api.Refuse) -> Iterator[ev.Effect]:
    """Give the final answer: refused."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.statistics.count(request.received.class_name, "deferred")
        yield ev.Refuse(
            action.request_id,
            permitted_retry_after(state, to_timedelta(action.retry_after)),
            "given up by the module",
        )


def fail(state: ConductorState, now: timedelta, action: api.Fail) -> Iterator[ev.Effect]:
    """Give the final answer: failed."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.statistics.count(request.received.class_name, "errored")
        yield ev.Fail(action.request_id, "it may have run and may not run again, or its time is over")


ACTIONS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    api.Reserve: hold,
    api.Probe: probe,
    api.Release: release,
    api.Cancel: cancel,
    api.Refuse: refuse,
    api.Fail: fail,
    api.SetTimer: lambda state, now, action: [ev.SetTimer(to_timedelta(action.at), action.timer)],
    api.Log: lambda state, now, action: [ev.WriteLog("module", {"text": action.text})],
}


# --- helpers


def permitted_retry_after(state: ConductorState, pause: timedelta) -> timedelta | None:
    """Give the pause that a refusal may tell its client, None where the settings allow none."""
    return pause if state.settings.retry_after else None


def abandon(request: Request, index: int, status: Status) -> Iterator[ev.Effect]:
    """Close an attempt's connection; it counts as given up with this status."""
    attempt = request.attempts[index]
    if not attempt.ended and attempt.abandon_status is None:
        attempt.abandon_status = status
        yield ev.AbandonAttempt(request.received.id, index)


def note_leftovers(
    state: ConductorState, now: timedelta, request: Request, attempt: Attempt, status: Status
) -> Iterator[ev.Effect]:
    """See to what an attempt that ended may have left. What a cut read left is of no use to anybody."""
    if attempt.is_read and status in MAY_HAVE_RUN_STATUSES:
        request.held_since = now
        yield build_release(state, request)
    elif attempt.answered or request.held_since is None:
        # Guards against a writer that never saw the request, as it was cut off: the older time goes on.
        yield from start_hold_timer(state, now, request)


def start_hold_timer(state: ConductorState, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Note that something may be held from now on."""
    request.held_since = now
    yield ev.SetTimer(now + state.hold_limit(), HeldStateTimer(request.received.id, now))


def release_overdue(state: ConductorState, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Let go of what has been held for as long as may be, though an attempt at a writer may be out.

    Guards against writers that are cut off: no attempt reaches one, each looks as if it were out, and what
    was read stays held meanwhile. What an attempt does wait for is not let go of by it, by the protocol; a
    read waits for no place, so while one is out nothing is overdue."""
    reading = any(attempt.is_read and not attempt.ended for attempt in request.attempts)
    if request.held_since is not None and now >= request.held_since + state.hold_limit() and not reading:
        yield build_release(state, request)


def build_release(state: ConductorState, request: Request) -> ev.Release:
    """Ask for a release, first at the endpoints that had part in the request and answered, then the last one.

    Guards against asking one after the other of those that could not be reached, while the time runs."""
    held_since, request.held_since = request.held_since, None
    last = [attempt.server for attempt in request.attempts[-1:] if attempt.abandon_status]
    answered = [attempt.server for attempt in reversed(request.attempts) if attempt.answered]
    endpoints = tuple(state.fleet[n] for n in dict.fromkeys([*answered, *last]) if n in state.fleet)
    cut_off = any(each.is_read and each.abandon_status and not each.answered for each in request.attempts)
    return ev.Release(
        request.received.id,
        endpoints,
        INTERRUPTED_RELEASE_DELAY if request.interrupted else ev.ZERO,
        held_since,
        cut_off,
    )


def finish_request(state: ConductorState, now: timedelta, id: str) -> Iterator[ev.Effect]:
    """Forget a request whose answer is given and that has nothing out any more.

    What is owed is given first. Guards against a refusal with anything out where repeats do harm, a read too:
    only its end tells that it never ran."""
    request = state.requests.get(id)
    if request is None or not request.closed:
        return
    out = any(not attempt.ended for attempt in request.attempts)
    if request.answer_pending and (request.repeatable or not out):
        request.answer_pending = False
        risky = not request.repeatable and request.may_have_run
        state.statistics.count(request.received.class_name, "errored" if risky else "deferred")
        why = "the conductor ends"
        yield ev.Fail(id, why) if risky else ev.Refuse(id, permitted_retry_after(state, ev.ZERO), why)
    if out or request.pending_reservations:
        return
    del state.requests[id]
    if request.received.idempotency_key:
        state.idempotency_store.end(request.received.idempotency_key, now, request.may_have_run)
