"""The reducer. All changes to the state of requests, attempts, reservations and the fleet happen here.

The state is in `state.py`. The router (`decision/router.py`) decides where requests go; the reducer carries
its actions out."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from datetime import timedelta

from hoplane.core import events as ev
from hoplane.core import permits
from hoplane.core.invariants import Violation
from hoplane.core.state import Attempt, ConductorState, Request
from hoplane.core.time_conversion import to_ns, to_timedelta
from hoplane.core.timers import AttemptTimer, DeadlineTimer, ReadStateTimer, ReservationTimer
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
DEADLINE_GRACE = timedelta(milliseconds=5)  # after the deadline, which the router enforces itself


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
        actions, error = handle_event(state.router, now, pending.pop(0))
        for action in actions:
            if type(action) is api.Send:
                outcomes = yield from send(state, now, action)
                pending.extend(outcomes)
            elif handler := ACTIONS.get(type(action)):
                yield from handler(state, now, action)
        if error is not None:
            raise error


def handle_event(
    router: Router, now: timedelta, event: api.Event
) -> tuple[list[api.Action], Exception | None]:
    """Pass an event to the router; return its actions and the exception that it raised, if any.

    The actions before an exception belong to other requests too: a lost timer would never fire."""
    try:
        return router.handle(to_ns(now), event), None
    except Exception as error:
        return router.actions, error


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
        yield ev.ReleaseKey(key)
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
    yield request_timer(state, event.id, now + event.time_left + DEADLINE_GRACE, DeadlineTimer(event.id, now))
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
    attempt.status = status
    if event.written and status is not Status.CONNECT_FAILED:
        state.statistics.sends += 1
    if attempt.response_started:
        state.statistics.count(request.received.class_name, "answered" if status is Status.OK else "errored")
    if attempt.response_started or status is Status.OK:
        request.closed = True
        yield from abandon_without_response(request)
    if status in MAY_HAVE_RUN_STATUSES:
        request.interrupted = True
    if not attempt.answered and not attempt.response_started:
        state.invariants.attempt_ended_unanswered(attempt.repeat_until, now)
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
    """Handle a timer of the router or one of the core (`timers.py`)."""
    yield from TIMER_HANDLERS[type(event.timer)](state, now, event.timer)


def on_router_timer_fired(state: ConductorState, now: timedelta, timer: int) -> Iterator[ev.Effect]:
    """Pass a timer to the router, and finish the requests to which it gives their final answer."""
    answered = []
    for effect in run_router(state, now, api.TimerFired(timer)):
        yield effect
        if isinstance(effect, ev.Refuse | ev.Fail):
            answered.append(effect.id)
    for id in answered:
        yield from finish_request(state, now, id)


def on_deadline_passed(state: ConductorState, now: timedelta, timer: DeadlineTimer) -> Iterator[ev.Effect]:
    """Fail a request at its deadline. The router's own timeouts fire earlier, unless it lost track of it."""
    request = waiting_request(state, timer)
    if request is None:
        return
    if not request.closed:
        for index in range(len(request.attempts)):
            yield from abandon(request, index, Status.TIMEOUT)
        yield from fail(state, now, api.Fail(timer.id))
    yield from finish_request(state, now, timer.id)


def on_attempt_timed_out(state: ConductorState, now: timedelta, timer: AttemptTimer) -> Iterator[ev.Effect]:
    """Abandon an attempt whose response is due (`permits.response_due`)."""
    if request := waiting_request(state, timer):
        yield from abandon(request, timer.attempt, Status.TIMEOUT)
        yield from finish_request(state, now, timer.id)


def on_read_state_overdue(
    state: ConductorState, now: timedelta, timer: ReadStateTimer
) -> Iterator[ev.Effect]:
    """Release read state, unless it was used or released since the timer was set."""
    request = state.requests.get(timer.id)
    if request is not None and request.held_since == timer.held_since:
        yield from release_overdue(state, now, request)


def on_reservation_overdue(
    state: ConductorState, now: timedelta, timer: ReservationTimer
) -> Iterator[ev.Effect]:
    """Release a reservation whose read is still in flight, as it may never have reached its endpoint."""
    request = state.requests.get(timer.id)
    if request is None or request.received_at != timer.received_at or request.closed:
        return
    if not request.attempts[timer.attempt].ended:
        yield build_release(state, request)


TIMER_HANDLERS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    int: on_router_timer_fired,
    DeadlineTimer: on_deadline_passed,
    AttemptTimer: on_attempt_timed_out,
    ReadStateTimer: on_read_state_overdue,
    ReservationTimer: on_reservation_overdue,
}


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
    is_read = role is api.Role.READ
    repeat_until = None if is_read else request.repeat_until
    request.attempts.append(Attempt(action.server, is_read, now, repeat_until))
    denial = permits.may_repeat(
        permits.RepeatConditions(
            is_read or request.safe_to_refuse or not request.has_effect(api.Idempotency.UNSAFE),
            request.may_have_run,
            index,
            max_attempts or None,
        )
    )
    response_due = permits.response_due(
        deadline=request.deadline,
        timeout_at=now + to_timedelta(action.timeout) if action.timeout else None,
        repeat_until=repeat_until,
    )
    if denial is not None or request.closed or request.response_started or now >= response_due:
        status = Status.MOOT
    elif endpoint is None:
        status = Status.CONNECT_FAILED
    else:
        if response_due < request.deadline:
            timer = AttemptTimer(action.request_id, index, request.received_at)
            yield request_timer(state, action.request_id, response_due, timer)
        yield ev.Forward(
            action.request_id,
            index,
            endpoint,
            response_due - now,
            is_read,
            not is_read and request.has_effect(api.Idempotency.UNSAFE),
            repeat_until,
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
            state.attempt_records(request),
        )
        yield from abandon_without_response(request)


def fail(state: ConductorState, now: timedelta, action: api.Fail) -> Iterator[ev.Effect]:
    """Fail a request as its final answer."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.statistics.count(request.received.class_name, "errored")
        yield ev.Fail(
            action.request_id,
            "the request may have run and must not be repeated, or its deadline has passed",
            attempts=state.attempt_records(request),
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
    api.CancelTimer: lambda state, now, action: [ev.CancelTimer(action.timer)],
    api.Log: lambda state, now, action: [ev.WriteLog("module", {"text": action.text})],
}


# --- helpers


def request_timer(
    state: ConductorState, id: str, at: timedelta, timer: AttemptTimer | DeadlineTimer
) -> ev.SetTimer:
    """Return the effect that sets a timer of a request; it is withdrawn at the request's end."""
    state.requests[id].timers.append(timer)
    return ev.SetTimer(at, timer)


def waiting_request(state: ConductorState, timer: AttemptTimer | DeadlineTimer) -> Request | None:
    """Return the request that a timer was set for, unless it has ended or its response has started."""
    request = state.requests.get(timer.id)
    if request is None or request.response_started or request.received_at != timer.received_at:
        return None
    return request


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
            ev.Fail(id, reason, attempts=state.attempt_records(request))
            if may_not_repeat
            else ev.Refuse(id, permitted_retry_after(state, ev.ZERO), reason, state.attempt_records(request))
        )
    if in_flight or request.pending_reservations:
        return
    del state.requests[id]
    for timer in request.timers:
        yield ev.CancelTimer(timer)
    if key := request.received.idempotency_key:
        state.idempotency_store.end(key, now, request.may_have_run)
        if not request.may_have_run:
            yield ev.ReleaseKey(key)
