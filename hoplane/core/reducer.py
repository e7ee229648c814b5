"""The one reducer: every change of request, attempt, hold and fleet state happens here."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from zlib import crc32

from hoplane.core import events as ev
from hoplane.core import permits
from hoplane.core.border import to_ns, to_span
from hoplane.core.figures import Figures
from hoplane.core.invariants import Invariants, Violation
from hoplane.core.ledger import Ledger
from hoplane.core.permits import Denial
from hoplane.decision import interface as api
from hoplane.decision.interface import Status
from hoplane.decision.peer_messages import PeerReport, Symptom
from hoplane.decision.router import Router
from hoplane.decision.state import retune

ANSWERED = (Status.OK, Status.MISS, Status.FULL, Status.ERROR)
MAY_HAVE_RUN = (Status.OK, Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)
SETTLE = timedelta(milliseconds=15)  # a release waits so long after a cut: the close goes ahead of it
HELD = timedelta(milliseconds=500)  # how long something may be held where the settings name no limit
EARLY = timedelta(milliseconds=100)  # a release begins so long before that, for its way and a busy loop
UNKNOWN_LEAD = timedelta(milliseconds=200)  # of the 300 ms before an answer "not known"; the rest is slack
BACKSTOP = timedelta(milliseconds=5)  # after the deadline, which the module sees to by itself


@dataclass(slots=True)
class Attempt:
    """One send of a request."""

    server: int
    reads: bool
    sent: timedelta
    began: bool = False
    over: bool = False
    answered: bool = False  # its endpoint was reached, as it answered
    abandoned: Status | None = None  # how it counts once its connection is closed


@dataclass(slots=True)
class Request:
    """A request taken, until its last attempt and hold are in."""

    asked: ev.RequestReceived
    taken: timedelta
    deadline: timedelta
    cap: int | None = None  # attempts, and its class, as the settings were when it came
    cls: api.ClassSettings | None = None
    until: timedelta | None = None  # when endpoints discard its repeats no more, once it may have run
    attempts: list[Attempt] = field(default_factory=list)
    began: bool = False
    closed: bool = False  # the client has its answer, is getting it, or is gone
    owed: bool = False  # closed as we end, and still to be answered
    holds: int = 0  # calls out that ask for a place
    cut: bool = False  # an attempt or a place asked for was cut off: what it left may show a moment later
    left: timedelta | None = None  # since when what it left may be held, None while a release is out
    may_have_run: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether it may be refused though it may have run."""
        return self.cls is None or self.cls.repeatable

    def has(self, effect: api.Effect) -> bool:
        """Tell whether its class has this effect."""
        return self.cls is not None and self.cls.effect is effect


@dataclass(slots=True, frozen=True)
class Held:
    """The timer of what a request left at a time: it has to be let go of unless an answer has begun."""

    id: str
    left: timedelta


@dataclass(slots=True, frozen=True)
class Place:
    """The timer of a place that may be held for a read which may not have arrived."""

    id: str
    attempt: int
    taken: timedelta


@dataclass
class Conductor:
    """The state that `reduce` changes."""

    settings: api.Settings
    router: Router
    ledger: Ledger
    requests: dict[str, Request] = field(default_factory=dict)
    numbers: dict[str, int] = field(default_factory=dict)  # the module's server numbers, by name
    fleet: dict[int, ev.Endpoint] = field(default_factory=dict)
    figures: Figures = field(default_factory=Figures)
    invariants: Invariants = field(default_factory=Invariants)

    def takes(self, endpoint: ev.Endpoint) -> bool:
        """Tell whether an endpoint is listed as one that may have new work."""
        listed = self.fleet.get(self.numbers.get(endpoint.name))
        return listed is not None and listed.state is api.State.LIVE

    def may_send(
        self, effect: ev.Forward | ev.Reserve, now: timedelta, client_gone: bool, deadline: timedelta | None
    ) -> Denial | None:
        """Tell whether an attempt's bytes, or a place's request, may go now; see `core/permits.py`."""
        request, attempt = self.requests.get(effect.id), None
        if request is not None and effect.attempt < len(request.attempts):
            attempt = request.attempts[effect.attempt]
        forward = effect if isinstance(effect, ev.Forward) else None
        given_up = attempt is not None and attempt.abandoned is not None
        return permits.may_send(
            permits.SendFacts(
                now,
                client_gone,
                request is None or request.closed or request.began or given_up,
                self.takes(effect.endpoint),
                deadline,
                forward and forward.repeat_until,
                None if forward or attempt is None else not attempt.over,
            )
        )

    def began(self, id: str) -> bool:
        """Tell whether a request's answer has begun, with which all that was held for it is let go of."""
        request = self.requests.get(id)
        return request is not None and request.began

    def hold_time(self) -> timedelta:
        """Give how long something may be held before its release begins."""
        told = self.settings.release_within
        limit = HELD if told is None else to_span(told)
        return max(limit / 2, limit - EARLY)

    def place_time(self) -> timedelta:
        """Give how long after an answer "not known" a place is released that may be held since before."""
        told = self.settings.release_within
        return max(ev.ZERO, (HELD if told is None else to_span(told)) - UNKNOWN_LEAD)

    def number(self, name: str) -> int:
        """Give an endpoint's number: the same at every conductor, as the module's ring hashes it."""
        if name not in self.numbers:
            number, taken = crc32(name.encode()), set(self.numbers.values())
            while number in taken:
                number += 1
            self.numbers[name] = number
        return self.numbers[name]


def reduce(state: Conductor, now: timedelta, event: ev.Event) -> list[ev.Effect]:
    """Take an event in and give the effects that it calls for, in order."""
    return list(steps(state, now, event))


def steps(state: Conductor, now: timedelta, event: ev.Event) -> Iterator[ev.Effect]:
    """Take an event in and give its effects one by one, so that a fault costs none of those before it."""
    releasing = set()
    for each in HANDLERS[type(event)](state, now, event):
        # A release may be asked for more than once, at an attempt's end and at the request's: one is enough.
        if type(each) is not ev.Release or each.id not in releasing:
            yield each
        if type(each) is ev.Release:
            releasing.add(each.id)


def decide(state: Conductor, now: timedelta, event: api.Event) -> Iterator[ev.Effect]:
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


def on_asked(state: Conductor, now: timedelta, event: ev.RequestReceived) -> Iterator[ev.Effect]:
    """Take a request, unless its id is in use or may have run."""
    once = event.idempotency_key
    if event.id in state.requests or (once and state.ledger.clashes(once, now)):
        state.figures.count(event.class_name, "errored")
        yield ev.Fail(event.id, "its id is running or may have run", duplicate=True)
        return
    if once and state.ledger.full:
        state.figures.count(event.class_name, "deferred")
        yield ev.Refuse(event.id, told_pause(state, timedelta(seconds=1)), "the ledger of ids is full")
        return
    if once:
        state.ledger.start(once)
    told = state.settings
    cls = next((each for each in told.classes if each.name == event.class_name), None)
    state.requests[event.id] = Request(event, now, now + event.time_left, told.max_attempts, cls)
    yield ev.SetTimer(now + event.time_left + BACKSTOP, (event.id, None, now))
    yield from decide(
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
    yield from sweep_up(state, now, event.id)


def on_left(state: Conductor, now: timedelta, event: ev.ClientDisconnected) -> Iterator[ev.Effect]:
    """Owe nothing to a client that is gone, and end what is out for it, a stream too."""
    if request := state.requests.get(event.id):
        request.owed = False
        yield from end_request(state, now, request)


def end_request(state: Conductor, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Decide nothing more for a request, and give up what is out for it."""
    told = not request.closed
    request.closed = True
    if told:
        yield from decide(state, now, api.ClientDisconnected(request.asked.id))
    for index in range(len(request.attempts)):
        yield from abandon(request, index, Status.CANCELLED)
    yield from sweep_up(state, now, request.asked.id)


def on_began(state: Conductor, now: timedelta, event: ev.ResponseStarted) -> Iterator[ev.Effect]:
    """Bind the answer to the client: the deadline runs no more from here on."""
    request = state.requests.get(event.id)
    if request is None or request.closed:
        return
    attempt = request.attempts[event.attempt]
    attempt.began = request.began = True
    request.left = None
    yield from decide(
        state, now, api.FirstToken(event.id, event.attempt, attempt.server, to_ns(now - attempt.sent))
    )


def on_ended(state: Conductor, now: timedelta, event: ev.AttemptEnded) -> Iterator[ev.Effect]:
    """Book an attempt as over and let the module go on."""
    request = state.requests.get(event.id)
    if request is None or request.attempts[event.attempt].over:
        return
    attempt = request.attempts[event.attempt]
    status = event.status
    if status is Status.CANCELLED and attempt.abandoned is not None:
        status = attempt.abandoned
    attempt.over, attempt.answered = True, status in ANSWERED
    if event.written and status is not Status.CONNECT_FAILED:
        state.figures.sends += 1
    if attempt.began:
        state.figures.count(request.asked.class_name, "answered" if status is Status.OK else "errored")
    if attempt.began or status is Status.OK:
        request.closed = True
    if status in MAY_HAVE_RUN:
        request.cut = True
    if not attempt.reads and status in MAY_HAVE_RUN:
        if request.may_have_run and request.has(api.Effect.UNSAFE):
            state.invariants.note(Violation.RUN_TWICE)
        request.may_have_run = True
        if request.until is None and request.has(api.Effect.KEYED):
            request.until = attempt.sent + to_span(request.cls.window)
    yield from overdue(state, now, request)
    if not request.began and status is not Status.CONNECT_FAILED:
        yield from leave(state, now, request, attempt, status)
    yield from decide(
        state,
        now,
        api.Outcome(
            event.id,
            event.attempt,
            attempt.server,
            status,
            to_ns(now - attempt.sent),
            request.closed,
            event.detail,
            event.load,
        ),
    )
    yield from sweep_up(state, now, event.id)


def on_hold_answered(state: Conductor, now: timedelta, event: ev.ReservationFinished) -> Iterator[ev.Effect]:
    """Tell the module of a place while the read is out; one that may be held unknown is let go at the end."""
    request = state.requests.get(event.id)
    if request is None:
        return
    request.holds -= 1
    request.cut = request.cut or event.reserved is None
    attempt = request.attempts[event.attempt]
    if event.reserved is None and not event.unanswered and not attempt.over and not request.closed:
        # The endpoint knew of no read: ours has not arrived, or arrived behind. If it is not over by the time
        # that a place may be held, it may not have arrived at all, and what has not arrived stops no clock.
        yield ev.SetTimer(now + state.place_time(), Place(request.asked.id, event.attempt, request.taken))
    if event.reserved is not False and attempt.over and not request.began:
        yield from note_left(state, now, request)
    if event.reserved is not None and not attempt.over:
        yield from decide(
            state, now, api.ReservationResult(event.id, event.attempt, attempt.server, event.reserved)
        )
    elif request.closed and not request.began and event.reserved is not False:
        yield let_go(state, request)
    yield from sweep_up(state, now, event.id)


def on_probed(state: Conductor, now: timedelta, event: ev.ProbeFinished) -> Iterator[ev.Effect]:
    """Tell the module whether an endpoint has shown a sign of life."""
    if event.server in state.fleet:
        yield from decide(
            state, now, api.ProbeResult(event.server, event.status, to_ns(event.duration), event.load)
        )


def on_due(state: Conductor, now: timedelta, event: ev.TimerFired) -> Iterator[ev.Effect]:
    """Fire the module's timer, or one of ours: an attempt's time-out or the client's deadline."""
    if isinstance(event.timer, int):
        yield from decide(state, now, api.TimerFired(event.timer))
        return
    if isinstance(event.timer, Held):
        if (request := state.requests.get(event.timer.id)) and request.left == event.timer.left:
            yield from overdue(state, now, request)
        return
    if isinstance(event.timer, Place):
        request = state.requests.get(event.timer.id)
        waits = request is not None and request.taken == event.timer.taken and not request.closed
        if waits and not request.attempts[event.timer.attempt].over:
            yield let_go(state, request)
        return
    id, attempt, taken = event.timer
    request = state.requests.get(id)
    # Guards against a timer of an earlier request with the same id, which would end this one.
    if request is None or request.began or request.taken != taken:
        return
    if attempt is not None:
        yield from abandon(request, attempt, Status.TIMEOUT)
    elif not request.closed:
        # Guards against a module that forgets a request: its time-outs come first, so this is the last word.
        for index in range(len(request.attempts)):
            yield from abandon(request, index, Status.TIMEOUT)
        yield from fail(state, now, api.Fail(id))
    yield from sweep_up(state, now, id)


def on_listed(state: Conductor, now: timedelta, event: ev.EndpointsUpdated) -> Iterator[ev.Effect]:
    """Bring the fleet level. An endpoint of a kind that the settings do not name is left out."""
    kinds = {kind.name for kind in state.settings.kinds}
    known = {state.number(each.name): each for each in event.endpoints if each.kind in kinds}
    kept = {state.numbers.get(name) for name in event.unreadable} & set(state.fleet)
    known = {**{number: state.fleet[number] for number in kept}, **known}
    if event.complete:
        for number in set(state.fleet) - set(known):
            del state.fleet[number]
    state.fleet.update(known)
    for number, each in known.items():
        if each.state is api.State.GONE:
            del state.fleet[number]
    # Guards against a table that grows with each endpoint that ever was; a name's number is the same again.
    state.numbers = {each.name: number for number, each in state.fleet.items()}
    entries = tuple(
        api.ServerEntry(number, each.kind, each.zone, each.cell, each.state, each.weight, to_ns(each.started))
        for number, each in known.items()
    )
    states = {each.name: each.state.value for each in known.values() if each.state is not api.State.LIVE}
    yield ev.WriteLog("endpoints", {"whole": event.complete, "known": len(state.fleet), "not_live": states})
    yield from decide(state, now, api.ServerListUpdate(entries, event.complete))


def on_reloaded(state: Conductor, now: timedelta, event: ev.SettingsReloaded) -> Iterator[ev.Effect]:
    """Put a new file's settings in force for requests from now on, or count it as turned down."""
    if event.settings is None:
        state.figures.conf_invalid += 1
        return
    state.figures.conf_loaded += 1
    state.settings = replace(event.settings, kinds=state.settings.kinds)  # kinds wait for a start
    retune(state.router, state.settings)
    yield ev.WriteLog("retuned", {"classes": [each.name for each in event.settings.classes]})


def on_turned(state: Conductor, now: timedelta, event: ev.RequestRejectedAtFront) -> Iterator[ev.Effect]:
    """Count what a front answered by itself."""
    state.figures.count(event.class_name, "deferred" if event.refused else "errored")
    yield from ()


def on_judged(state: Conductor, now: timedelta, event: ev.EndpointReportedFailing) -> Iterator[ev.Effect]:
    """Let the module avoid an endpoint, as it does on a peer's word."""
    number = state.numbers.get(event.endpoint)
    if number in state.fleet:
        yield from decide(state, now, api.PeerMessage(0, PeerReport(Symptom.DOWN, number).pack()))


def on_closing(state: Conductor, now: timedelta, event: ev.RequestInterrupted) -> Iterator[ev.Effect]:
    """End a request: a stream that has begun is broken off, for its client to go on elsewhere.

    Guards against requests that SIGKILL would leave without an answer: it comes with what is out."""
    if request := state.requests.get(event.id):
        request.owed = request.owed or not (request.closed or request.began)
        yield from end_request(state, now, request)


HANDLERS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    ev.RequestReceived: on_asked,
    ev.ClientDisconnected: on_left,
    ev.ResponseStarted: on_began,
    ev.AttemptEnded: on_ended,
    ev.ReservationFinished: on_hold_answered,
    ev.ProbeFinished: on_probed,
    ev.TimerFired: on_due,
    ev.EndpointsUpdated: on_listed,
    ev.RequestRejectedAtFront: on_turned,
    ev.SettingsReloaded: on_reloaded,
    ev.EndpointReportedFailing: on_judged,
    ev.RequestInterrupted: on_closing,
}


# --- actions


def send(state: Conductor, now: timedelta, action: api.Send):
    """Open an attempt; gives the outcome at once where it cannot be opened."""
    request, endpoint = state.requests.get(action.request_id), state.fleet.get(action.server)
    if request is None:
        return []
    index, cap = len(request.attempts), request.cap
    role = next((k.role for k in state.settings.kinds if endpoint and k.name == endpoint.kind), None)
    request.attempts.append(Attempt(action.server, role is api.Role.READ, now))
    denial = permits.may_repeat(
        permits.RepeatFacts(
            role is api.Role.READ or request.repeatable or not request.has(api.Effect.UNSAFE),
            request.may_have_run,
            index,
            cap or None,
        )
    )
    if denial is not None or request.closed or request.began or now >= request.deadline:
        status = Status.MOOT
    elif endpoint is None:
        status = Status.CONNECT_FAILED
    else:
        patience = request.deadline - now
        if action.timeout and (own := to_span(action.timeout)) < patience:
            patience = own
            yield ev.SetTimer(now + own, (action.request_id, index, request.taken))
        reads = role is api.Role.READ
        yield ev.Forward(
            action.request_id,
            index,
            endpoint,
            patience,
            reads,
            not reads and request.has(api.Effect.UNSAFE),
            None if reads else request.until,
        )
        return []
    request.attempts[index].over = True
    return [api.Outcome(action.request_id, index, action.server, status, 0, request.closed)]


def hold(state: Conductor, now: timedelta, action: api.Reserve) -> Iterator[ev.Effect]:
    """Ask for a place during the read that is out."""
    request, endpoint = state.requests.get(action.request_id), state.fleet.get(action.server)
    if request is None or endpoint is None or not request.attempts or request.attempts[-1].over:
        return
    request.holds += 1
    yield ev.Reserve(action.request_id, len(request.attempts) - 1, endpoint)


def probe(state: Conductor, now: timedelta, action: api.Probe) -> Iterator[ev.Effect]:
    """Ask an endpoint that is still listed for a sign of life."""
    if endpoint := state.fleet.get(action.server):
        yield ev.Probe(action.server, endpoint)


def release(state: Conductor, now: timedelta, action: api.Release) -> Iterator[ev.Effect]:
    """Let go of what is held. A stream that has begun has let go of all by itself."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.began:
        yield let_go(state, request)


def cancel(state: Conductor, now: timedelta, action: api.Cancel) -> Iterator[ev.Effect]:
    """Give an attempt up, unless its stream has begun."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.attempts[action.attempt].began:
        yield from abandon(request, action.attempt, Status.CANCELLED)


def refuse(state: Conductor, now: timedelta, action: api.Refuse) -> Iterator[ev.Effect]:
    """Give the final answer: refused."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.figures.count(request.asked.class_name, "deferred")
        yield ev.Refuse(
            action.request_id, told_pause(state, to_span(action.retry_after)), "given up by the module"
        )


def fail(state: Conductor, now: timedelta, action: api.Fail) -> Iterator[ev.Effect]:
    """Give the final answer: failed."""
    request = state.requests.get(action.request_id)
    if request is not None and not request.closed:
        request.closed = True
        state.figures.count(request.asked.class_name, "errored")
        yield ev.Fail(action.request_id, "it may have run and may not run again, or its time is over")


ACTIONS: dict[type, Callable[..., Iterable[ev.Effect]]] = {
    api.Reserve: hold,
    api.Probe: probe,
    api.Release: release,
    api.Cancel: cancel,
    api.Refuse: refuse,
    api.Fail: fail,
    api.SetTimer: lambda state, now, action: [ev.SetTimer(to_span(action.at), action.timer)],
    api.Log: lambda state, now, action: [ev.WriteLog("module", {"text": action.text})],
}


# --- helpers


def told_pause(state: Conductor, pause: timedelta) -> timedelta | None:
    """Give the pause that a refusal may tell its client, None where the settings allow none."""
    return pause if state.settings.retry_after else None


def abandon(request: Request, index: int, status: Status) -> Iterator[ev.Effect]:
    """Close an attempt's connection; it counts as given up with this status."""
    attempt = request.attempts[index]
    if not attempt.over and attempt.abandoned is None:
        attempt.abandoned = status
        yield ev.AbandonAttempt(request.asked.id, index)


def leave(
    state: Conductor, now: timedelta, request: Request, attempt: Attempt, status: Status
) -> Iterator[ev.Effect]:
    """See to what an attempt that ended may have left. What a cut read left is of no use to anybody."""
    if attempt.reads and status in MAY_HAVE_RUN:
        request.left = now
        yield let_go(state, request)
    elif attempt.answered or request.left is None:
        # Guards against a writer that never saw the request, as it was cut off: the older time goes on.
        yield from note_left(state, now, request)


def note_left(state: Conductor, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Note that something may be held from now on."""
    request.left = now
    yield ev.SetTimer(now + state.hold_time(), Held(request.asked.id, now))


def overdue(state: Conductor, now: timedelta, request: Request) -> Iterator[ev.Effect]:
    """Let go of what has been held for as long as may be, though an attempt at a writer may be out.

    Guards against writers that are cut off: no attempt reaches one, each looks as if it were out, and what
    was read stays held meanwhile. What an attempt does wait for is not let go of by it, by the protocol; a
    read waits for no place, so while one is out nothing is overdue."""
    reading = any(attempt.reads and not attempt.over for attempt in request.attempts)
    if request.left is not None and now >= request.left + state.hold_time() and not reading:
        yield let_go(state, request)


def let_go(state: Conductor, request: Request) -> ev.Release:
    """Ask for a release, first at the endpoints that had part in the request and answered, then the last one.

    Guards against asking one after the other of those that could not be reached, while the time runs."""
    left, request.left = request.left, None
    last = [attempt.server for attempt in request.attempts[-1:] if attempt.abandoned]
    answered = [attempt.server for attempt in reversed(request.attempts) if attempt.answered]
    endpoints = tuple(state.fleet[n] for n in dict.fromkeys([*answered, *last]) if n in state.fleet)
    cut_off = any(each.reads and each.abandoned and not each.answered for each in request.attempts)
    return ev.Release(request.asked.id, endpoints, SETTLE if request.cut else ev.ZERO, left, cut_off)


def sweep_up(state: Conductor, now: timedelta, id: str) -> Iterator[ev.Effect]:
    """Forget a request whose answer is given and that has nothing out any more.

    What is owed is given first. Guards against a refusal with anything out where repeats do harm, a read too:
    only its end tells that it never ran."""
    request = state.requests.get(id)
    if request is None or not request.closed:
        return
    out = any(not attempt.over for attempt in request.attempts)
    if request.owed and (request.repeatable or not out):
        request.owed = False
        risky = not request.repeatable and request.may_have_run
        state.figures.count(request.asked.class_name, "errored" if risky else "deferred")
        why = "the conductor ends"
        yield ev.Fail(id, why) if risky else ev.Refuse(id, told_pause(state, ev.ZERO), why)
    if out or request.holds:
        return
    del state.requests[id]
    if request.asked.idempotency_key:
        state.ledger.end(request.asked.idempotency_key, now, request.may_have_run)
