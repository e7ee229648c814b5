"""Leader election with conductor processes, the etcd stand-in and network faults: one holder at a time."""

import time

import pytest

from hoplane.lab import lease_scenario
from hoplane.lab.checker import Action, find_violations
from hoplane.lab.schedule import Fault, Schedule, draw_schedule

TTL = lease_scenario.TTL


def holder_fault(start, duration, kind, **settings):
    return Fault(start, duration, "holder", 0, {"kind": kind, "what": settings})


FIXED = {
    "holder partitioned from etcd": Schedule("cut", 3, 6.5, (holder_fault(1.5, 4.0, "link", cut=True),)),
    "holder suspended past its lease, then resumed": Schedule(
        "stop",
        3,
        7,
        (holder_fault(1.5, 3.5, "stop"),),
    ),
    "replies delayed by about the TTL": Schedule(
        "slow",
        3,
        7,
        (
            holder_fault(1.5, 4.0, "link", reply_ms=[250, 2100]),
            Fault(2.0, 3.0, "link", 1, {"request_ms": [200, 1900]}),
        ),
    ),
    "etcd restarts and loses its leases": Schedule(
        "lost", 3, 5, (Fault(2.0, 0.1, "engine", 0, {"restart": "lose_leases"}),)
    ),
    "clock drift, and a holder that receives no replies": Schedule(
        "skew",
        3,
        6.5,
        (holder_fault(1.5, 4.0, "link", drop_replies=1.0),),
        (1 - lease_scenario.MAX_CLOCK_DRIFT, 1 + lease_scenario.MAX_CLOCK_DRIFT, 1.0),
        fenced=False,
    ),
    "actions delayed in the network past the lease": Schedule(
        "late",
        3,
        7,
        (
            holder_fault(1.5, 1.0, "act", request_ms=[2300, 2600]),
            holder_fault(1.6, 4.0, "link", cut=True),
        ),
    ),
}


@pytest.mark.parametrize("name", FIXED)
def test_at_most_one_holder_acts_at_a_time(name):
    result = lease_scenario.run_scenario(FIXED[name])
    assert result.violations == []
    assert len(result.tenures()) >= 2, "the fault ends a tenure, and another conductor takes over"
    assert [line for line in result.events if line["event"] in ("loop_fault", "task_broke")] == []


def test_without_etcd_leader_tasks_stop_and_requests_continue(tmp_path):
    result = lease_scenario.run_scenario(
        Schedule("outage", 2, 8, (Fault(1.5, 4.0, "engine", 0, {"pause_s": 4.0}),))
    )
    assert result.violations == []
    start_times = sorted(action.started for action in result.actions)
    longest_gap = max(b - a for a, b in zip(start_times, start_times[1:], strict=False))
    assert longest_gap > 1.5, "no action while etcd is unreachable"
    lost = [line["reason"] for line in result.events if line["event"] == "lease_lost"]
    assert "not renewed in time" in lost


def test_graceful_shutdown_of_the_holder_hands_the_lease_over_immediately():
    begun = time.monotonic()
    result = lease_scenario.run_scenario(Schedule("order", 2, 3, ()))
    assert result.violations == [] and time.monotonic() - begun < 15
    lost = [line for line in result.events if line["event"] == "lease_lost"]
    won = [line for line in result.events if line["event"] == "lease_won"]
    assert len(won) == len(lost) >= 1 and lost[0]["reason"] == "stopped"


def make_action(holder, token, started, ended, resource="r"):
    return Action(resource, holder, token, started, ended)


@pytest.mark.parametrize(
    ("actions", "across_resources", "count"),
    [
        ([make_action("a", 1, 0, 2), make_action("b", 2, 2, 3)], True, 0),
        ([make_action("a", 1, 0, 2), make_action("b", 2, 1, 3)], False, 1),
        ([make_action("a", 1, 0, 2), make_action("b", 2, 1, 3, "other")], False, 0),
        ([make_action("a", 1, 0, 2), make_action("b", 2, 1, 3, "other")], True, 1),
        ([make_action("a", 1, 0, 5), make_action("a", 1, 1, 2), make_action("b", 2, 3, 4)], False, 1),
        ([make_action("b", 2, 0, 1), make_action("a", 1, 2, 3)], False, 1),
        ([make_action("a", 1, 0, 2), make_action("a", 2, 1, 3)], False, 1),
    ],
)
def test_checker_finds_overlapping_actions_and_decreasing_tokens(actions, across_resources, count):
    assert len(find_violations(actions, across_resources)) == count


def test_schedules_are_reproducible_and_unfenced_ones_exclude_faults_that_need_fencing():
    assert draw_schedule(5, 4, TTL, 0.02) == draw_schedule(5, 4, TTL, 0.02) != draw_schedule(6, 4, TTL, 0.02)
    for seed in range(60):
        for fault in draw_schedule(seed, 4, TTL, 0.02, fenced=False).faults:
            kind = fault.settings["kind"] if fault.kind == "holder" else fault.kind
            assert kind in ("link", "kill", "engine") and fault.settings.get("restart") != "lose_leases"
