"""The reducer alone: no sockets, no clock but the one that the tests pass in."""

from dataclasses import replace
from datetime import timedelta
from typing import get_args

import pytest

from hoplane.core import events as ev
from hoplane.core.border import to_ns, to_span
from hoplane.core.ledger import Ledger
from hoplane.core.reducer import Conductor, Held, reduce
from hoplane.decision import interface as api
from hoplane.decision.interface import State, Status
from hoplane.decision.router import Router

MS, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)
SETTINGS = api.Settings(
    kinds=(api.KindSettings("reader", api.Role.READ), api.KindSettings("writer", api.Role.WRITE)),
    classes=(
        api.ClassSettings("safe", 10**9, 4 * 10**9, api.Effect.SAFE),
        api.ClassSettings("once", 10**9, 4 * 10**9, api.Effect.UNSAFE),
    ),
    cancel=True,
    reserve_ahead=True,
    retry_after=True,
    max_retry_after=10**9,
    release_within=500_000_000,
    tick=2_000_000,
)


def endpoint(name, kind, state=State.LIVE):
    return ev.Endpoint(name, f"{name}:1", "z", kind, 0, state)


class Core:
    def __init__(self, **changes):
        told = replace(SETTINGS, **changes)
        self.state = Conductor(told, Router(told, 1), Ledger(9, 10 * 60 * SECOND))
        self.now = 1000 * SECOND
        fleet = endpoint("r", "reader"), endpoint("w", "writer"), endpoint("w2", "writer")
        self.do(ev.EndpointsUpdated(fleet, True))

    def do(self, event, after=timedelta()):
        self.now += after
        self.effects = reduce(self.state, self.now, event)
        return self.effects

    def of(self, kind):
        return [each for each in self.effects if isinstance(each, kind)]

    def ask(self, id="q", cls="safe", after=timedelta(), **more):
        return self.do(ev.RequestReceived(id, cls, 2000, 100, 4 * SECOND, session="s", **more), after)

    def deadline(self):
        """Give the core's own timer of the request just asked; the module's are numbers."""
        (wake,) = (each for each in self.of(ev.SetTimer) if not isinstance(each.timer, int))
        return wake

    def read(self, id="q", holds=1):
        """Play the read to its end; the writer's attempt is out then."""
        for _ in range(holds):
            self.do(ev.ReservationFinished(id, 0, None))
        self.do(ev.AttemptEnded(id, 0, Status.MISS), 10 * MS)
        (forward,) = self.of(ev.Forward)
        return forward


@pytest.fixture
def core():
    return Core()


LOG_NAMES = {
    ev.RequestReceived: "Asked",
    ev.ClientDisconnected: "Left",
    ev.ResponseStarted: "Began",
    ev.AttemptEnded: "Ended",
    ev.ReservationFinished: "HoldAnswered",
    ev.ProbeFinished: "Probed",
    ev.TimerFired: "Due",
    ev.EndpointsUpdated: "Listed",
    ev.RequestRejectedAtFront: "Turned",
    ev.SettingsReloaded: "Reloaded",
    ev.EndpointReportedFailing: "Judged",
    ev.RequestInterrupted: "Closing",
    ev.Forward: "Forward",
    ev.AbandonAttempt: "Abandon",
    ev.Reserve: "AskHold",
    ev.Probe: "Probe",
    ev.Release: "LetGo",
    ev.Refuse: "Refuse",
    ev.Fail: "Fail",
    ev.SetTimer: "Wake",
    ev.WriteLog: "Say",
}


def test_each_event_and_effect_keeps_its_name_in_the_log():
    """The log line `violation` names the class in its field `of`, which operators' tools match."""
    named = {each: each.log_name for each in (*get_args(ev.Event), *get_args(ev.Effect))}
    assert named == LOG_NAMES


def test_a_request_goes_to_a_reader_with_a_hold_and_then_to_the_writer(core):
    core.ask()
    (forward,), (hold,) = core.of(ev.Forward), core.of(ev.Reserve)
    assert forward.endpoint.name == "r" and forward.is_read and forward.time_left == 4 * SECOND
    core.do(ev.ReservationFinished("q", 0, True), MS)
    assert core.read(holds=0).endpoint.name == hold.endpoint.name
    core.do(ev.ResponseStarted("q", 1), MS)
    core.do(ev.AttemptEnded("q", 1, Status.OK), SECOND)
    assert not core.of(ev.Release), "a stream that began has let go of all else"
    assert not core.state.requests


def test_a_hold_not_known_tells_the_module_nothing_and_is_released(core):
    """The endpoint knows of no read: ours has not arrived, and a place that it may hold has to go in time."""
    core.ask()
    (wake,) = core.do(ev.ReservationFinished("q", 0, None), MS)
    assert wake.at == core.now + 300 * MS, "it may be held since 300 ms before"
    (release,) = core.do(ev.TimerFired(wake.timer), 300 * MS)
    assert type(release) is ev.Release and release.id == "q"
    core.ask("o")
    (wake,) = core.do(ev.ReservationFinished("o", 0, None), MS)
    core.do(ev.AttemptEnded("o", 0, Status.MISS), MS)
    assert core.do(ev.TimerFired(wake.timer), 300 * MS) == [], "its read has arrived and is over"
    core.ask("p")
    core.do(ev.ReservationFinished("p", 0, False), MS)
    assert core.of(ev.Reserve), "the next writer is asked after a plain no"


def test_a_client_that_leaves_during_the_read_has_it_closed_and_then_released(core):
    core.ask()
    core.do(ev.ReservationFinished("q", 0, True))
    core.do(ev.ClientDisconnected("q"), MS)
    assert core.of(ev.AbandonAttempt) == [ev.AbandonAttempt("q", 0)] and not core.of(ev.Release)
    core.do(ev.AttemptEnded("q", 0, Status.CANCELLED), MS)
    (let_go,) = core.of(ev.Release)
    assert let_go.delay > timedelta(), "what a cut read leaves may show up a moment later"
    assert not core.state.requests


def test_a_place_held_after_the_end_is_let_go(core):
    core.ask()
    core.do(ev.ClientDisconnected("q"))
    core.do(ev.AttemptEnded("q", 0, Status.CANCELLED))
    core.do(ev.ReservationFinished("q", 0, None), 300 * MS)
    assert core.of(ev.Release) and not core.state.requests


def test_what_was_read_is_let_go_of_in_time_while_attempts_at_writers_do_not_come_up():
    """Guards against a zone that is cut off: each writer there takes the time that a connection may."""
    core = Core(reserve_ahead=False)
    core.ask()
    write, since = core.read(holds=0), core.now
    (held,) = [each for each in core.of(ev.SetTimer) if isinstance(each.timer, Held)]
    assert held.at <= since + 450 * MS
    core.do(ev.AttemptEnded("q", write.attempt, Status.CONNECT_FAILED), 250 * MS)
    assert core.of(ev.Forward) and not core.of(ev.Release), "the other writer is tried"
    core.do(ev.TimerFired(held.timer), held.at - core.now)
    (let_go,) = core.of(ev.Release)
    assert [each.name for each in let_go.endpoints] == ["r"], "who answered, not who was not reached"
    assert not core.do(ev.TimerFired(held.timer), MS), "once"


def test_what_an_answer_has_begun_with_is_not_let_go_of(core):
    core.ask()
    core.do(ev.ReservationFinished("q", 0, True))
    core.read(holds=0)
    (held,) = [each for each in core.of(ev.SetTimer) if isinstance(each.timer, Held)]
    core.do(ev.ResponseStarted("q", 1), MS)
    assert not core.do(ev.TimerFired(held.timer), SECOND)


@pytest.mark.parametrize("status", [Status.RESET, Status.ERROR])
def test_what_a_cut_read_may_have_left_is_let_go_of_at_once_though_another_follows(core, status):
    core.ask()
    core.do(ev.ReservationFinished("q", 0, False))
    core.do(ev.AttemptEnded("q", 0, status), MS)
    assert core.of(ev.Release) and core.of(ev.Forward)


@pytest.mark.parametrize("status", [Status.RESET, Status.FULL])
def test_a_repeat_of_what_may_have_run_has_to_begin_while_endpoints_discard_it(status):
    """Its connection may come up late, or the loop be behind: the module looks at the moment of choice."""
    cls = api.ClassSettings("keyed", 10**9, 4 * 10**9, api.Effect.KEYED, window=300_000_000)
    core = Core(classes=(cls,))
    core.ask(cls="keyed")
    first = core.read()
    sent = core.now
    core.do(ev.AttemptEnded("q", 1, status), 20 * MS)
    (again,) = core.of(ev.Forward)
    if again.is_read:  # what was read went with it
        for hold in core.of(ev.Reserve):
            core.do(ev.ReservationFinished("q", hold.attempt, None))
        core.do(ev.AttemptEnded("q", 2, Status.MISS), 10 * MS)
        (again,) = core.of(ev.Forward)
    assert first.repeat_until is None and not again.is_read
    assert again.repeat_until == (sent + 300 * MS if status is Status.RESET else None)


def test_a_stream_ends_with_its_client(core):
    core.ask()
    core.read()
    core.do(ev.ResponseStarted("q", 1))
    core.do(ev.ClientDisconnected("q"), MS)
    assert core.of(ev.AbandonAttempt) == [ev.AbandonAttempt("q", 1)]


def test_the_deadline_runs_no_more_once_the_answer_began(core):
    core.ask()
    deadline = core.deadline()
    core.read()
    core.do(ev.ResponseStarted("q", 1))
    assert core.do(ev.TimerFired(deadline.timer), 9 * SECOND) == []


@pytest.mark.parametrize(("cls", "answer"), [("safe", ev.Refuse), ("once", ev.Fail)])
def test_a_deadline_that_passes_at_the_writer_ends_the_request_once(core, cls, answer):
    core.ask(cls=cls)
    deadline = core.deadline()
    core.read()
    core.do(ev.TimerFired(deadline.timer), 4 * SECOND)
    first = core.of(ev.AbandonAttempt)
    assert first == [ev.AbandonAttempt("q", 1)] and len(core.of(ev.Fail)) == 1
    core.do(ev.AttemptEnded("q", 1, Status.CANCELLED), MS)
    assert not core.of(answer) and not core.state.requests


def test_a_timer_of_an_earlier_request_with_the_same_id_does_nothing(core):
    core.ask()
    timers = [each.timer for each in core.of(ev.SetTimer)]
    core.do(ev.ReservationFinished("q", 0, None))
    core.do(ev.ClientDisconnected("q"))
    core.do(ev.AttemptEnded("q", 0, Status.CANCELLED))
    core.ask(after=SECOND)
    core.now += 3 * SECOND
    for timer in timers:
        assert not [each for each in core.do(ev.TimerFired(timer)) if not isinstance(each, ev.SetTimer)]
    core.do(ev.ReservationFinished("q", 0, None))
    assert core.read(holds=0).id == "q", "the module still knows the request"


def test_ids_that_may_have_run_clash_and_those_that_never_ran_do_not(core):
    core.ask("a", "once", idempotency_key="id")
    core.ask("b", "once", idempotency_key="id")
    assert core.of(ev.Fail)[0].duplicate and not core.of(ev.Forward), "it is running"
    core.do(ev.ClientDisconnected("a"))
    core.do(ev.ReservationFinished("a", 0, None))
    core.do(ev.AttemptEnded("a", 0, Status.CANCELLED))
    core.ask("c", "once", idempotency_key="id")
    assert core.of(ev.Forward), "a read has no effect: it never ran"
    core.read("c")
    core.do(ev.ClientDisconnected("c"))
    core.do(ev.AttemptEnded("c", 1, Status.CANCELLED))
    core.ask("d", "once", idempotency_key="id")
    assert core.of(ev.Fail)[0].duplicate, "a cancelled write may have run"
    core.now += timedelta(minutes=11)
    core.ask("e", "once", idempotency_key="id")
    assert core.of(ev.Forward)


def test_the_ledger_is_bounded_and_refuses_rather_than_forgets():
    ledger = Ledger(2, SECOND)
    ledger.start("a")
    ledger.start("b")
    assert ledger.full
    ledger.end("a", timedelta(), True)
    assert ledger.full and ledger.clashes("a", SECOND)
    assert not ledger.clashes("a", 3 * SECOND) and not ledger.full


def test_a_whole_list_removes_and_changes_add(core):
    core.do(ev.EndpointsUpdated((endpoint("w2", "writer", State.GONE), endpoint("w3", "writer")), False))
    assert sorted(e.name for e in core.state.fleet.values()) == ["r", "w", "w3"]
    core.do(ev.EndpointsUpdated((endpoint("r", "reader"), endpoint("odd", "unheard")), True))
    assert [e.name for e in core.state.fleet.values()] == ["r"]


def test_two_names_never_share_a_number(core, monkeypatch):
    monkeypatch.setattr("hoplane.core.reducer.crc32", lambda data: 7)
    assert {core.state.number(name) for name in ("a", "b", "c")} == {7, 8, 9}


def test_spans_cross_the_border_and_timers_never_fire_early():
    assert to_ns(to_span(1_500_000)) == 1_500_000 and to_span(1) == timedelta(microseconds=1)


def test_endpoints_that_are_gone_leave_nothing_behind():
    core = Core()
    for number in range(50):
        core.do(ev.EndpointsUpdated((endpoint(f"new{number}", "writer"),), False))
        core.do(ev.EndpointsUpdated((endpoint(f"new{number}", "writer", State.GONE),), False))
    core.do(ev.EndpointsUpdated((), False))
    assert len(core.state.numbers) == len(core.state.fleet) == len(core.state.router.servers) == 3
    before = core.state.number("r")
    core.do(ev.EndpointsUpdated((endpoint("r", "reader", State.GONE),), False))
    core.do(ev.EndpointsUpdated((endpoint("r", "reader"),), False))
    assert core.state.number("r") == before


def test_a_silent_endpoint_is_probed_and_the_answer_told_to_the_module(core, monkeypatch):
    told = []
    monkeypatch.setitem(core.state.router.handlers, api.ProbeResult, lambda event: told.append(event))
    monkeypatch.setitem(
        core.state.router.handlers,
        api.TimerFired,
        lambda event: core.state.router.actions.append(api.Probe(core.state.number("w"))),
    )
    (probe,) = core.do(ev.TimerFired(1))
    assert probe == ev.Probe(core.state.number("w"), endpoint("w", "writer"))
    core.do(ev.ProbeFinished(probe.server, Status.TIMEOUT, 300 * MS))
    assert told == [api.ProbeResult(probe.server, Status.TIMEOUT, 300_000_000)]
    core.do(ev.EndpointsUpdated((endpoint("w", "writer", State.GONE),), False))
    core.do(ev.ProbeFinished(probe.server, Status.OK, MS))
    assert len(told) == 1 and core.do(ev.TimerFired(1)) == [], "an endpoint that is gone is asked no more"
