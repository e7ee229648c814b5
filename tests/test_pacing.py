"""How often discovery is asked: one conductor's calls, and those of many together."""

import heapq
import random
from datetime import timedelta

import pytest
from conftest import MS, S, settings

from hoplane.core.pacing import CLOCK, PATIENCE_MOST, PAUSE_MOST, QUEUED, Pacing


def asking(conductors, seed=1, position=0):
    told = settings(must_subscribe=True, routers=conductors, position=position)
    return Pacing(told, random.Random(seed))


def test_a_lost_watch_is_asked_anew_at_once_where_few_ask_and_ever_more_seldom_if_it_stays_lost():
    pacing = asking(4)
    assert pacing.call()[1] < timedelta(seconds=1.1)
    assert pacing.failed(silent=False) < timedelta(milliseconds=200), "the watch still goes on"
    later = [pacing.failed(silent=False) for _ in range(20)][-5:]
    assert all(PAUSE_MOST / 2 <= pause <= PAUSE_MOST for pause in later)
    pacing.answered()
    assert pacing.failed(silent=False) < timedelta(milliseconds=200)


def test_one_of_many_waits_for_its_turn_and_comes_back_at_a_moment_of_its_own():
    many = [asking(40, seed, position=seed) for seed in range(40)]
    assert {pacing.call()[1] for pacing in many} == {PATIENCE_MOST}
    pauses = [pacing.failed(silent=False) for pacing in many]
    assert pauses == sorted(pauses), "one by one, by their numbers"
    assert pauses[-1] - pauses[0] > timedelta(seconds=1.5), "as many turns as there are conductors"


@pytest.mark.parametrize("conductors", [1, 4, 40, 230, 1100])
def test_whatever_becomes_of_calls_one_is_answered_before_what_there_is_counts_as_told(conductors):
    """Calls are refused at once, turned away after their time in the queue, or silent, in any order.

    Discovery may have something to tell from just after the last good call, or from just after any later one
    on: then the next call that is not turned away has to be answered within six seconds of that."""
    for seed in range(100):
        rng = random.Random(seed)
        pacing = asking(conductors, seed, position=rng.randrange(conductors))
        now, zero = timedelta(), timedelta()
        for _ in range(8):
            call = now
            silent = rng.random() < 0.2
            now += pacing.call()[1] if silent else rng.choice([zero, QUEUED])
            unheard = now
            pause = pacing.failed(silent, unheard)
            if unheard < PAUSE_MOST:
                assert now + pause <= PAUSE_MOST, "the next call still begins in time"
            assert pause + QUEUED <= CLOCK, "and it does after each that was refused or turned away"
            if silent:
                assert now + pause + QUEUED <= call + CLOCK
            now += pause


@pytest.mark.parametrize("conductors", [1, 4, 230, 1100])
def test_a_watch_that_fell_silent_is_heard_again_before_what_it_missed_counts_as_told(conductors):
    for seed in range(50):
        pacing = asking(conductors, seed)
        silent = pacing.call()[1]
        for _ in range(8):  # in a row: the last answer came as the last watch fell silent
            assert silent + pacing.failed(silent=True) + QUEUED <= CLOCK
            silent = pacing.call()[1]


@pytest.mark.parametrize("grace", [250 * MS, S, 4 * S])
@pytest.mark.parametrize("conductors", [1, 4, 230, 1100])
def test_what_an_agent_gets_is_met_in_half_the_grace_however_many_and_however_long_it_was_silent(
    conductors, grace
):
    """The agent answers at once, but may be silent to a call that came before discovery's return."""
    for seed in range(50):
        pacing = Pacing(settings(routers=conductors, drain_grace=grace), random.Random(seed))
        assert pacing.call()[0] + pacing.call()[1] < timedelta(seconds=CLOCK.total_seconds() / 2)
        pacing.failed(silent=True)
        for silent in (True, False) * 8:
            _, cut_off = pacing.call()
            met = cut_off + pacing.failed(silent)
            assert met <= timedelta(microseconds=grace / 2000)


def overbooked(seed, conductors=40, a_second=5.0, queue=2.0, until=120.0):
    """Let conductors ask a discovery that answers so many calls a second and turns away what would wait long.

    Give when each had its answer, and how many calls there were. All begin together, as after a release."""
    random_starts = random.Random(seed)
    calls = [
        (random_starts.uniform(0, 0.2), n, asking(conductors, seed * 1000 + n, n)) for n in range(conductors)
    ]
    heapq.heapify(calls)
    free, told, asked = 0.0, [], 0
    while calls and calls[0][0] < until:
        now, n, pacing = heapq.heappop(calls)
        asked += 1
        wait, patience = max(0.0, free - now), pacing.call()[1].total_seconds()
        silent = False
        if wait <= queue:
            free = max(free, now) + 1 / a_second
            if wait + 1 / a_second <= patience:
                told.append(now + wait + 1 / a_second)
                continue
            now, silent = now + patience, True  # gave up, yet is served in vain
        pause = pacing.failed(silent, timedelta(seconds=now))
        heapq.heappush(calls, (now + pause.total_seconds(), n, pacing))
    return told, asked


@pytest.mark.parametrize(("a_second", "all_by"), [(5.0, 11), (1.5, 31)])
def test_an_overbooked_discovery_tells_all_that_come_back_at_once(a_second, all_by):
    for seed in range(20):
        told, asked = overbooked(seed, a_second=a_second)
        assert len(told) == 40
        assert max(told) < all_by, "hardly more than if none asked twice: 8 and 26.7 s"
        assert asked < 40 * (1 + max(told) / 2), "no conductor asks more than once in two seconds"
