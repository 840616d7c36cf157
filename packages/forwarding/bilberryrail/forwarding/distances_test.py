"""Tests of the learned round trips."""

import pytest

from bilberryrail.core.ids import AvailabilityZoneId, RegionId
from bilberryrail.forwarding.distances import Distances, DistanceSettings
from bilberryrail.forwarding.fixtures_test import peer

FAR = peer('far', zone='north', region='away')


@pytest.fixture
def distances():
    return Distances(
        DistanceSettings(),
        AvailabilityZoneId('east'),
        RegionId('home'),
    )


def test_prior_holds_until_something_is_measured(distances):
    # Guards against a region that counts as near before a link is open.
    assert distances.round_trip_s(FAR) == DistanceSettings().region_s
    assert distances.round_trip_s(peer('n2')) == 0
    distances.round_trip_measured(FAR, 0.15)
    assert distances.round_trip_s(FAR) == pytest.approx(0.15)


def test_busy_process_is_no_longer_way(distances):
    # Guards against one slow answer that keeps requests from a region.
    distances.round_trip_measured(FAR, 0.05)
    distances.round_trip_measured(FAR, 1.05)
    assert distances.round_trip_s(FAR) == pytest.approx(0.15)
    distances.round_trip_measured(FAR, 0.05)
    assert distances.round_trip_s(FAR) == pytest.approx(0.05)


def test_longer_way_is_learned_in_the_end(distances):
    # Guards against a detour of the network that is never believed.
    distances.round_trip_measured(FAR, 0.05)
    for _ in range(60):
        distances.round_trip_measured(FAR, 0.2)
    assert distances.round_trip_s(FAR) == pytest.approx(0.2, rel=0.01)
