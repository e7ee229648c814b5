"""Tests the rules that must hold under all faults, on a router alone.

No request is lost, no effect happens twice, drains are respected, cold servers are not overloaded, and no
read state stays held. Each test fails if the line that implements its rule is removed.
"""

import pytest
from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, Harness, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Idempotency, Status

DID_NOT_RUN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
MAY_HAVE_RUN = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


def sent_to_writer(effect, **changes):
    harness = Harness(effect=effect, **changes)
    harness.submit()
    harness.outcome(Status.MISS, harness.sent()[0])
    return harness, harness.sent()[0]


# --- every request gets one final answer


def test_deadline_with_an_attempt_in_flight_ends_the_request():
    harness = Harness(effect=Idempotency.UNSAFE)
    harness.submit()
    answers = [a for a in harness.run_timers(harness.now + 4 * S) if isinstance(a, api.Refuse | api.Fail)]
    assert answers == [api.Fail("r")]


def test_deadline_with_no_attempt_in_flight_ends_the_request_in_time():
    harness = Harness(fleet=[entry(s.server, s.kind, s.cell, started_at=999 * S) for s in FLEET])  # all cold
    for server in harness.router.servers.values():
        server.credit, server.credit_updated_at = -9.0, harness.now
    start = harness.now
    harness.submit(time_left=500 * MS)
    assert harness.sent() == [] and harness.final_answers() == []
    harness.run_timers(start + 500 * MS - 2 * MS)
    assert harness.final_answers() == [api.Refuse]


def test_exactly_one_final_answer_and_no_send_after_it():
    harness = Harness()
    harness.submit()
    reader = harness.sent()[0]
    harness.run_timers(harness.now + 4 * S)
    assert len(harness.final_answers()) == 1
    harness.outcome(Status.CANCELLED, reader)
    assert harness.sent() == [] and harness.final_answers() == []
    assert harness.actions_of(api.Release)


def test_completed_response_is_the_only_final_answer(harness):
    harness.serve()
    assert harness.final_answers() == []
    harness.run_timers(harness.now + 10 * S)
    assert harness.final_answers() == []


def test_started_stream_has_no_deadline():
    harness, writer = sent_to_writer(Idempotency.UNSAFE)
    harness.first_token(writer)
    harness.run_timers(harness.now + 20 * S)
    assert harness.final_answers() == [] and harness.actions_of(api.Cancel) == []


def test_client_disconnects_in_the_same_batch_as_its_final_answer(harness):
    harness.submit()
    harness.run_timers(harness.now + 4 * S)
    harness.send_event(api.ClientDisconnected("r"))
    assert harness.final_answers() == [] and harness.sent() == []


def test_client_disconnect_during_a_read_releases_the_state(harness):
    harness.submit()
    reader = harness.sent()[0]
    harness.send_event(api.ClientDisconnected("r"))
    assert harness.final_answers() == []
    harness.outcome(Status.MISS, reader)
    assert harness.sent() == [] and harness.actions_of(api.Release) == [api.Release("r")]


# --- no effect happens twice


@pytest.mark.parametrize("status", DID_NOT_RUN)
@pytest.mark.parametrize("effect", list(Idempotency))
def test_request_that_did_not_run_is_retried_at_another_writer(effect, status):
    harness, writer = sent_to_writer(effect)
    harness.outcome(status, writer, attempt=1)
    assert len(harness.sent()) == 1 and harness.final_answers() == []


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_unsafe_request_that_may_have_run_fails(status):
    harness, writer = sent_to_writer(Idempotency.UNSAFE)
    harness.outcome(status, writer, attempt=1)
    assert harness.sent() == [] and harness.final_answers() == [api.Fail]


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
def test_safe_request_that_may_have_run_is_retried(status):
    harness, writer = sent_to_writer(Idempotency.SAFE)
    harness.outcome(status, writer, attempt=1)
    assert len(harness.sent()) == 1


@pytest.mark.parametrize("status", MAY_HAVE_RUN)
@pytest.mark.parametrize("effect", list(Idempotency))
def test_read_is_always_retried(effect, status):
    harness = Harness(effect=effect)
    harness.submit()
    harness.outcome(status, harness.sent()[0])
    assert len(harness.sent()) == 1


def keyed_request(group, window=5 * S):
    cls = api.ClassSettings("c", S, 4 * S, Idempotency.KEYED, group=group, window=window)
    fleet = FLEET + (entry(23, "writer", 0), entry(24, "writer", 1))
    harness = Harness(fleet=fleet, classes=(cls,))
    harness.submit()
    harness.outcome(Status.MISS, harness.sent()[0])
    return harness, harness.sent()[0]


def test_keyed_request_is_retried_in_its_group():
    harness, writer = keyed_request(api.Group.CELL)
    harness.outcome(Status.ERROR, writer, attempt=1)
    cells = {WRITER_A: 0, 23: 0, WRITER_B: 1, 24: 1}
    assert [cells[s] for s in harness.sent()] == [cells[writer]]


def test_keyed_request_is_not_retried_after_its_window():
    harness, writer = keyed_request(api.Group.ALL, window=100 * MS)
    harness.outcome(Status.ERROR, writer, attempt=1, after=200 * MS)
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


def test_keyed_request_with_a_narrow_group_fails_once_it_may_have_run():
    harness, writer = keyed_request(api.Group.CELL, window=100 * MS)
    harness.outcome(Status.ERROR, writer, attempt=1, after=200 * MS)
    assert harness.final_answers() == [api.Fail]


def test_attempt_limit_is_respected():
    harness = Harness(max_attempts=2)
    harness.submit()
    harness.outcome(Status.RESET, harness.sent()[0])
    harness.outcome(Status.RESET, harness.sent()[0], attempt=1)
    assert harness.sent() == [] and harness.final_answers() == [api.Refuse]


# --- drains are respected


@pytest.mark.parametrize("state", [api.State.DRAINING, api.State.GONE])
def test_nothing_is_sent_to_a_draining_server(state):
    harness = Harness()
    entries = entry(READER_A, "reader", 0, state), entry(WRITER_A, "writer", 0, state)
    harness.send_event(api.ServerListUpdate(entries, whole=False))
    for number in range(6):
        harness.submit(f"r{number}")
        assert harness.sent() == [READER_B]
        harness.outcome(Status.MISS, READER_B, f"r{number}")
        assert harness.sent() == [WRITER_B]


def test_server_missing_from_a_complete_list_is_removed():
    harness = Harness()
    harness.send_event(api.ServerListUpdate((FLEET[1], FLEET[2]), whole=True))
    harness.submit()
    assert harness.sent() == [READER_B]


def test_read_state_is_not_sent_to_a_draining_writer():
    harness = Harness()
    harness.submit()
    reader = harness.sent()[0]
    draining = tuple(entry(s, "writer", c, api.State.DRAINING) for s, c in ((WRITER_A, 0), (WRITER_B, 1)))
    harness.send_event(api.ServerListUpdate(draining, whole=False))
    harness.outcome(Status.MISS, reader)
    assert harness.sent() == []


# --- cold servers are not overloaded


@pytest.mark.parametrize("routers", [1, 2, 4])
def test_cold_server_stays_within_its_budget(routers):
    """The sends of all routers to a cold writer stay within its budget in every window."""
    harnesses = [Harness(seed=seed, routers=routers) for seed in range(routers)]
    sends = []
    for harness in harnesses:
        for number in range(400):
            if number == 100:
                harness.send_event(
                    api.ServerListUpdate((entry(WRITER_B, "writer", 1, started_at=harness.now),), whole=False)
                )
                started_at = harness.now
            name = f"r{number}"
            harness.submit(name, after=100 * MS)
            harness.outcome(Status.MISS, harness.sent()[0], name)
            writer = harness.sent()[0]
            if writer == WRITER_B and number >= 100 and harness.now < started_at + 10 * S:
                sends.append(harness.now)
            harness.first_token(writer, name)
            harness.outcome(Status.OK, writer, name, 1, after=10 * MS, closed=True)
    mean = routers * 10 / 1.3 / 2  # sends per second to a warm writer
    allowed = 2.5 * 0.3 * mean
    worst = max((sum(at <= other < at + S for other in sends) for at in sends), default=0)
    assert sends and worst <= max(routers, allowed)


def test_new_router_sends_little_to_a_cold_server():
    fleet = (FLEET[0], entry(WRITER_A, "writer", 0, started_at=1000 * S))
    harness = Harness(fleet=fleet)
    for number in range(5):
        harness.submit(f"r{number}")
        harness.outcome(Status.MISS, READER_A, f"r{number}", after=MS)
    assert sum(len(s.in_flight) for s in harness.router.servers.values() if s.entry.server == WRITER_A) <= 1


def test_slow_start_credit_accrues_at_its_rate_between_rare_checks():
    """Each of many routers sends little; together they use the whole share."""
    allowed_sends = 0
    for seed in range(40):
        harness = Harness(seed=seed, routers=40)
        started_at = harness.now
        harness.send_event(
            api.ServerListUpdate((entry(WRITER_B, "writer", 1, started_at=started_at),), whole=False)
        )
        server = harness.router.servers[WRITER_B]
        for tick in range(0, 100, 7):
            harness.router.now = started_at + tick * 100 * MS
            harness.router.recent_sends[False].add(harness.router.now, 0.7)  # one per second
            if harness.router.slow_start_allows(server):
                server.credit = 0.0
                allowed_sends += 1
    mean = 40 * 0.5  # sends per second to a warm writer
    assert 0.3 < allowed_sends / 10 / mean < 0.3 * 2.5


# --- read states are released


def test_read_state_without_an_available_writer_is_released_in_time():
    harness = Harness(writers_read=False)
    harness.submit()
    for writer in (WRITER_A, WRITER_B):
        harness.router.servers[writer].ejected_until = (
            harness.now + 700 * MS
        )  # it returns before the request is late
    harness.outcome(Status.MISS, harness.sent()[0])
    assert harness.sent() == [] and harness.final_answers() == []
    start = harness.now
    released = []
    while harness.now < start + 500 * MS:
        released += [
            harness.now for a in harness.run_timers(harness.now + 10 * MS) if isinstance(a, api.Release)
        ]
    assert released and released[0] <= start + 500 * MS


@pytest.mark.parametrize("status", [Status.FULL, *MAY_HAVE_RUN])
def test_final_answer_after_a_read_releases_the_state(status):
    harness, writer = sent_to_writer(Idempotency.UNSAFE, max_attempts=2)
    harness.outcome(status, writer, attempt=1)
    assert len(harness.final_answers()) == 1 and harness.actions_of(api.Release) == [api.Release("r")]


def test_served_request_leaves_no_job(harness):
    harness.serve()
    assert harness.router.jobs == {}


# --- invalid input


def test_events_for_unknown_objects_are_ignored(harness):
    harness.serve()
    for event in (
        api.Outcome("r", 1, WRITER_A, Status.OK, 5, closed=True),
        api.Outcome("x", 0, 999, Status.ERROR, 5),
        api.FirstToken("r", 0, READER_A, 5),
        api.ClientDisconnected("x"),
        api.TimerFired(10**9),
        api.ReservationResult("r", 0, WRITER_A, True),
        api.ProbeResult(WRITER_A, Status.OK, 5),
        api.PeerMessage(3, b"x"),
        api.Request("y", "no such class", 1, 1, S),
        api.ServerListUpdate((entry(77, "no such kind"),), whole=False),
        api.ServerListUpdate(None, whole=False),
    ):
        assert [a for a in harness.send_event(event) if not isinstance(a, api.SetTimer)] == []


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"kinds": (api.KindSettings("reader", api.Role.READ),)}, "kinds"),
        ({"classes": ()}, "classes"),
        ({"routers": 0}, "routers"),
        ({"cold_share": 0.0}, "cold_share"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"release_within": -1}, "release_within"),
        ({"classes": (api.ClassSettings("c", -1, 1, Idempotency.SAFE),)}, "aim"),
    ],
)
def test_invalid_settings_are_named_in_the_error(change, name):
    with pytest.raises(ValueError, match=name):
        Harness(**change)


def test_many_routers_neither_overload_nor_starve_a_cold_server():
    fleet = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]
    harnesses = [Harness(fleet=fleet, seed=seed) for seed in range(60)]
    start = harnesses[0].now
    moments = sorted((start + (number * 7919 % 1000) * 20 * MS, number) for number in range(1200))
    sends = {server: [] for server in range(100, 104)}
    for moment, number in moments:
        harness = harnesses[number % 60]
        if moment >= start + 8 * S and not harness.router.servers[100].entry.started_at:
            harness.now = start + 8 * S
            harness.send_event(
                api.ServerListUpdate((entry(100, "reader", started_at=start + 8 * S),), whole=False)
            )
        harness.now = moment
        harness.submit(f"r{number}")
        for server in harness.sent():
            sends[server].append(moment)
            harness.outcome(Status.MISS, server, f"r{number}", after=0)
            harness.disconnect(f"r{number}")
    warm = sum(len(sends[server]) for server in (101, 102, 103)) / 3 / 20
    cold = [moment for moment in sends[100] if start + 8 * S <= moment < start + 18 * S]
    worst = max(sum(begin <= moment < begin + S for moment in cold) for begin in cold)
    assert worst < 0.3 * 2.5 * warm  # its budget even if warm servers are at capacity
    assert len(cold) > 0.05 * warm * 10


def test_table_of_cached_prefixes_is_bounded(harness):
    reader = harness.router.servers[READER_A]
    for number in range(3000):
        harness.serve(f"r{number}", prefix=f"p{number}", prefix_tokens=1000)
    assert len(reader.cached_prefixes) < 200 and len(harness.router.servers[READER_B].cached_prefixes) < 200
