"""Steps of the wall clock do not affect ages, delays and handovers."""

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
CLOCK_STEPS = st.sampled_from([timedelta(seconds=step) for step in (-3600, -5, 0, 5, 3600)])
DURATIONS = st.integers(0, 100_000).map(lambda ms: timedelta(milliseconds=ms))


def make_update(started, complete=True):
    return EndpointsUpdated((Endpoint("w1", "a:1", "z", "decode", 0, State.LIVE, 1.0, started),), complete)


@given(CLOCK_STEPS, CLOCK_STEPS, DURATIONS, DURATIONS)
def test_an_endpoint_s_age_is_independent_of_wall_clock_steps(initial_step, later_step, age, elapsed):
    times, now = StartTimes(), EPOCH + timedelta(days=1)
    wall = now + initial_step
    first = times.convert(make_update(wall - age), wall, now).endpoints[0]
    assert now - first.started == age
    repeated = times.convert(
        make_update(wall - age, False), wall + later_step + elapsed, now + elapsed
    ).endpoints[0]
    assert repeated.started == first.started, "reported again after a step"
    restarted = times.convert(
        make_update(wall + later_step + elapsed), wall + later_step + elapsed, now + elapsed
    ).endpoints[0]
    assert restarted.started == now + elapsed, "restarted after the step"


def test_a_start_in_the_future_counts_as_now_and_removed_endpoints_are_forgotten():
    times = StartTimes()
    assert times.convert(make_update(EPOCH + timedelta(hours=1)), EPOCH, EPOCH).endpoints[0].started == EPOCH
    assert times.convert(make_update(timedelta()), EPOCH, EPOCH).endpoints[0].started == timedelta()
    assert times.convert(replace(make_update(EPOCH), endpoints=()), EPOCH, EPOCH).endpoints == ()
    assert not times.known


@given(CLOCK_STEPS)
def test_a_handover_uses_the_machine_s_monotonic_clock(step):
    """The old process writes its report before a step of the wall clock, the new one reads it afterwards."""
    report = {
        "pid": 1,
        "open": 2,
        "born": (EPOCH + step).total_seconds(),
        "monotonic_born": 100.0,
        "monotonic_told": 200.0,
    }
    peer = read_peer(
        report, modified_at=EPOCH + 2 * step, wall_now=EPOCH, monotonic_now=timedelta(seconds=200.1)
    )
    assert peer == Peer(1, timedelta(seconds=100), 2, timedelta(seconds=200))
    verdict = decide_handover(2, timedelta(seconds=199), [peer], timedelta(seconds=200.1))
    assert verdict.waiting and not verdict.superseded


def test_a_report_of_an_old_release_with_wall_clock_times_only_is_read():
    report = {"pid": 1, "open": 0, "born": (EPOCH - timedelta(seconds=50)).total_seconds()}
    now = timedelta(seconds=500)
    peer = read_peer(report, modified_at=EPOCH - timedelta(seconds=1), wall_now=EPOCH, monotonic_now=now)
    assert peer == Peer(1, now - timedelta(seconds=50), 0, now - timedelta(seconds=1))
