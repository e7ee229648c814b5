"""What may be sent, repeated, started and closed, and a request's life under random interleavings."""

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_core import Core

from hoplane.core import events as ev
from hoplane.core import permits
from hoplane.core.invariants import LATE, Invariants, Violation
from hoplane.core.permits import Denial, Phase, RepeatFacts, SendFacts
from hoplane.decision.interface import State, Status

ZERO, SECOND = timedelta(), timedelta(seconds=1)
GOOD = SendFacts(ZERO, client_gone=False, ended=False, listed=True, deadline=SECOND, repeat_until=SECOND)


@pytest.mark.parametrize(
    "change, denial",
    [
        ({}, None),
        ({"client_gone": True}, Denial.CLIENT_GONE),
        ({"ended": True}, Denial.ENDED),
        ({"listed": False}, Denial.NOT_LISTED),
        ({"deadline": ZERO}, Denial.DEADLINE_PASSED),
        ({"repeat_until": ZERO}, Denial.REPEAT_WINDOW_PASSED),
        ({"reads_out": False}, Denial.READ_ENDED),
        ({"reads_out": True, "deadline": None, "repeat_until": None}, None),
    ],
)
def test_a_send_needs_a_client_a_time_a_window_and_an_endpoint(change, denial):
    assert permits.may_send(replace(GOOD, **change)) is denial


def test_a_repeat_a_start_and_a_close_need_their_own():
    assert permits.may_repeat(RepeatFacts(False, True, 1, 4)) is Denial.NOT_REPEATABLE
    assert permits.may_repeat(RepeatFacts(True, True, 4, 4)) is Denial.ATTEMPTS_USED
    assert permits.may_repeat(RepeatFacts(True, True, 3, 4)) is None
    assert [permits.may_start(phase) for phase in Phase] == [None, None, None, Denial.STOPPING]
    rests = {"request_open": False, "bytes_wait": False, "age": 1.0, "served": True, "fresh": 0.3}
    assert permits.may_close(**rests) is None
    assert permits.may_close(**{**rests, "bytes_wait": True}) is Denial.REQUEST_WAITS
    assert permits.may_close(**{**rests, "request_open": True}) is Denial.REQUEST_WAITS
    assert permits.may_close(**{**rests, "served": False, "age": 0.0}) is Denial.TOO_YOUNG


def test_the_checks_count_an_answer_that_is_late_missing_or_the_second():
    checks = Invariants()
    checks.taken("a", SECOND)
    assert checks.answered("a", SECOND + LATE) is None
    assert checks.answered("a", SECOND) is Violation.ANSWERED_TWICE
    checks.taken("b", SECOND)
    assert checks.answered("b", SECOND + 2 * LATE) is Violation.ANSWERED_LATE
    checks.taken("c", SECOND)
    checks.began("c")
    assert checks.answered("c", 100 * SECOND) is None
    checks.taken("d", SECOND)
    checks.left("d")
    assert checks.closed("d") is None
    checks.taken("e", SECOND)
    assert checks.closed("e") is Violation.ENDED_UNANSWERED and checks.total == 3


ENDS = st.sampled_from([each for each in Status if each is not Status.MOOT])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["end", "hold", "begin", "left", "due", "drain", "close"]),
        st.integers(0, 3),
        ENDS,
        st.integers(0, 900),
    ),
    max_size=25,
)


class Life:
    """One request at the reducer, whose effects are followed as the runtime would perform them."""

    def __init__(self, effect):
        name = "once" if effect == "once" else "safe"
        self.core, self.open, self.holds, self.answers, self.gone = Core(), set(), [], 0, False
        self.writes = 0
        self.follow(self.core.ask(cls=name))

    def follow(self, effects):
        for each in effects:
            if isinstance(each, ev.Forward):
                assert not self.answers and not self.gone, "nothing goes for what has ended"
                allowed = self.core.state.may_send(each, self.core.now, False, None)
                assert allowed is None, "what is decided on may go in that moment"
                self.open.add(each.attempt)
                self.writes += not each.is_read
            elif isinstance(each, ev.Reserve):
                self.holds.append(each.attempt)
            elif isinstance(each, ev.Refuse | ev.Fail):
                self.answers += 1
            elif isinstance(each, ev.SetTimer) and isinstance(each.timer, tuple) and each.timer[1] is None:
                self.deadline = each

    def step(self, kind, which, status, wait):
        after = timedelta(milliseconds=wait)
        request = self.core.state.requests.get("q")
        if kind == "end" and which in self.open:
            self.open.discard(which)
            attempt = request and request.attempts[which]
            if status is Status.OK and not (attempt and attempt.began):
                status = Status.ERROR  # the runtime tells of an answer's begin before its end
            elif status is Status.MISS and not (attempt and attempt.reads):
                status = Status.FULL
            self.follow(self.core.do(ev.AttemptEnded("q", which, status), after))
        elif kind == "hold" and self.holds:
            self.follow(
                self.core.do(ev.ReservationFinished("q", self.holds.pop(), (True, False, None)[which % 3]))
            )
        elif kind == "begin" and which in self.open and request and not request.attempts[which].reads:
            begun = request.began or request.closed
            self.follow(self.core.do(ev.ResponseStarted("q", which), after))
            self.answers += not begun
        elif kind == "left" and not self.answers:
            self.gone = True
            self.follow(self.core.do(ev.ClientDisconnected("q"), after))
        elif kind == "drain":
            listed = list(self.core.state.fleet.values())[which % 3 :][:1]
            drained = tuple(replace(each, state=State.DRAINING) for each in listed)
            self.follow(self.core.do(ev.EndpointsUpdated(drained, False), after))
        elif kind == "close":
            self.follow(self.core.do(ev.RequestInterrupted("q"), after))


@given(st.sampled_from(["safe", "once"]), STEPS)
def test_any_interleaving_ends_a_request_with_one_answer_and_nothing_kept(effect, steps):
    """Its attempts end, its client leaves, its endpoints drain and its time is over, in any order."""
    life = Life(effect)
    for step in steps:
        life.step(*step)
    life.follow(life.core.do(ev.TimerFired(life.deadline.timer), 5 * SECOND))
    for _ in range(20):
        for attempt in sorted(life.open):
            life.open.discard(attempt)
            life.follow(life.core.do(ev.AttemptEnded("q", attempt, Status.CANCELLED)))
        while life.holds:
            life.follow(life.core.do(ev.ReservationFinished("q", life.holds.pop(), None)))
    assert life.answers + life.gone == 1
    assert not life.core.state.requests and life.core.state.invariants.total == 0
