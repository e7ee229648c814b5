"""The soak's oracle in isolation: which reservations count as held too long."""

import pytest

from hoplane.lab.soak_oracle import EndpointCall, ProcessRecord, RequestRecord, SoakRecord, find_violations

READER = 4


def record_read_whose_answer_is_stuck(cancel, release_at, partitioned=True):
    """Record a read that ends at 1 s, a final answer at 3 s, and a release."""
    record = SoakRecord(release_within=0.5, drain_grace=1.0, timing_slack=0.0, cancel=cancel)
    record.process_records[0] = [ProcessRecord(0.0)]
    if partitioned:
        record.partitioned_endpoints.add(READER, 0.9, 5.0)
    record.requests.append(
        RequestRecord("q", 0, False, sent_at=0.5, deadline=3.0, status=503, complete=True, ended_at=3.0)
    )
    trace = record.trace("q")
    trace.add_call(EndpointCall(0.8, 0.8, READER, "read", time_left=2.0))
    trace.end_read(1.0)
    trace.add_call(EndpointCall(release_at, release_at, 5, "release"))
    return record


@pytest.mark.parametrize(
    ("cancel", "release_at", "partitioned", "violations"),
    [
        (True, 1.7, True, 0),
        (True, 3.1, True, 1),
        (False, 3.1, True, 0),
        (False, 3.9, True, 1),
        (False, 3.1, False, 1),
    ],
)
def test_state_of_a_read_may_be_held_while_its_answer_is_stuck_and_no_cancel_is_permitted(
    cancel, release_at, partitioned, violations
):
    record = record_read_whose_answer_is_stuck(cancel, release_at, partitioned)
    assert [each.rule for each in find_violations(record)] == ["pinned"] * violations
