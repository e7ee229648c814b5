"""A short, seeded soak of real processes under overlapping faults; `hoplane.lab soak` plays more."""

import pytest

from hoplane.lab import soak


@pytest.mark.parametrize("seed", [2, 5, 7, 12])
def test_no_rule_is_broken_by_ten_conductors_under_faults_that_overlap(seed):
    found = soak.play(seed, conductors=10)
    assert [str(each) for each in found.problems] == []
    assert found.served > found.asks / 4 and found.restarts, "it was a soak under load"
