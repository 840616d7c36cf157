"""Tests of the estimated round-trip times."""

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


def test_assumed_round_trip_holds_until_one_is_measured(distances):
    # Guards against considering a region near before a link to it is open.
    assert distances.round_trip_s(FAR) == DistanceSettings().region_s
    assert distances.round_trip_s(peer('n2')) == 0
    distances.round_trip_measured(FAR, 0.15)
    assert distances.round_trip_s(FAR) == pytest.approx(0.15)


def test_slow_answer_of_a_busy_process_changes_little(distances):
    # Guards against one slow answer that keeps requests away from a region.
    distances.round_trip_measured(FAR, 0.05)
    distances.round_trip_measured(FAR, 1.05)
    assert distances.round_trip_s(FAR) == pytest.approx(0.15)
    distances.round_trip_measured(FAR, 0.05)
    assert distances.round_trip_s(FAR) == pytest.approx(0.05)


def test_longer_path_is_learned_eventually(distances):
    # Guards against a longer network path that is never learned.
    distances.round_trip_measured(FAR, 0.05)
    for _ in range(60):
        distances.round_trip_measured(FAR, 0.2)
    assert distances.round_trip_s(FAR) == pytest.approx(0.2, rel=0.01)
