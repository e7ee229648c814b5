"""The reducer. All changes to the state of requests, attempts, reservations and the fleet happen here.

Read state is a prompt's KV state at the endpoint that read it; a writer fetches it, or it must be released.
The router (`decision/router.py`) decides where requests go; the reducer carries its actions out."""

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
from hoplane.decision.peer_messages import PeerReport, Symptom
from hoplane.decision.router import Router
from hoplane.decision.state import apply_settings

# The endpoint answered, with success or failure.
ANSWERED_STATUSES = (Status.OK, Status.MISS, Status.FULL, Status.ERROR)
# Unlike the router's MAY_HAVE_RUN, this includes OK: the core also records that a request has run, whereas
# the router only decides on retries after a failure.
MAY_HAVE_RUN_STATUSES = (Status.OK, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)
# Delay of a release after an interrupted attempt, so that the close of its connection arrives first.
INTERRUPTED_RELEASE_DELAY = timedelta(milliseconds=15)
# Limit of the time that read state or a reservation may be held, if the settings give none.
DEFAULT_HOLD_LIMIT = timedelta(milliseconds=500)
RELEASE_LEAD = timedelta(milliseconds=100)  # before the limit, for the network and a busy event loop
# Deducted from the hold limit after a reservation call was answered "unknown" (the endpoint had not received
# the read): the reservation may have existed for 300 ms when that answer arrives; 100 ms of that are
# tolerated.
UNKNOWN_RESERVATION_LEAD = timedelta(milliseconds=200)
DEADLINE_GRACE = timedelta(milliseconds=5)  # after the deadline, which the router enforces itself


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an endpoint, as the core tracks its connection.

    `decision.state.Attempt` has the router's estimates of the same attempt.
    `response_started`: its first event goes to the client, so the request is bound to it.
    `ended`: nothing of it is in flight; its connection is idle or closed.
    `answered`: it has ended with an answer of the endpoint, of success or failure."""

    server: int
    is_read: bool
    sent_at: timedelta
    response_started: bool = False
    ended: bool = False
    answered: bool = False
    abandon_status: Status | None = None  # set when abandoned: its status once the connection is closed


@dataclass(slots=True)
class Request:
    """A request, from its arrival until its last attempt and reservation call have ended.

    `received` is the event of its arrival; `decision.state.Job` has the router's state of the same request.
    `response_started`: the client is receiving a response. `closed`: the request has its final answer (for a
    response, its end) or its client has disconnected, so nothing new is sent for it."""

    received: ev.RequestReceived
    received_at: timedelta
    deadline: timedelta
    max_attempts: int | None = None  # this and the class are from the settings at its arrival
    class_settings: api.ClassSettings | None = None
    repeat_until: timedelta | None = None  # end of the window in which endpoints discard duplicates
    attempts: list[Attempt] = field(default_factory=list)
    response_started: bool = False
    closed: bool = False
    answer_pending: bool = False  # closed because the process ends, and not yet answered
    pending_reservations: int = 0  # reservation calls in flight
    interrupted: bool = False  # an attempt or reservation call was cut off; it may still take effect later
    held_since: timedelta | None = None  # since when read state may be held; None while being released
    may_have_run: bool = False

    @property
    def safe_to_refuse(self) -> bool:
        """Return whether the request may be refused although it may have run.

        True if its class is SAFE, or if all endpoints discard its duplicates. The `repeatable` of
        `permits.RepeatConditions` is weaker: true for a read, and for any class but UNSAFE."""
        return self.class_settings is None or self.class_settings.safe_to_refuse

    def has_effect(self, effect: api.Idempotency) -> bool:
        """Return whether the request's class has this effect."""
        return self.class_settings is not None and self.class_settings.effect is effect


@dataclass(slots=True, frozen=True)
class ReadStateTimer:
    """Timer for read state that a request may hold at endpoints: released unless a response has started."""

    id: str
    held_since: timedelta


@dataclass(slots=True, frozen=True)
class ReservationTimer:
    """Timer for a reservation that may exist although its read may not have reached the endpoint."""

    id: str
    attempt: int
    received_at: timedelta


@dataclass
class ConductorState:
    """The conductor's state, changed by `reduce` only."""

    settings: api.Settings
    router: Router
    idempotency_store: IdempotencyStore
    requests: dict[str, Request] = field(default_factory=dict)
    server_ids: dict[str, int] = field(default_factory=dict)  # of the decision module, by endpoint name
    fleet: dict[int, ev.Endpoint] = field(default_factory=dict)
    statistics: Statistics = field(default_factory=Statistics)
    invariants: Invariants = field(default_factory=Invariants)

    def accepts_work(self, endpoint: ev.Endpoint) -> bool:
        """Return whether an endpoint is listed as accepting new work."""
        listed = self.fleet.get(self.server_ids.get(endpoint.name))
        return listed is not None and listed.state is api.State.LIVE

    def send_denial(
        self,
        effect: ev.Forward | ev.Reserve,
        now: timedelta,
        client_disconnected: bool,
        deadline: timedelta | None,
    ) -> Denial | None:
        """Return why bytes of an attempt or a reservation call may not be sent now, or None if they may."""
        request, attempt = self.requests.get(effect.id), None
        if request is not None and effect.attempt < len(request.attempts):
            attempt = request.attempts[effect.attempt]
        forward = effect if isinstance(effect, ev.Forward) else None
        abandoned = attempt is not None and attempt.abandon_status is not None
        return permits.may_send(
            permits.SendConditions(
                now,
                client_disconnected,
                request is None or request.closed or request.response_started or abandoned,
                self.accepts_work(effect.endpoint),
                deadline,
                forward and forward.repeat_until,
                None if forward or attempt is None else not attempt.ended,
            )
        )

    def response_denial(self, id: str, index: int) -> Denial | None:
        """Return why an attempt's response may not be passed on to the client, or None if it may."""
        request = self.requests.get(id)
        if request is None:
            return permits.may_respond(ended=True, abandoned=False, response_started=False)
        return permits.may_respond(
            ended=request.closed,
            abandoned=request.attempts[index].abandon_status is not None,
            response_started=request.response_started,
        )

    def response_started(self, id: str) -> bool:
        """Return whether a request's response has started; endpoints then release its state themselves."""
        request = self.requests.get(id)
        return request is not None and request.response_started

    def hold_limit(self) -> timedelta:
        """Return how long read state may be held before its release starts."""
        limit_ns = self.settings.release_within
        limit = DEFAULT_HOLD_LIMIT if limit_ns is None else to_timedelta(limit_ns)
        return max(limit / 2, limit - RELEASE_LEAD)

    def reservation_release_delay(self) -> timedelta:
        """Return the time from an answer "unknown" to the release of a reservation that may exist.

        "Unknown" means that the endpoint had not received the read."""
        limit_ns = self.settings.release_within
        return max(
            ev.ZERO,
            (DEFAULT_HOLD_LIMIT if limit_ns is None else to_timedelta(limit_ns)) - UNKNOWN_RESERVATION_LEAD,
        )

    def server_id(self, name: str) -> int:
        """Return an endpoint's id for the hash ring, the same in all conductors."""
        if name not in self.server_ids:
            server_id, used_ids = crc32(name.encode()), set(self.server_ids.values())
            while server_id in used_ids:
                server_id += 1
            self.server_ids[name] = server_id
        return self.server_ids[name]


def reduce(state: ConductorState, now: timedelta, event: ev.Event) -> list[ev.Effect]:
    """Apply an event to the state and return the resulting effects in order."""
    return list(iterate_effects(state, now, event))


def iterate_effects(state: ConductorState, now: timedelta, event: ev.Event) -> Iterator[ev.Effect]:
    """Apply an event and yield its effects one by one, so that an exception loses no earlier effect."""
    released = set()
    for each in HANDLERS[type(event)](state, now, event):
        # The end of an attempt and of its request may each yield a release; one is enough.
        if type(each) is not ev.Release or each.id not in released:
            yield each
        if type(each) is ev.Release:
            released.add(each.id)


def run_router(state: ConductorState, now: timedelta, event: api.Event) -> Iterator[ev.Effect]:
    """Pass an event to the router and yield its actions as effects.

    The outcome of a send that can't be started is passed back to the router at once."""
    pending = [event]
    while pending:
        for action in state.router.handle(to_ns(now), pending.pop(0)):
            if type(action) is api.Send:
                outcomes = yield from send(state, now, action)
                pending.extend(outcomes)
            elif handler := ACTIONS.get(type(action)):
                yield from handler(state, now, action)


# --- events


def on_request_received(
    state: ConductorState, now: timedelta, event: ev.RequestReceived
) -> Iterator[ev.Effect]:
    """Accept a request, unless its id is in use or its idempotency key may have run."""
    key = event.idempotency_key
    if event.id in state.requests or (key and state.idempotency_store.is_duplicate(key, now)):
        state.statistics.count(event.class_name, "errored")
        yield ev.Fail(event.id, "the id is in use or may have run", duplicate=True)
        return
    if key and state.idempotency_store.full:
        state.statistics.count(event.class_name, "deferred")
        yield ev.Refuse(
            event.id, permitted_retry_after(state, timedelta(seconds=1)), "the idempotency store is full"
        )
        return
    if key:
        state.idempotency_store.start(key)
    current = state.settings
    class_settings = next((each for each in current.classes if each.name == event.class_name), None)
    state.requests[event.id] = Request(
        event, now, now + event.time_left, current.max_attempts, class_settings
    )
    yield ev.SetTimer(now + event.time_left + DEADLINE_GRACE, (event.id, None, now))
    yield from run_router(
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
    """End a request whose client has disconnected, including a running stream, without an answer."""
    if request := state.requests.get(event.id):
        request.answer_pending = False
        yield from end_request(state, now, request)


def end_request(state: ConductorState, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Close a request and abandon its attempts in flight."""
    was_open = not request.closed
    request.closed = True
    if was_open:
        yield from run_router(state, now, api.ClientDisconnected(request.received.id))
    for index in range(len(request.attempts)):
        yield from abandon(request, index, Status.CANCELLED)
    yield from finish_request(state, now, request.received.id)


def on_response_started(
    state: ConductorState, now: timedelta, event: ev.ResponseStarted
) -> Iterator[ev.Effect]:
    """Bind the request to this attempt, if its response is permitted; the deadline no longer applies."""
    if state.response_denial(event.id, event.attempt):
        return
    request = state.requests[event.id]
    attempt = request.attempts[event.attempt]
    attempt.response_started = request.response_started = True
    request.held_since = None
    yield from run_router(
        state, now, api.FirstToken(event.id, event.attempt, attempt.server, to_ns(now - attempt.sent_at))
    )


def on_attempt_ended(state: ConductorState, now: timedelta, event: ev.AttemptEnded) -> Iterator[ev.Effect]:
    """Record the end of an attempt and pass its outcome to the router."""
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
        yield from abandon_without_response(request)
    if status in MAY_HAVE_RUN_STATUSES:
        request.interrupted = True
    if not attempt.is_read and status in MAY_HAVE_RUN_STATUSES:
        if request.may_have_run and request.has_effect(api.Idempotency.UNSAFE):
            state.invariants.record(Violation.RUN_TWICE)
        request.may_have_run = True
        if request.repeat_until is None and request.has_effect(api.Idempotency.KEYED):
            request.repeat_until = attempt.sent_at + to_timedelta(request.class_settings.window)
    yield from release_overdue(state, now, request)
    if not request.response_started and status is not Status.CONNECT_FAILED:
        yield from track_read_state(state, now, request, attempt, status)
    yield from run_router(
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
    """Pass the result of a reservation to the router while its read is in flight.

    A reservation that may exist unconfirmed is released at the end of the request."""
    request = state.requests.get(event.id)
    if request is None:
        return
    request.pending_reservations -= 1
    request.interrupted = request.interrupted or event.reserved is None
    attempt = request.attempts[event.attempt]
    if event.reserved is None and not event.unanswered and not attempt.ended and not request.closed:
        # The answer "unknown": the endpoint had not received the read when it handled the reservation call.
        # If the read is still in flight when the hold limit is near, the endpoint may never receive it, and
        # only a release by this conductor ends the reservation in time.
        yield ev.SetTimer(
            now + state.reservation_release_delay(),
            ReservationTimer(request.received.id, event.attempt, request.received_at),
        )
    if event.reserved is not False and attempt.ended and not request.response_started:
        yield from start_read_state_timer(state, now, request)
    if event.reserved is not None and not attempt.ended:
        yield from run_router(
            state, now, api.ReservationResult(event.id, event.attempt, attempt.server, event.reserved)
        )
    elif request.closed and not request.response_started and event.reserved is not False:
        yield build_release(state, request)
    yield from finish_request(state, now, event.id)


def on_probe_finished(state: ConductorState, now: timedelta, event: ev.ProbeFinished) -> Iterator[ev.Effect]:
    """Pass the result of a health probe to the router."""
    if event.server in state.fleet:
        yield from run_router(
            state, now, api.ProbeResult(event.server, event.status, to_ns(event.duration), event.load)
        )


def on_timer_fired(state: ConductorState, now: timedelta, event: ev.TimerFired) -> Iterator[ev.Effect]:
    """Handle a timer of the router (an int), or one of the core.

    Those of the core are the timer classes above, or tuples: an attempt's timeout, the client's deadline."""
    if isinstance(event.timer, int):
        yield from on_router_timer_fired(state, now, event.timer)
        return
    if isinstance(event.timer, ReadStateTimer):
        if (request := state.requests.get(event.timer.id)) and request.held_since == event.timer.held_since:
            yield from release_overdue(state, now, request)
        return
    if isinstance(event.timer, ReservationTimer):
        request = state.requests.get(event.timer.id)
        still_open = (
            request is not None and request.received_at == event.timer.received_at and not request.closed
        )
        if still_open and not request.attempts[event.timer.attempt].ended:
            yield build_release(state, request)
        return
    id, attempt, received_at = event.timer
    request = state.requests.get(id)
    # A timer of an earlier request with the same id must not end this one.
    if request is None or request.response_started or request.received_at != received_at:
        return
    if attempt is not None:
        yield from abandon(request, attempt, Status.TIMEOUT)
    elif not request.closed:
        # The router's own timeouts fire earlier; this one is for a request that it lost track of.
        for index in range(len(request.attempts)):
            yield from abandon(request, index, Status.TIMEOUT)
        yield from fail(state, now, api.Fail(id))
    yield from finish_request(state, now, id)


def on_router_timer_fired(state: ConductorState, now: timedelta, timer: int) -> Iterator[ev.Effect]:
    """Pass a timer to the router, and finish the requests to which it gives their final answer."""
    answered = []
    for effect in run_router(state, now, api.TimerFired(timer)):
        yield effect
        if isinstance(effect, ev.Refuse | ev.Fail):
            answered.append(effect.id)
    for id in answered:
        yield from finish_request(state, now, id)


def on_endpoints_updated(
    state: ConductorState, now: timedelta, event: ev.EndpointsUpdated
) -> Iterator[ev.Effect]:
    """Update the fleet from an endpoint list. Endpoints of a kind that the settings lack are ignored."""
    kinds = {kind.name for kind in state.settings.kinds}
    known = {state.server_id(each.name): each for each in event.endpoints if each.kind in kinds}
    unchanged = {state.server_ids.get(name) for name in event.unreadable} & set(state.fleet)
    known = {**{server_id: state.fleet[server_id] for server_id in unchanged}, **known}
    if event.complete:
        for server_id in set(state.fleet) - set(known):
            del state.fleet[server_id]
    state.fleet.update(known)
    for server_id, each in known.items():
        if each.state is api.State.GONE:
            del state.fleet[server_id]
    # Drop the ids of removed endpoints, else the table grows without bound; an id depends only on the name.
    state.server_ids = {each.name: server_id for server_id, each in state.fleet.items()}
    entries = tuple(
        api.ServerEntry(
            server_id, each.kind, each.zone, each.cell, each.state, each.weight, to_ns(each.started)
        )
        for server_id, each in known.items()
    )
    states = {each.name: each.state.value for each in known.values() if each.state is not api.State.LIVE}
    yield ev.WriteLog("endpoints", {"whole": event.complete, "known": len(state.fleet), "not_live": states})
    yield from run_router(state, now, api.ServerListUpdate(entries, event.complete))


def on_settings_reloaded(
    state: ConductorState, now: timedelta, event: ev.SettingsReloaded
) -> Iterator[ev.Effect]:
    """Apply reloaded settings to requests from now on, or count the file as invalid."""
    if event.settings is None:
        state.statistics.conf_invalid += 1
        return
    state.statistics.conf_loaded += 1
    state.settings = replace(event.settings, kinds=state.settings.kinds)  # new kinds need a restart
    apply_settings(state.router, state.settings)
    yield ev.WriteLog("retuned", {"classes": [each.name for each in event.settings.classes]})


def on_request_rejected_at_front(
    state: ConductorState, now: timedelta, event: ev.RequestRejectedAtFront
) -> Iterator[ev.Effect]:
    """Count a request that the front answered itself."""
    state.statistics.count(event.class_name, "deferred" if event.refused else "errored")
    yield from ()


def on_endpoint_reported_failing(
    state: ConductorState, now: timedelta, event: ev.EndpointReportedFailing
) -> Iterator[ev.Effect]:
    """Pass the report to the router, which ejects the endpoint."""
    # The report is passed to the router as a peer message with sender 0, although it comes from this process.
    server_id = state.server_ids.get(event.endpoint)
    if server_id in state.fleet:
        yield from run_router(state, now, api.PeerMessage(0, PeerReport(Symptom.DOWN, server_id).pack()))


def on_request_interrupted(
    state: ConductorState, now: timedelta, event: ev.RequestInterrupted
) -> Iterator[ev.Effect]:
    """End a request before SIGKILL would leave it without an answer.

    A running stream is cut off, and its client resumes elsewhere. Another request is answered at once, or,
    where repeating it does harm, once its attempts have ended."""
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
    """Start an attempt; returns its outcome at once if it can't be started."""
    request, endpoint = state.requests.get(action.request_id), state.fleet.get(action.server)
    if request is None:
        return []
    index, max_attempts = len(request.attempts), request.max_attempts
    role = next((k.role for k in state.settings.kinds if endpoint and k.name == endpoint.kind), None)
    request.attempts.append(Attempt(action.server, role is api.Role.READ, now))
    denial = permits.may_repeat(
        permits.RepeatConditions(
            role is api.Role.READ or request.safe_to_refuse or not request.has_effect(api.Idempotency.UNSAFE),
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
        time_left = request.deadline - now
        if action.timeout and (attempt_timeout := to_timedelta(action.timeout)) < time_left:
            time_left = attempt_timeout
            yield ev.SetTimer(now + attempt_timeout, (action.request_id, index, request.received_at))
        is_read = role is api.Role.READ
        yield ev.Forward(
            action.request_id,
            index,
            endpoint,
            time_left,
            is_read,
            not is_read and request.has_effect(api.Idempotency.UNSAFE),
            None if is_read else request.repeat_until,
        )
        return []
    request.attempts[index].ended = True
    return [api.Outcome(action.request_id, index, action.server, status, 0, request.closed)]


def reserve(state: ConductorState, now: timedelta, action: api.Reserve) -> Iterator[ev.Effect]:
    """Make a reservation during the read in flight."""
    request, endpoint = state.requests.get(action.request_id), state.fleet.get(action.server)
    if request is None or endpoint is None or not request.attempts or request.attempts[-1].ended:
        return
    request.pending_reservations += 1
    yield ev.Reserve(action.request_id, len(request.attempts) - 1, endpoint)


def probe(state: ConductorState, now: timedelta, action: api.Probe) -> Iterator[ev.Effect]:
    """Probe an endpoint if it is still listed."""
    if endpoint := state.fleet.get(action.server):
        yield ev.Probe(action.server, endpoint)


def release(state: ConductorState, now: timedelta, action: api.Release) -> Iterator[ev.Effect]:
    """Release read state and reservations; once a response has started, the endpoints do so themselves."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.response_started:
        yield build_release(state, request)


def cancel(state: ConductorState, now: timedelta, action: api.Cancel) -> Iterator[ev.Effect]:
    """Abandon an attempt unless its response has started."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.attempts[action.attempt].response_started:
        yield from abandon(request, action.attempt, Status.CANCELLED)


def refuse(state: ConductorState, now: timedelta, action: api.Refuse) -> Iterator[ev.Effect]:
    """Refuse a request as its final answer."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.statistics.count(request.received.class_name, "deferred")
        yield ev.Refuse(
            action.request_id,
            permitted_retry_after(state, to_timedelta(action.retry_after)),
            "refused by the decision module",
        )
        yield from abandon_without_response(request)


def fail(state: ConductorState, now: timedelta, action: api.Fail) -> Iterator[ev.Effect]:
    """Fail a request as its final answer."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.statistics.count(request.received.class_name, "errored")
        yield ev.Fail(
            action.request_id, "the request may have run and must not be repeated, or its deadline has passed"
        )
        yield from abandon_without_response(request)


ACTIONS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    api.Reserve: reserve,
    api.Probe: probe,
    api.Release: release,
    api.Cancel: cancel,
    api.Refuse: refuse,
    api.Fail: fail,
    api.SetTimer: lambda state, now, action: [ev.SetTimer(to_timedelta(action.at), action.timer)],
    api.Log: lambda state, now, action: [ev.WriteLog("module", {"text": action.text})],
}


# --- helpers


def permitted_retry_after(state: ConductorState, delay: timedelta) -> timedelta | None:
    """Return the retry advice of a refusal, or None if the settings forbid any."""
    return delay if state.settings.retry_after else None


def abandon(request: Request, index: int, status: Status) -> Iterator[ev.Effect]:
    """Close an attempt's connection; the attempt then ends with this status."""
    attempt = request.attempts[index]
    if not attempt.ended and attempt.abandon_status is None:
        attempt.abandon_status = status
        yield ev.AbandonAttempt(request.received.id, index)


def abandon_without_response(request: Request) -> Iterator[ev.Effect]:
    """Abandon the attempts of a closed request whose response has not started: nobody waits for them.

    `Settings.cancel` doesn't apply: it permits the router to give up an attempt that could still answer."""
    for index, attempt in enumerate(request.attempts):
        if not attempt.response_started:
            yield from abandon(request, index, Status.CANCELLED)


def track_read_state(
    state: ConductorState, now: timedelta, request: Request, attempt: Attempt, status: Status
) -> Iterator[ev.Effect]:
    """Track read state that an ended attempt may have left; that of an interrupted read is released at once.

    No writer can use the state of an interrupted read."""
    if attempt.is_read and status in MAY_HAVE_RUN_STATUSES:
        request.held_since = now
        yield build_release(state, request)
    elif attempt.answered or request.held_since is None:
        # Otherwise the writer may never have received the request, and the earlier time still applies.
        yield from start_read_state_timer(state, now, request)


def start_read_state_timer(state: ConductorState, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Record that read state may be held from now on, and set the timer for its release."""
    request.held_since = now
    yield ev.SetTimer(now + state.hold_limit(), ReadStateTimer(request.received.id, now))


def release_overdue(state: ConductorState, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Release read state held for the permitted time, even if an attempt at a writer is in flight.

    If writers are partitioned, attempts never reach them but seem to be in flight, and the state of the read
    would never be released. An endpoint that receives a release doesn't drop state that an attempt which has
    reached a writer waits for, so the release is safe. A read waits for no reservation, so nothing is overdue
    while one is in flight."""
    reading = any(attempt.is_read and not attempt.ended for attempt in request.attempts)
    if request.held_since is not None and now >= request.held_since + state.hold_limit() and not reading:
        yield build_release(state, request)


def build_release(state: ConductorState, request: Request) -> ev.Release:
    """Build the release effect.

    It first calls the endpoints that answered the request, then the endpoint of the last attempt if that was
    abandoned. The request's other endpoints could not be reached, and trying them one after the other would
    use up the time."""
    held_since, request.held_since = request.held_since, None
    last_abandoned = [attempt.server for attempt in request.attempts[-1:] if attempt.abandon_status]
    answered = [attempt.server for attempt in reversed(request.attempts) if attempt.answered]
    endpoints = tuple(state.fleet[n] for n in dict.fromkeys([*answered, *last_abandoned]) if n in state.fleet)
    read_cut_off = any(
        each.is_read and each.abandon_status and not each.answered for each in request.attempts
    )
    return ev.Release(
        request.received.id,
        endpoints,
        INTERRUPTED_RELEASE_DELAY if request.interrupted else ev.ZERO,
        held_since,
        read_cut_off,
    )


def finish_request(state: ConductorState, now: timedelta, id: str) -> Iterator[ev.Effect]:
    """Remove a closed request that has nothing in flight, after giving a pending answer.

    If repeating the request does harm, it is refused only once nothing is in flight, not even a read: only
    then is it certain that it never ran."""
    request = state.requests.get(id)
    if request is None or not request.closed:
        return
    in_flight = any(not attempt.ended for attempt in request.attempts)
    if request.answer_pending and (request.safe_to_refuse or not in_flight):
        request.answer_pending = False
        may_not_repeat = not request.safe_to_refuse and request.may_have_run
        state.statistics.count(request.received.class_name, "errored" if may_not_repeat else "deferred")
        reason = "the conductor is shutting down"
        yield (
            ev.Fail(id, reason)
            if may_not_repeat
            else ev.Refuse(id, permitted_retry_after(state, ev.ZERO), reason)
        )
    if in_flight or request.pending_reservations:
        return
    del state.requests[id]
    if request.received.idempotency_key:
        state.idempotency_store.end(request.received.idempotency_key, now, request.may_have_run)
