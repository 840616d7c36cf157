"""Tests of the readers' long polls, which notice silent connections."""

from itertools import pairwise

import pytest

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.membership import Membership
from bilberryrail.gateway.poll_schedule import (
    MAX_GAP_S,
    MAX_WAIT_S,
    PollSchedule,
)

ZONES = ('a', 'b', 'c', 'd')
LENGTH_S = 60


def schedules(per_zone):
    """Return the schedule of each node of a fleet of four zones."""
    fleet = [
        peer(f'{zone}{number:02}', zone=zone)
        for zone in ZONES
        for number in range(per_zone)
    ]
    found = {}
    for own in fleet:
        membership = Membership(own)
        membership.merge(fleet)
        found[own.node] = PollSchedule(membership)
    return found


def ends_of(schedule):
    """Return when the polls of a node end after a change."""
    ends = [schedule.wait_s(is_first=True)]
    while ends[-1] < LENGTH_S:
        ends.append(ends[-1] + schedule.wait_s(is_first=False))
    return ends


@pytest.mark.parametrize('per_zone', [1, 2, 4, 7])
def test_poll_of_some_reader_ends_each_second(per_zone):
    # Guards against a fleet whose connections to the store have all fallen
    # silent, and that notices it only when all polls end together after 12 s.
    ends = sorted(
        end for one in schedules(per_zone).values() for end in ends_of(one)
    )
    gaps = [after - before for before, after in pairwise([0, *ends])]
    assert max(gaps) <= MAX_GAP_S + 1e-9


@pytest.mark.parametrize('per_zone', [8, 40, 200])
def test_polls_of_the_selected_readers_of_large_zones_are_spread(per_zone):
    # Guards against waits that count the nodes that do not read.
    found = schedules(per_zone)
    readers = [f'{zone}0{number}' for zone in ZONES for number in (0, 1)]
    ends = sorted(end for node in readers for end in ends_of(found[node]))
    gaps = [after - before for before, after in pairwise([0, *ends])]
    assert max(gaps) <= MAX_GAP_S + 1e-9


def test_calls_of_a_large_fleet_stay_rare():
    # Guards against calls whose number grows with the fleet.
    waits = {one.wait_s(is_first=False) for one in schedules(7).values()}
    assert waits == {MAX_WAIT_S}


def test_node_that_is_no_expected_reader_polls_too():
    # Guards against a substitute for a reader that polls without a pause.
    found = schedules(8)
    assert all(one.wait_s(is_first=True) > 0 for one in found.values())
