"""Tests with random faults that overlap."""

import pytest

from bilberryrail.proofs.deployment import COURTS, KETTLES
from bilberryrail.proofs.random_faults import completed_share, run_random_faults


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'deployment', [COURTS, KETTLES], ids=lambda it: it.name
)
def test_overlapping_faults_break_no_invariant(deployment, seed):
    """Guards against violations that only overlapping faults cause."""
    scenario = run_random_faults(deployment, seed, count=10)
    assert completed_share(scenario) > 0.8
    assert not scenario.violations()
