"""Storms of overlapping faults."""

import pytest

from bilberryrail.proofs.deployment import COURTS, KETTLES
from bilberryrail.proofs.mishaps import play, share_served


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'deployment', [COURTS, KETTLES], ids=lambda it: it.name
)
def test_storm_breaks_no_invariant(deployment, seed):
    """Guards against faults that are harmless only one at a time."""
    scenario = play(deployment, seed, count=10)
    assert share_served(scenario) > 0.8
    assert not scenario.violations()
