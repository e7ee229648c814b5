"""What a router learns about its deployment: cached tokens, probes, reservations and tenants' shares."""

from random import Random

import pytest
from conftest import FLEET, MS, READER_A, Harness, S, entry

from hoplane.decision import interface as api
from hoplane.decision.interface import Status
from hoplane.decision.reservations import ReservationTracker

ONE_READER = (entry(READER_A, "reader"), *FLEET[2:])


def restarted_router(**changes):
    """Return a router that has just started, with a reader that reads 10,000 tokens per second."""
    harness = Harness(fleet=ONE_READER, **changes)
    harness.router.read_speed = 10_000.0
    return harness


def count_refusals(harness, most=6):
    """Submit requests with unknown prefixes at the same time and count the refusals."""
    refused = 0
    for number in range(most):
        harness.submit(f"b{number}", prompt_tokens=3000, prefix=f"t{number}", prefix_tokens=2000)
        refused += harness.final_answers() == [api.Refuse]
    return refused


def test_after_a_restart_tokens_read_by_others_do_not_count_as_unread():
    harness = restarted_router()
    for number in range(12):  # readers have cached nearly all, though this router never sent it
        harness.submit(f"r{number}", prompt_tokens=3000, prefix=f"p{number}", prefix_tokens=2000)
        harness.outcome(Status.MISS, READER_A, f"r{number}", detail=2900)
        harness.disconnect(f"r{number}")
    harness.router.read_speed = 10_000.0
    assert count_refusals(harness) == 0, "600 tokens are estimated as unread, not 18,000"


def test_prefixes_that_nobody_has_read_count_as_unread():
    harness = restarted_router()
    for number in range(30):
        harness.submit(f"r{number}", prompt_tokens=3000, prefix=f"p{number}", prefix_tokens=2000)
        harness.outcome(Status.MISS, READER_A, f"r{number}", detail=0, after=300 * MS)
        harness.disconnect(f"r{number}")
    assert count_refusals(harness) > 0


def test_with_retry_after_the_estimate_stays_pessimistic():
    harness = restarted_router(retry_after=True, max_retry_after=S)
    for number in range(12):
        harness.submit(f"r{number}", prompt_tokens=3000, prefix=f"p{number}", prefix_tokens=2000)
        harness.outcome(Status.MISS, READER_A, f"r{number}", detail=2900)
        harness.disconnect(f"r{number}")
    harness.router.read_speed = 10_000.0
    assert count_refusals(harness) > 0


def silent_reader(harness, request):
    """Submit a request whose reader stays silent until it is probed."""
    harness.submit(request, session=request)
    harness.run_timers(harness.now + 350 * MS)


def probe_times_out(harness):
    """Let the probe of the only reader time out; return whether its work is cancelled."""
    harness.send_event(api.ProbeResult(READER_A, Status.TIMEOUT, 250 * MS), after=250 * MS)
    return bool(harness.actions_of(api.Cancel))


def test_probe_timeout_is_ignored_after_a_false_one():
    harness = Harness(fleet=ONE_READER, probes=True)
    silent_reader(harness, "first")
    assert probe_times_out(harness), "nothing has shown yet that probes wait in the queue"
    harness.outcome(Status.MISS, READER_A, "first")  # it was alive and had read the prompt
    harness.disconnect("first")
    harness.run_timers(harness.now + 9 * S)
    silent_reader(harness, "second")
    assert not probe_times_out(harness)
    harness.send_event(api.ProbeResult(READER_A, Status.CONNECT_FAILED, 250 * MS), after=500 * MS)
    assert harness.actions_of(api.Cancel), "a failed connection still counts"


@pytest.mark.parametrize(("answers", "counts"), [(10, False), (25, True)])
def test_answers_ahead_of_the_queue_make_probe_timeouts_count_again(answers, counts):
    harness = Harness(fleet=ONE_READER, probes=True)
    silent_reader(harness, "first")
    probe_times_out(harness)
    harness.outcome(Status.MISS, READER_A, "first")
    harness.disconnect("first")
    harness.run_timers(harness.now + 9 * S)
    silent_reader(harness, "second")
    for _ in range(answers):
        harness.send_event(api.ProbeResult(READER_A, Status.OK, MS))
    assert probe_times_out(harness) is counts


def test_timeout_of_a_server_that_restarted_was_not_false():
    harness = Harness(fleet=ONE_READER, probes=True)
    silent_reader(harness, "first")
    assert probe_times_out(harness)
    harness.send_event(
        api.ServerListUpdate((entry(READER_A, "reader", started_at=harness.now),), whole=False)
    )
    harness.send_event(api.ProbeResult(READER_A, Status.OK, MS), after=9 * S)
    assert harness.router.probe_reliability.false_timeouts == 0


def test_expensive_reservations_are_sampled_until_writers_fill_up():
    reservations, rng = ReservationTracker(5 * S), Random(1)
    assert all(reservations.should_reserve(0, 0.003, rng) for _ in range(100))
    assert 5 < sum(reservations.should_reserve(0, 0.0073, rng) for _ in range(100)) < 30
    for _ in range(3):
        reservations.add(0, reserved=False)
    assert all(reservations.should_reserve(0, 0.0073, rng) for _ in range(100))
    assert not all(reservations.should_reserve(6 * S, 0.0073, rng) for _ in range(100)), (
        "past reservations decay"
    )


@pytest.mark.parametrize(("retry", "final_answers"), [(False, [api.Refuse]), (True, [])])
def test_retries_do_not_count_against_a_tenants_quota(retry, final_answers):
    harness = restarted_router(tenants=(api.TenantSettings("t", 0.5, 3.0),))
    harness.serve("warm", tenant="t", prompt_tokens=100)
    harness.router.read_speed = 10_000.0
    for number in range(40):  # in 5 s; 15 are within the quota
        harness.submit(f"r{number}", prompt_tokens=10, tenant="t", retry=retry)
        harness.disconnect(f"r{number}")
    harness.submit("big", prompt_tokens=6500)
    harness.submit("next", prompt_tokens=1500, tenant="t")
    assert harness.final_answers() == final_answers


def test_random_variation_does_not_put_a_tenant_over_its_quota():
    harness = restarted_router(tenants=(api.TenantSettings("t", 0.5, 3.0),))
    harness.serve("warm", tenant="t", prompt_tokens=100)
    harness.router.read_speed = 10_000.0
    for number in range(17):
        harness.submit(f"r{number}", prompt_tokens=10, tenant="t")
        harness.disconnect(f"r{number}")
    harness.submit("big", prompt_tokens=6500)
    harness.submit("next", prompt_tokens=1500, tenant="t")
    assert harness.final_answers() == []


def all_writers_restarted(**changes):
    """Return a router whose writers all restarted, some time after its last send to them."""
    harness = Harness(cold=30 * S, cold_share=0.3, fall_multiple=2.5, **changes)
    harness.now += 20 * S
    harness.send_event(
        api.ServerListUpdate(
            FLEET[:2] + tuple(entry(w, "writer", started_at=harness.now) for w in (21, 22)), whole=True
        )
    )
    return harness


def test_restarted_writers_get_work_in_proportion_to_arrivals():
    harness, written, reads = all_writers_restarted(reserve_ahead=True), 0, 0
    for number in range(220):  # 10 per second; the first 10 s establish the rate
        request = f"r{number}"
        harness.submit(request, after=100 * MS)
        if not (sent := harness.sent()):
            harness.disconnect(request)
            continue
        reads += number >= 120
        harness.send_event(api.ReservationResult(request, 0, sent[0], reserved=True))
        harness.outcome(Status.MISS, sent[0], request, after=0)
        written += number >= 120 and len(harness.sent())
        harness.disconnect(request)
    assert 40 <= written <= 62, "the writers get about 0.8 * 0.75 of the 100 requests"
    assert reads == written, "no request is read without a writer for its read state"


def test_retries_add_no_slow_start_credit():
    harness, reads = all_writers_restarted(), 0
    for number in range(100):
        harness.submit(f"r{number}", after=100 * MS, retry=True)
        reads += len(harness.sent())
        harness.disconnect(f"r{number}")
    assert reads < 25, "only the sends themselves add some credit"


def test_one_slow_read_does_not_cause_refusals_permanently():
    """One of many conductors observes few reads, so one slow read must not keep it from sending another."""
    harness = Harness(writers_read=False)
    harness.submit("slow")
    harness.outcome(api.Status.MISS, harness.sent()[0], "slow", after=2500 * MS)
    writer = harness.sent()[0]
    harness.submit("at once", prompt_tokens=2500)
    assert harness.final_answers() == [api.Refuse], "the recent delay counts"
    harness.first_token(writer, "slow")
    harness.outcome(api.Status.OK, writer, "slow", 1, after=S, closed=True)
    refused = 0
    for n in range(12):
        harness.submit(f"q{n}", after=S, prompt_tokens=2500)
        if not harness.sent():
            refused += 1
            continue
        harness.outcome(api.Status.MISS, harness.sent()[0], f"q{n}", after=150 * MS)
        writer = harness.sent()[0]
        harness.first_token(writer, f"q{n}")
        harness.outcome(api.Status.OK, writer, f"q{n}", 1, after=100 * MS, closed=True)
    assert refused <= 5, "requests are refused only until the delay expires and another read is observed"


def test_read_time_of_a_long_prompt_is_weighted_by_the_observed_share():
    """One of many routers overestimates the read time of a long prompt.

    The reads that it observed were delayed by other routers' work, which also increased the number of
    cached tokens."""

    def final_answers(routers):
        harness = Harness(FLEET[1:], writers_read=False, routers=routers, retry_after=True)
        harness.submit("first")
        harness.outcome(api.Status.MISS, harness.sent()[0], "first", after=900 * MS)
        harness.disconnect("first")
        harness.submit("long", prompt_tokens=6000, after=10 * MS)
        return harness.final_answers()

    assert final_answers(1) == [api.Refuse], (
        "the estimate of 2.7 s exceeds the target time of 1 s, with one router for the one reader"
    )
    assert final_answers(30) == [], "one thirtieth of the estimate counts, with 30 routers"
