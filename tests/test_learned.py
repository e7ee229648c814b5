"""What a router learns of its deployment as no setting tells it: kept text, probes, places, shares."""

from random import Random

import pytest
from conftest import FLEET, MS, READER_A, Desk, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Status
from hoplane.decision.reservations import ReservationTracker

ONE_READER = (entry(READER_A, "reader"), *FLEET[2:])


def restarted(**changes):
    """Give a router that has just started, at a reader that reads 10,000 tokens a second."""
    desk = Desk(fleet=ONE_READER, **changes)
    desk.router.read_speed = 10_000.0
    return desk


def burst(desk, most=6):
    """Ask for texts that the router knows nothing of, all at once, and count the refusals."""
    refused = 0
    for number in range(most):
        desk.ask(f"b{number}", prompt_tokens=3000, prefix=f"t{number}", prefix_len=2000)
        refused += desk.ends() == [api.Refuse]
    return refused


def test_after_a_restart_what_others_had_read_is_not_taken_as_unread():
    desk = restarted()
    for number in range(12):  # readers keep nearly all of what this router never saw
        desk.ask(f"r{number}", prompt_tokens=3000, prefix=f"p{number}", prefix_len=2000)
        desk.outcome(Status.MISS, READER_A, f"r{number}", detail=2900)
        desk.leave(f"r{number}")
    desk.router.read_speed = 10_000.0
    assert burst(desk) == 0, "600 tokens, not 18,000"


def test_texts_that_nobody_has_read_are_learnt_to_be_unread():
    desk = restarted()
    for number in range(30):
        desk.ask(f"r{number}", prompt_tokens=3000, prefix=f"p{number}", prefix_len=2000)
        desk.outcome(Status.MISS, READER_A, f"r{number}", detail=0, after=300 * MS)
        desk.leave(f"r{number}")
    assert burst(desk) > 0


def test_where_a_refusal_tells_the_wait_the_guess_stays_at_the_worst_case():
    desk = restarted(retry_after=True, max_retry_after=S)
    for number in range(12):
        desk.ask(f"r{number}", prompt_tokens=3000, prefix=f"p{number}", prefix_len=2000)
        desk.outcome(Status.MISS, READER_A, f"r{number}", detail=2900)
        desk.leave(f"r{number}")
    desk.router.read_speed = 10_000.0
    assert burst(desk) > 0


def silent(desk, request):
    """Leave a read without a sign of life until the reader is probed."""
    desk.ask(request, session=request)
    desk.run_timers(desk.now + 350 * MS)


def unheard(desk):
    """Let the probe of the only reader time out, and tell whether its work is taken away."""
    desk.do(api.ProbeResult(READER_A, Status.TIMEOUT, 250 * MS), after=250 * MS)
    return bool(desk.of(api.Cancel))


def test_a_probe_that_times_out_counts_for_nothing_once_that_was_false():
    desk = Desk(fleet=ONE_READER, probes=True)
    silent(desk, "first")
    assert unheard(desk), "nothing tells yet that probes wait in the queue"
    desk.outcome(Status.MISS, READER_A, "first")  # it lived all along, and had read the prompt
    desk.leave("first")
    desk.run_timers(desk.now + 9 * S)
    silent(desk, "second")
    assert not unheard(desk)
    desk.do(api.ProbeResult(READER_A, Status.CONNECT_FAILED, 250 * MS), after=500 * MS)
    assert desk.of(api.Cancel), "a connection that never comes up tells all the same"


@pytest.mark.parametrize(("beside", "heeded"), [(10, False), (25, True)])
def test_probes_answered_beside_the_queue_win_the_trust_back(beside, heeded):
    desk = Desk(fleet=ONE_READER, probes=True)
    silent(desk, "first")
    unheard(desk)
    desk.outcome(Status.MISS, READER_A, "first")
    desk.leave("first")
    desk.run_timers(desk.now + 9 * S)
    silent(desk, "second")
    for _ in range(beside):
        desk.do(api.ProbeResult(READER_A, Status.OK, MS))
    assert unheard(desk) is heeded


def test_a_server_that_came_back_as_a_new_process_was_gone_indeed():
    desk = Desk(fleet=ONE_READER, probes=True)
    silent(desk, "first")
    assert unheard(desk)
    desk.do(api.ServerListUpdate((entry(READER_A, "reader", born=desk.now),), whole=False))
    desk.do(api.ProbeResult(READER_A, Status.OK, MS), after=9 * S)
    assert desk.router.probe_reliability.false_timeouts == 0


def test_a_place_is_asked_for_seldom_where_it_is_dear_and_always_where_writers_fill():
    reservations, rng = ReservationTracker(5 * S), Random(1)
    assert all(reservations.should_reserve(0, 0.003, rng) for _ in range(100))
    assert 5 < sum(reservations.should_reserve(0, 0.0073, rng) for _ in range(100)) < 30
    for _ in range(3):
        reservations.add(0, reserved=False)
    assert all(reservations.should_reserve(0, 0.0073, rng) for _ in range(100))
    assert not all(reservations.should_reserve(6 * S, 0.0073, rng) for _ in range(100)), (
        "what was asked fades"
    )


@pytest.mark.parametrize(("retry", "ends"), [(False, [api.Refuse]), (True, [])])
def test_a_tenants_marked_repeats_do_not_take_it_over_its_share(retry, ends):
    desk = restarted(tenants=(api.TenantSettings("t", 0.5, 3.0),))
    desk.serve("warm", tenant="t", prompt_tokens=100)
    desk.router.read_speed = 10_000.0
    for number in range(40):  # over 5 s, of 15 that are within the share
        desk.ask(f"r{number}", prompt_tokens=10, tenant="t", retry=retry)
        desk.leave(f"r{number}")
    desk.ask("big", prompt_tokens=6500)
    desk.ask("next", prompt_tokens=1500, tenant="t")
    assert desk.ends() == ends


def test_a_tenant_is_not_over_its_share_by_chance():
    desk = restarted(tenants=(api.TenantSettings("t", 0.5, 3.0),))
    desk.serve("warm", tenant="t", prompt_tokens=100)
    desk.router.read_speed = 10_000.0
    for number in range(17):
        desk.ask(f"r{number}", prompt_tokens=10, tenant="t")
        desk.leave(f"r{number}")
    desk.ask("big", prompt_tokens=6500)
    desk.ask("next", prompt_tokens=1500, tenant="t")
    assert desk.ends() == []


def all_back_cold(**changes):
    """Give a router whose writers all came back cold a while after it had sent them anything."""
    desk = Desk(cold=30 * S, cold_share=0.3, fall_multiple=2.5, **changes)
    desk.now += 20 * S
    desk.do(
        api.ServerListUpdate(
            FLEET[:2] + tuple(entry(w, "writer", born=desk.now) for w in (21, 22)), whole=True
        )
    )
    return desk


def test_writers_that_all_came_back_cold_get_work_by_what_clients_ask_and_not_by_what_was_sent():
    desk, written, reads = all_back_cold(reserve_ahead=True), 0, 0
    for number in range(220):  # 10 a second, the first 10 s to be known
        request = f"r{number}"
        desk.ask(request, after=100 * MS)
        if not (sent := desk.sent()):
            desk.leave(request)
            continue
        reads += number >= 120
        desk.do(api.ReservationResult(request, 0, sent[0], reserved=True))
        desk.outcome(Status.MISS, sent[0], request, after=0)
        written += number >= 120 and len(desk.sent())
        desk.leave(request)
    assert 40 <= written <= 62, "about 0.8 * 0.75 of them, and no more"
    assert reads == written, "no read for a state that no writer takes"


def test_repeats_bring_no_turns_at_cold_writers():
    desk, reads = all_back_cold(), 0
    for number in range(100):
        desk.ask(f"r{number}", after=100 * MS, retry=True)
        reads += len(desk.sent())
        desk.leave(f"r{number}")
    assert reads < 25, "as the sends themselves bring some"


def test_one_slow_read_of_old_does_not_refuse_all_that_comes_ever_after():
    """A conductor of many sees little: what its one read told is not to keep it from another."""
    desk = Desk(writers_read=False)
    desk.ask("slow")
    desk.outcome(api.Status.MISS, desk.sent()[0], "slow", after=2500 * MS)
    writer = desk.sent()[0]
    desk.ask("at once", prompt_tokens=2500)
    assert desk.ends() == [api.Refuse], "it is believed while it is fresh"
    desk.first(writer, "slow")
    desk.outcome(api.Status.OK, writer, "slow", 1, after=S, closed=True)
    refused = 0
    for n in range(12):
        desk.ask(f"q{n}", after=S, prompt_tokens=2500)
        if not desk.sent():
            refused += 1
            continue
        desk.outcome(api.Status.MISS, desk.sent()[0], f"q{n}", after=150 * MS)
        writer = desk.sent()[0]
        desk.first(writer, f"q{n}")
        desk.outcome(api.Status.OK, writer, f"q{n}", 1, after=100 * MS, closed=True)
    assert refused <= 5, "for a span, till another read tells more"


def test_a_long_prompt_s_own_time_counts_as_far_as_a_router_knows_its_readers():
    """One of many guesses it too high: others' work slowed the reads that it goes by, and left more kept."""

    def ends(routers):
        desk = Desk(FLEET[1:], writers_read=False, routers=routers, retry_after=True)
        desk.ask("first")
        desk.outcome(api.Status.MISS, desk.sent()[0], "first", after=900 * MS)
        desk.leave("first")
        desk.ask("long", prompt_tokens=6000, after=10 * MS)
        return desk.ends()

    assert ends(1) == [api.Refuse], "2.7 s at an aim of 1 s, with one router to the one reader"
    assert ends(30) == [], "of which a thirtieth is known"
