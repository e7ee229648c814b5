"""A short, seeded soak test of real processes under overlapping faults; `hoplane.lab soak` runs more."""

import pytest

from hoplane.lab import soak


@pytest.mark.parametrize("seed", [2, 5, 7, 12])
def test_no_rule_is_broken_by_ten_conductors_under_faults_that_overlap(seed):
    outcome = soak.run_soak(seed, conductors=10)
    assert [str(each) for each in outcome.problems] == []
    assert outcome.served > outcome.asks / 4 and outcome.restarts, (
        "the conductors ran under load and were restarted"
    )
