"""Checks of what may be sent, repeated, accepted and closed, and requests under random interleavings."""

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_reducer import ReducerHarness

from hoplane.core import events as ev
from hoplane.core import permits
from hoplane.core.invariants import MAX_LATENESS, RECALL_TOLERANCE, Invariants, Violation
from hoplane.core.permits import Denial, Phase, RepeatConditions, SendConditions
from hoplane.core.timers import DeadlineTimer
from hoplane.decision.interface import State, Status

ZERO, SECOND = timedelta(), timedelta(seconds=1)
GOOD = SendConditions(
    ZERO, client_disconnected=False, ended=False, listed=True, deadline=SECOND, repeat_until=SECOND
)


@pytest.mark.parametrize(
    "change, denial",
    [
        ({}, None),
        ({"client_disconnected": True}, Denial.CLIENT_DISCONNECTED),
        ({"ended": True}, Denial.REQUEST_ENDED),
        ({"listed": False}, Denial.NOT_LISTED),
        ({"deadline": ZERO}, Denial.DEADLINE_PASSED),
        ({"repeat_until": ZERO}, Denial.REPEAT_WINDOW_PASSED),
        ({"read_in_flight": False}, Denial.READ_ENDED),
        ({"read_in_flight": True, "deadline": None, "repeat_until": None}, None),
    ],
)
def test_send_conditions(change, denial):
    assert permits.may_send(replace(GOOD, **change)) is denial


def test_repeat_accept_and_close_conditions():
    assert permits.may_repeat(RepeatConditions(False, True, 1, 4)) is Denial.NOT_REPEATABLE
    assert permits.may_repeat(RepeatConditions(True, True, 4, 4)) is Denial.ATTEMPTS_USED
    assert permits.may_repeat(RepeatConditions(True, True, 3, 4)) is None
    assert [permits.may_accept(phase) for phase in Phase] == [None, None, None, Denial.STOPPING]
    closable = {
        "request_in_progress": False,
        "unread_bytes": False,
        "age": 1.0,
        "served": True,
        "initial_grace": 0.3,
    }
    assert permits.may_close(**closable) is None
    assert permits.may_close(**{**closable, "unread_bytes": True}) is Denial.REQUEST_PENDING
    assert permits.may_close(**{**closable, "request_in_progress": True}) is Denial.REQUEST_PENDING
    assert permits.may_close(**{**closable, "served": False, "age": 0.0}) is Denial.CONNECTION_NEW


def test_only_a_request_that_waits_gets_a_response():
    """Not after its final answer, from an attempt that was given up, or beside another response."""
    waiting = {"ended": False, "abandoned": False, "response_started": False}
    assert permits.may_respond(**waiting) is None
    for condition in waiting:
        assert permits.may_respond(**{**waiting, condition: True}) is Denial.RESPONSE_TOO_LATE


@pytest.mark.parametrize(
    "timeout_at, repeat_until, due",
    [(None, None, 5), (3, None, 3), (None, 2, 2), (3, 2, 2), (1, 2, 1), (7, 6, 5)],
)
def test_response_is_due_at_the_first_limit(timeout_at, repeat_until, due):
    limits = {"deadline": 5, "timeout_at": timeout_at, "repeat_until": repeat_until}
    in_seconds = {name: None if value is None else timedelta(seconds=value) for name, value in limits.items()}
    assert permits.response_due(**in_seconds) == timedelta(seconds=due)


def test_unanswered_repeat_that_outlives_its_window_is_a_violation():
    invariants = Invariants()
    assert invariants.attempt_ended_unanswered(None, SECOND) is None
    assert invariants.attempt_ended_unanswered(ZERO, RECALL_TOLERANCE) is None
    violation = invariants.attempt_ended_unanswered(ZERO, RECALL_TOLERANCE + timedelta.resolution)
    assert violation is Violation.REPEAT_OUTLIVED_WINDOW and invariants.total == 1


def test_invariants_count_late_missing_and_duplicate_answers():
    invariants = Invariants()
    invariants.request_received("a", SECOND)
    assert invariants.final_answer_given("a", SECOND + MAX_LATENESS) is None
    assert invariants.final_answer_given("a", SECOND) is Violation.ANSWERED_TWICE
    invariants.request_received("b", SECOND)
    assert invariants.final_answer_given("b", SECOND + 2 * MAX_LATENESS) is Violation.ANSWERED_LATE
    invariants.request_received("c", SECOND)
    assert invariants.response_started("c") is None
    assert invariants.final_answer_given("c", 100 * SECOND) is None
    assert invariants.response_started("c") is Violation.ANSWERED_TWICE
    invariants.request_received("d", SECOND)
    invariants.client_disconnected("d")
    assert invariants.handler_ended("d") is None
    invariants.request_received("e", SECOND)
    assert invariants.handler_ended("e") is Violation.ENDED_UNANSWERED and invariants.total == 4


ENDS = st.sampled_from([status for status in Status if status is not Status.MOOT])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["end", "hold", "begin", "left", "due", "drain", "close"]),
        st.integers(0, 3),
        ENDS,
        st.integers(0, 900),
    ),
    max_size=25,
)


class RequestLife:
    """One request at the reducer, whose effects are performed like in the runtime."""

    def __init__(self, effect):
        name = "once" if effect == "once" else "safe"
        self.harness, self.open_attempts, self.reservations, self.answers, self.client_disconnected = (
            ReducerHarness(),
            set(),
            [],
            0,
            False,
        )
        self.writes = 0
        self.perform(self.harness.submit(cls=name))

    def perform(self, effects):
        for effect in effects:
            if isinstance(effect, ev.Forward):
                assert not self.answers and not self.client_disconnected, (
                    "nothing is sent for a request that has ended"
                )
                allowed = self.harness.state.send_denial(effect, self.harness.now, False, None)
                assert allowed is None, "an attempt may be sent at the moment of the decision"
                self.open_attempts.add(effect.attempt)
                self.writes += not effect.is_read
            elif isinstance(effect, ev.Reserve):
                self.reservations.append(effect.attempt)
            elif isinstance(effect, ev.Refuse | ev.Fail):
                self.answers += 1
            elif isinstance(effect, ev.SetTimer) and isinstance(effect.timer, DeadlineTimer):
                self.deadline = effect

    def step(self, kind, which, status, wait):
        after = timedelta(milliseconds=wait)
        request = self.harness.state.requests.get("q")
        if kind == "end" and which in self.open_attempts:
            self.open_attempts.discard(which)
            attempt = request and request.attempts[which]
            if status is Status.OK and not (attempt and attempt.response_started):
                status = Status.ERROR  # the runtime reports the start of a response before its end
            elif status is Status.MISS and not (attempt and attempt.is_read):
                status = Status.FULL
            self.perform(self.harness.apply(ev.AttemptEnded("q", which, status), after))
        elif kind == "hold" and self.reservations:
            self.perform(
                self.harness.apply(
                    ev.ReservationFinished("q", self.reservations.pop(), (True, False, None)[which % 3])
                )
            )
        elif (
            kind == "begin"
            and which in self.open_attempts
            and request
            and not request.attempts[which].is_read
        ):
            had_response = request.response_started or request.closed
            self.perform(self.harness.apply(ev.ResponseStarted("q", which), after))
            self.answers += not had_response
        elif kind == "left" and not self.answers:
            self.client_disconnected = True
            self.perform(self.harness.apply(ev.ClientDisconnected("q"), after))
        elif kind == "drain":
            listed = list(self.harness.state.fleet.values())[which % 3 :][:1]
            drained = tuple(replace(endpoint, state=State.DRAINING) for endpoint in listed)
            self.perform(self.harness.apply(ev.EndpointsUpdated(drained, False), after))
        elif kind == "close":
            self.perform(self.harness.apply(ev.RequestInterrupted("q"), after))


@given(st.sampled_from(["safe", "once"]), STEPS)
def test_any_interleaving_ends_with_one_answer_and_no_state_left(effect, steps):
    """Attempts end, the client disconnects, endpoints drain and the deadline passes, in any order."""
    life = RequestLife(effect)
    for step in steps:
        life.step(*step)
    life.perform(life.harness.apply(ev.TimerFired(life.deadline.timer), 5 * SECOND))
    for _ in range(20):
        for attempt in sorted(life.open_attempts):
            life.open_attempts.discard(attempt)
            life.perform(life.harness.apply(ev.AttemptEnded("q", attempt, Status.CANCELLED)))
        while life.reservations:
            life.perform(life.harness.apply(ev.ReservationFinished("q", life.reservations.pop(), None)))
    assert life.answers + life.client_disconnected == 1
    assert not life.harness.state.requests and life.harness.state.invariants.total == 0
