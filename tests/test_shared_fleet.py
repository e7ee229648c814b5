"""Real conductors that share budgets, counts and failure reports, under load and faults."""

import pytest

from hoplane.lab import fleet_scenario
from hoplane.lab.fleet_scenario import EJECTION_MS, TTL, FleetScenario, Schedule, run_scenario
from hoplane.lab.schedule import Fault

SLOW = {"reply_ms": [150, 900], "request_ms": [0, 300]}
FIXED = {
    "a minority is partitioned past the term of its slices": Schedule(
        "cut", 3, 8, (Fault(1.5, 5, "link", 0, {"cut": True}),)
    ),
    "etcd replies are delayed by about the lease terms": Schedule(
        "slow",
        3,
        8,
        (
            Fault(1.5, 5, "link", 0, SLOW),
            Fault(2.0, 5, "link", 1, SLOW),
            Fault(3, 2, "engine", 0, {"delay_ms": 240}),
        ),
    ),
    "a conductor is suspended past the term of its slices": Schedule(
        "stop", 3, 8, (Fault(1.5, 4, "stop", 0),)
    ),
    "half of the fleet is restarted": Schedule(
        "kill",
        4,
        8,
        (
            Fault(1.5, 0.3, "kill", 0),
            Fault(1.6, 2.5, "kill", 1),
        ),
    ),
    "one-way packet loss, and clocks off by the maximum drift": Schedule(
        "way",
        3,
        8,
        (
            Fault(1.5, 5, "link", 0, {"drop_replies": 1.0}),
            Fault(2.5, 2, "link", 1, {"drop_requests": 1.0}),
        ),
        (1 - fleet_scenario.MAX_CLOCK_DRIFT, 1 + fleet_scenario.MAX_CLOCK_DRIFT, 1.0),
    ),
}


@pytest.mark.parametrize("name", FIXED)
def test_budget_of_each_cold_endpoint_holds_and_counts_converge_after_recovery(name):
    result = run_scenario(FleetScenario(FIXED[name]))
    assert result.violations == []
    assert max(result.max_sends.values()) > result.budget / 3, "the budget is used"
    killed = sum(fault.kind == "kill" for fault in FIXED[name].faults)
    assert len(result.fleet_counts) == FIXED[name].conductor_count
    assert all(total == result.fleet_counts[0] for total in result.fleet_counts), (
        "all conductors report the same counts"
    )
    if not killed:
        expected = {}
        for counts in result.own_counts:
            expected = {key: expected.get(key, 0) + count for key, count in counts.items()}
        assert result.fleet_counts[0] == expected, "the counts are the sum of what each conductor counted"
    assert [line for line in result.events if line["event"] in ("loop_fault", "task_broke")] == []


def test_failing_endpoint_is_ejected_fleet_wide_for_a_limited_time():
    scenario = FleetScenario(Schedule("fail", 4, 9, ()), per_second=20, warm_count=3, cold_count=0)
    scenario.failure_period = (1.5, 3.5)
    result = run_scenario(scenario)
    assert result.violations == []
    avoided = {line["who"] for line in result.events if line["event"] == "endpoint_avoided"}
    assert avoided == {"c0", "c1", "c2", "c3"}, "also conductors that observed no failure themselves"
    send_times = [timestamp - result.started_at for timestamp, _ in result.received_requests["r0"]]
    sends_while_failing = sum(2.0 < timestamp < 3.5 for timestamp in send_times)
    baseline = sum(0.2 < timestamp < 1.4 for timestamp in send_times) / 1.2 * 1.5
    assert sends_while_failing < baseline / 3, (
        "half a second after the first failure, few requests are sent to it"
    )
    returned_at = min(timestamp for timestamp in send_times if timestamp > 3.5 + 0.3)
    assert returned_at < 3.5 + EJECTION_MS / 1000 + TTL + 8, (
        "requests return to the endpoint within the time limit"
    )
    readmissions = [line for line in result.events if line["event"] == "endpoint_welcome"]
    assert readmissions


def test_without_etcd_each_conductor_stays_within_its_floor_and_requests_continue():
    result = run_scenario(
        FleetScenario(Schedule("outage", 2, 7, (Fault(0.0, 7, "engine", 0, {"pause_s": 7}),)), per_second=30)
    )
    assert result.violations == []
    floor = fleet_scenario.COLD_BUDGET * 0.3 / 2
    assert 1 <= max(result.max_sends.values()) <= 2 * floor
    assert result.status_counts.get(200, 0) > 0.9 * sum(result.status_counts.values())
