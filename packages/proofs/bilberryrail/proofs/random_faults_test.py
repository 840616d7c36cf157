"""Storms of overlapping faults."""

import pytest

from bilberryrail.proofs.deployment import COURTS, KETTLES
from bilberryrail.proofs.random_faults import completed_share, run_random_faults


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'deployment', [COURTS, KETTLES], ids=lambda it: it.name
)
def test_storm_breaks_no_invariant(deployment, seed):
    """Guards against faults that are harmless only one at a time."""
    scenario = run_random_faults(deployment, seed, count=10)
    assert completed_share(scenario) > 0.8
    assert not scenario.violations()
