"""Pacing of discovery calls: of a single conductor, and of many conductors together."""

import heapq
import random
from datetime import timedelta

import pytest
from conftest import MS, S, settings

from hoplane.core.pacing import MAX_BACKOFF, MAX_CALL_TIMEOUT, MAX_QUEUE_TIME, MAX_STALENESS, Pacing


def polling_pacing(conductors, seed=1, position=0):
    polled = settings(must_subscribe=True, routers=conductors, position=position)
    return Pacing(polled, random.Random(seed))


def test_few_conductors_retry_a_lost_watch_immediately_and_back_off_if_it_stays_lost():
    pacing = polling_pacing(4)
    assert pacing.next_call()[1] < timedelta(seconds=1.1)
    assert pacing.failed(timed_out=False) < timedelta(milliseconds=200), "the watch survives the gap"
    later = [pacing.failed(timed_out=False) for _ in range(20)][-5:]
    assert all(MAX_BACKOFF / 2 <= backoff <= MAX_BACKOFF for backoff in later)
    pacing.succeeded()
    assert pacing.failed(timed_out=False) < timedelta(milliseconds=200)


def test_many_conductors_wait_in_the_queue_and_retry_one_after_the_other():
    many = [polling_pacing(40, seed, position=seed) for seed in range(40)]
    assert {pacing.next_call()[1] for pacing in many} == {MAX_CALL_TIMEOUT}
    backoffs = [pacing.failed(timed_out=False) for pacing in many]
    assert backoffs == sorted(backoffs), "retries are staggered by position"
    assert backoffs[-1] - backoffs[0] > timedelta(seconds=1.5), (
        "the retries are spread over the time that the service takes for all conductors"
    )


@pytest.mark.parametrize("conductors", [1, 4, 40, 230, 1100])
def test_a_call_is_answered_within_the_staleness_limit_after_any_sequence_of_failures(conductors):
    """Calls are refused immediately, rejected after queueing, or time out, in any order.

    A change may happen in discovery right after the last successful call, or right after any later call. The
    next call that is not rejected must be answered within six seconds of the change."""
    for seed in range(100):
        rng = random.Random(seed)
        pacing = polling_pacing(conductors, seed, position=rng.randrange(conductors))
        now, zero = timedelta(), timedelta()
        for _ in range(8):
            call = now
            timed_out = rng.random() < 0.2
            now += pacing.next_call()[1] if timed_out else rng.choice([zero, MAX_QUEUE_TIME])
            since_success = now
            backoff = pacing.failed(timed_out, since_success)
            if since_success < MAX_BACKOFF:
                assert now + backoff <= MAX_BACKOFF, "the next call still starts in time"
            assert backoff + MAX_QUEUE_TIME <= MAX_STALENESS, (
                "the limit also holds after a refused or rejected call"
            )
            if timed_out:
                assert now + backoff + MAX_QUEUE_TIME <= call + MAX_STALENESS
            now += backoff


@pytest.mark.parametrize("conductors", [1, 4, 230, 1100])
def test_lost_watch_is_replaced_within_the_staleness_limit(conductors):
    for seed in range(50):
        pacing = polling_pacing(conductors, seed)
        call_timeout = pacing.next_call()[1]
        for _ in range(8):  # in a row; the last answer came as the watch was lost
            assert call_timeout + pacing.failed(timed_out=True) + MAX_QUEUE_TIME <= MAX_STALENESS
            call_timeout = pacing.next_call()[1]


@pytest.mark.parametrize("grace", [250 * MS, S, 4 * S])
@pytest.mark.parametrize("conductors", [1, 4, 230, 1100])
def test_pushed_changes_are_received_within_half_the_drain_grace(conductors, grace):
    """The agent answers immediately, but may never answer a call from before discovery recovered."""
    for seed in range(50):
        pacing = Pacing(settings(routers=conductors, drain_grace=grace), random.Random(seed))
        assert pacing.next_call()[0] + pacing.next_call()[1] < timedelta(
            seconds=MAX_STALENESS.total_seconds() / 2
        )
        pacing.failed(timed_out=True)
        for last_timed_out in (True, False) * 8:
            _, call_timeout = pacing.next_call()
            received_after = call_timeout + pacing.failed(last_timed_out)
            assert received_after <= timedelta(microseconds=grace / 2000)


def simulate_overload(seed, conductors=40, rate=5.0, max_queue=2.0, until=120.0):
    """Simulate conductors that call a discovery service of limited rate, which rejects calls that queue long.

    Returns the times of the answers and the number of calls. All start together, as after a mass restart."""
    random_starts = random.Random(seed)
    calls = [
        (random_starts.uniform(0, 0.2), n, polling_pacing(conductors, seed * 1000 + n, n))
        for n in range(conductors)
    ]
    heapq.heapify(calls)
    free_at, answer_times, call_count = 0.0, [], 0
    while calls and calls[0][0] < until:
        now, n, pacing = heapq.heappop(calls)
        call_count += 1
        wait, call_timeout = max(0.0, free_at - now), pacing.next_call()[1].total_seconds()
        timed_out = False
        if wait <= max_queue:
            free_at = max(free_at, now) + 1 / rate
            if wait + 1 / rate <= call_timeout:
                answer_times.append(now + wait + 1 / rate)
                continue
            now, timed_out = now + call_timeout, True  # gave up, and is still served for nothing
        backoff = pacing.failed(timed_out, timedelta(seconds=now))
        heapq.heappush(calls, (now + backoff.total_seconds(), n, pacing))
    return answer_times, call_count


@pytest.mark.parametrize(("rate", "all_by"), [(5.0, 11), (1.5, 31)])
def test_overloaded_discovery_answers_all_conductors_that_restart_together(rate, all_by):
    for seed in range(20):
        answer_times, call_count = simulate_overload(seed, rate=rate)
        assert len(answer_times) == 40
        assert max(answer_times) < all_by, (
            "little more than the 8 and 26.7 s that one call of each conductor takes"
        )
        assert call_count < 40 * (1 + max(answer_times) / 2), (
            "each conductor makes at most one call in two seconds"
        )
