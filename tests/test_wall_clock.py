"""Steps of the wall clock, forward and back: ages, waits and hand-overs are spans of real time."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from hoplane.core.events import Endpoint, EndpointsUpdated
from hoplane.core.handover import Peer, decide_handover
from hoplane.decision.interface import State
from hoplane.net.handover import read_peer
from hoplane.net.start_times import StartTimes

EPOCH = timedelta(days=20_000)
STEP = st.sampled_from([timedelta(seconds=step) for step in (-3600, -5, 0, 5, 3600)])
SPAN = st.integers(0, 100_000).map(lambda ms: timedelta(milliseconds=ms))


def listed(started, whole=True):
    return EndpointsUpdated((Endpoint("w1", "a:1", "z", "decode", 0, State.LIVE, 1.0, started),), whole)


@given(STEP, STEP, SPAN, SPAN)
def test_an_endpoint_s_age_is_real_time_whatever_the_wall_clock_did(before, between, age, later):
    times, now = StartTimes(), EPOCH + timedelta(days=1)
    wall = now + before
    first = times.convert(listed(wall - age), wall, now).endpoints[0]
    assert now - first.started == age
    again = times.convert(listed(wall - age, False), wall + between + later, now + later).endpoints[0]
    assert again.started == first.started, "told again after a step"
    new = times.convert(listed(wall + between + later), wall + between + later, now + later).endpoints[0]
    assert new.started == now + later, "started anew after the step"


def test_a_start_that_lies_ahead_counts_as_now_and_what_is_gone_is_forgotten():
    times = StartTimes()
    assert times.convert(listed(EPOCH + timedelta(hours=1)), EPOCH, EPOCH).endpoints[0].started == EPOCH
    assert times.convert(listed(timedelta()), EPOCH, EPOCH).endpoints[0].started == timedelta()
    assert times.convert(replace(listed(EPOCH), endpoints=()), EPOCH, EPOCH).endpoints == ()
    assert not times.known


@given(STEP)
def test_a_hand_over_goes_by_the_machine_s_monotonic_clock(step):
    """The old process told of itself before a step of the wall clock, the new one after it."""
    told = {
        "pid": 1,
        "open": 2,
        "born": (EPOCH + step).total_seconds(),
        "monotonic_born": 100.0,
        "monotonic_told": 200.0,
    }
    peer = read_peer(told, told_wall=EPOCH + 2 * step, wall=EPOCH, monotonic=timedelta(seconds=200.1))
    assert peer == Peer(1, timedelta(seconds=100), 2, timedelta(seconds=200))
    verdict = decide_handover(2, timedelta(seconds=199), [peer], timedelta(seconds=200.1))
    assert verdict.waiting and not verdict.superseded


def test_a_process_of_a_release_that_tells_wall_times_alone_is_read_as_before():
    told = {"pid": 1, "open": 0, "born": (EPOCH - timedelta(seconds=50)).total_seconds()}
    now = timedelta(seconds=500)
    peer = read_peer(told, told_wall=EPOCH - timedelta(seconds=1), wall=EPOCH, monotonic=now)
    assert peer == Peer(1, now - timedelta(seconds=50), 0, now - timedelta(seconds=1))
