"""The five rules, without the bench: each test fails if the rule's line in the module is taken out."""

import pytest
from conftest import FLEET, MS, READER_A, READER_B, WRITER_A, WRITER_B, Desk, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Effect, Status

PROVEN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
RISKY = (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED)


def at_writer(effect, **changes):
    desk = Desk(effect=effect, **changes)
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    return desk, desk.sent()[0]


# --- no request lost


def test_a_deadline_with_an_attempt_out_ends_the_request():
    desk = Desk(effect=Effect.UNSAFE)
    desk.ask()
    ends = [a for a in desk.run_timers(desk.now + 4 * S) if isinstance(a, api.Refuse | api.Fail)]
    assert ends == [api.Fail("r")]


def test_a_deadline_with_none_out_ends_the_request_in_time():
    desk = Desk(fleet=[entry(s.server, s.kind, s.cell, born=999 * S) for s in FLEET])  # all cold
    for server in desk.router.servers.values():
        server.credit, server.credit_updated_at = -9.0, desk.now
    start = desk.now
    desk.ask(time_left=500 * MS)
    assert desk.sent() == [] and desk.ends() == []
    desk.run_timers(start + 500 * MS - 2 * MS)
    assert desk.ends() == [api.Refuse]


def test_exactly_one_end_and_nothing_sent_after_it():
    desk = Desk()
    desk.ask()
    reader = desk.sent()[0]
    desk.run_timers(desk.now + 4 * S)
    assert len(desk.ends()) == 1
    desk.outcome(Status.CANCELLED, reader)
    assert desk.sent() == [] and desk.ends() == []
    assert desk.of(api.Release)


def test_an_outcome_that_closes_is_the_only_end(desk):
    desk.serve()
    assert desk.ends() == []
    desk.run_timers(desk.now + 10 * S)
    assert desk.ends() == []


def test_a_started_stream_has_no_deadline():
    desk, writer = at_writer(Effect.UNSAFE)
    desk.first(writer)
    desk.run_timers(desk.now + 20 * S)
    assert desk.ends() == [] and desk.of(api.Cancel) == []


def test_a_client_gone_in_the_same_batch_as_its_end(desk):
    desk.ask()
    desk.run_timers(desk.now + 4 * S)
    desk.do(api.ClientDisconnected("r"))
    assert desk.ends() == [] and desk.sent() == []


def test_a_client_gone_while_a_read_is_out_leaves_nothing_held(desk):
    desk.ask()
    reader = desk.sent()[0]
    desk.do(api.ClientDisconnected("r"))
    assert desk.ends() == []
    desk.outcome(Status.MISS, reader)
    assert desk.sent() == [] and desk.of(api.Release) == [api.Release("r")]


# --- no effect twice


@pytest.mark.parametrize("status", PROVEN)
@pytest.mark.parametrize("effect", list(Effect))
def test_what_never_ran_goes_to_another_writer(effect, status):
    desk, writer = at_writer(effect)
    desk.outcome(status, writer, attempt=1)
    assert len(desk.sent()) == 1 and desk.ends() == []


@pytest.mark.parametrize("status", RISKY)
def test_an_unsafe_request_that_may_have_run_only_fails(status):
    desk, writer = at_writer(Effect.UNSAFE)
    desk.outcome(status, writer, attempt=1)
    assert desk.sent() == [] and desk.ends() == [api.Fail]


@pytest.mark.parametrize("status", RISKY)
def test_a_safe_request_that_may_have_run_is_sent_again(status):
    desk, writer = at_writer(Effect.SAFE)
    desk.outcome(status, writer, attempt=1)
    assert len(desk.sent()) == 1


@pytest.mark.parametrize("status", RISKY)
@pytest.mark.parametrize("effect", list(Effect))
def test_a_read_never_has_an_effect(effect, status):
    desk = Desk(effect=effect)
    desk.ask()
    desk.outcome(status, desk.sent()[0])
    assert len(desk.sent()) == 1


def keyed(group, window=5 * S):
    cls = api.ClassSettings("c", S, 4 * S, Effect.KEYED, group=group, window=window)
    fleet = FLEET + (entry(23, "writer", 0), entry(24, "writer", 1))
    desk = Desk(fleet=fleet, classes=(cls,))
    desk.ask()
    desk.outcome(Status.MISS, desk.sent()[0])
    return desk, desk.sent()[0]


def test_a_keyed_request_stays_in_its_group():
    desk, writer = keyed(api.Group.CELL)
    desk.outcome(Status.ERROR, writer, attempt=1)
    cells = {WRITER_A: 0, 23: 0, WRITER_B: 1, 24: 1}
    assert [cells[s] for s in desk.sent()] == [cells[writer]]


def test_a_keyed_request_is_not_sent_after_its_window():
    desk, writer = keyed(api.Group.ALL, window=100 * MS)
    desk.outcome(Status.ERROR, writer, attempt=1, after=200 * MS)
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


def test_a_keyed_request_with_a_narrow_group_is_not_refused_once_it_may_have_run():
    desk, writer = keyed(api.Group.CELL, window=100 * MS)
    desk.outcome(Status.ERROR, writer, attempt=1, after=200 * MS)
    assert desk.ends() == [api.Fail]


def test_the_attempt_cap_holds():
    desk = Desk(max_attempts=2)
    desk.ask()
    desk.outcome(Status.RESET, desk.sent()[0])
    desk.outcome(Status.RESET, desk.sent()[0], attempt=1)
    assert desk.sent() == [] and desk.ends() == [api.Refuse]


# --- drains kept


@pytest.mark.parametrize("state", [api.State.DRAINING, api.State.GONE])
def test_nothing_is_sent_to_a_server_told_to_drain(state):
    desk = Desk()
    told = entry(READER_A, "reader", 0, state), entry(WRITER_A, "writer", 0, state)
    desk.do(api.ServerListUpdate(told, whole=False))
    for number in range(6):
        desk.ask(f"r{number}")
        assert desk.sent() == [READER_B]
        desk.outcome(Status.MISS, READER_B, f"r{number}")
        assert desk.sent() == [WRITER_B]


def test_a_server_left_out_of_a_whole_list_is_gone():
    desk = Desk()
    desk.do(api.ServerListUpdate((FLEET[1], FLEET[2]), whole=True))
    desk.ask()
    assert desk.sent() == [READER_B]


def test_a_state_at_a_draining_fleet_waits_for_no_drained_writer():
    desk = Desk()
    desk.ask()
    reader = desk.sent()[0]
    gone = tuple(entry(s, "writer", c, api.State.DRAINING) for s, c in ((WRITER_A, 0), (WRITER_B, 1)))
    desk.do(api.ServerListUpdate(gone, whole=False))
    desk.outcome(Status.MISS, reader)
    assert desk.sent() == []


# --- no cold server pushed over


@pytest.mark.parametrize("routers", [1, 2, 4])
def test_a_cold_server_gets_less_than_it_must_stand(routers):
    """The cold writer's sends stay under its budget in every span, over all routers."""
    desks = [Desk(seed=seed, routers=routers) for seed in range(routers)]
    sends = []
    for desk in desks:
        for number in range(400):
            if number == 100:
                desk.do(api.ServerListUpdate((entry(WRITER_B, "writer", 1, born=desk.now),), whole=False))
                born = desk.now
            name = f"r{number}"
            desk.ask(name, after=100 * MS)
            desk.outcome(Status.MISS, desk.sent()[0], name)
            writer = desk.sent()[0]
            if writer == WRITER_B and number >= 100 and desk.now < born + 10 * S:
                sends.append(desk.now)
            desk.first(writer, name)
            desk.outcome(Status.OK, writer, name, 1, after=10 * MS, closed=True)
    mean = routers * 10 / 1.3 / 2  # sends a second that a warm writer takes here
    allowed = 2.5 * 0.3 * mean
    worst = max((sum(at <= other < at + S for other in sends) for at in sends), default=0)
    assert sends and worst <= max(routers, allowed)


def test_a_router_without_a_past_starts_low_at_a_cold_server():
    fleet = (FLEET[0], entry(WRITER_A, "writer", 0, born=1000 * S))
    desk = Desk(fleet=fleet)
    for number in range(5):
        desk.ask(f"r{number}")
        desk.outcome(Status.MISS, READER_A, f"r{number}", after=MS)
    assert sum(len(s.in_flight) for s in desk.router.servers.values() if s.entry.server == WRITER_A) <= 1


def test_a_cold_servers_turns_come_at_its_rate_however_seldom_it_is_thought_of():
    """Each of many routers sends little: all of their turns together make up the part."""
    taken = 0
    for seed in range(40):
        desk = Desk(seed=seed, routers=40)
        born = desk.now
        desk.do(api.ServerListUpdate((entry(WRITER_B, "writer", 1, born=born),), whole=False))
        server = desk.router.servers[WRITER_B]
        for tick in range(0, 100, 7):
            desk.router.now = born + tick * 100 * MS
            desk.router.recent_sends[False].add(desk.router.now, 0.7)  # one a second
            if desk.router.slow_start_allows(server):
                server.credit = 0.0
                taken += 1
    mean = 40 * 0.5  # a second, of a warm writer
    assert 0.3 < taken / 10 / mean < 0.3 * 2.5


# --- nothing left pinned


def test_a_state_with_no_writer_to_take_it_is_released_in_time():
    desk = Desk(writers_read=False)
    desk.ask()
    for writer in (WRITER_A, WRITER_B):
        desk.router.servers[writer].ejected_until = desk.now + 700 * MS  # back before it would be late
    desk.outcome(Status.MISS, desk.sent()[0])
    assert desk.sent() == [] and desk.ends() == []
    start = desk.now
    released = []
    while desk.now < start + 500 * MS:
        released += [desk.now for a in desk.run_timers(desk.now + 10 * MS) if isinstance(a, api.Release)]
    assert released and released[0] <= start + 500 * MS


@pytest.mark.parametrize("status", [Status.FULL, *RISKY])
def test_an_end_after_a_read_releases_what_is_held(status):
    desk, writer = at_writer(Effect.UNSAFE, max_attempts=2)
    desk.outcome(status, writer, attempt=1)
    assert len(desk.ends()) == 1 and desk.of(api.Release) == [api.Release("r")]


def test_a_served_request_holds_nothing(desk):
    desk.serve()
    assert desk.router.jobs == {}


# --- a library that does not break


def test_events_that_speak_of_nothing_known_do_no_harm(desk):
    desk.serve()
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
        assert [a for a in desk.do(event) if not isinstance(a, api.SetTimer)] == []


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"kinds": (api.KindSettings("reader", api.Role.READ),)}, "kinds"),
        ({"classes": ()}, "classes"),
        ({"routers": 0}, "routers"),
        ({"cold_share": 0.0}, "cold_share"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"release_within": -1}, "release_within"),
        ({"classes": (api.ClassSettings("c", -1, 1, Effect.SAFE),)}, "aim"),
    ],
)
def test_settings_that_cannot_be_are_named(change, name):
    with pytest.raises(ValueError, match=name):
        Desk(**change)


def test_many_routers_together_neither_push_a_cold_server_over_nor_starve_it():
    fleet = tuple(entry(100 + n, "reader") for n in range(4)) + FLEET[2:]
    desks = [Desk(fleet=fleet, seed=seed) for seed in range(60)]
    start = desks[0].now
    moments = sorted((start + (number * 7919 % 1000) * 20 * MS, number) for number in range(1200))
    sends = {server: [] for server in range(100, 104)}
    for moment, number in moments:
        desk = desks[number % 60]
        if moment >= start + 8 * S and not desk.router.servers[100].entry.started_at:
            desk.now = start + 8 * S
            desk.do(api.ServerListUpdate((entry(100, "reader", born=start + 8 * S),), whole=False))
        desk.now = moment
        desk.ask(f"r{number}")
        for server in desk.sent():
            sends[server].append(moment)
            desk.outcome(Status.MISS, server, f"r{number}", after=0)
            desk.leave(f"r{number}")
    warm = sum(len(sends[server]) for server in (101, 102, 103)) / 3 / 20
    cold = [moment for moment in sends[100] if start + 8 * S <= moment < start + 18 * S]
    worst = max(sum(begin <= moment < begin + S for moment in cold) for begin in cold)
    assert worst < 0.3 * 2.5 * warm  # what it may be sent even where warm ones are at their capacity
    assert len(cold) > 0.05 * warm * 10


def test_what_a_server_read_of_beginnings_is_bounded(desk):
    reader = desk.router.servers[READER_A]
    for number in range(3000):
        desk.serve(f"r{number}", prefix=f"p{number}", prefix_len=1000)
    assert len(reader.cached_prefixes) < 200 and len(desk.router.servers[READER_B].cached_prefixes) < 200
