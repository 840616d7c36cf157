"""Tests of the readers' long polls, which notice silent connections."""

from itertools import pairwise
from random import Random

import pytest
from twisted.internet.task import Clock

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.membership import Membership
from bilberryrail.gateway.poll_schedule import (
    MAX_GAP_S,
    MAX_WAIT_S,
    MIN_WAIT_S,
    PollSchedule,
)

ZONES = ('a', 'b', 'c', 'd')
LENGTH_S = 60
#: A time of day in seconds, as nodes have it.
NOW_S = 1_800_000_000.3


class Fleet:
    """The schedules of all nodes of four zones, on one clock."""

    def __init__(self, per_zone):
        self.clock = Clock()
        nodes = [
            peer(f'{zone}{number:03}', zone=zone)
            for zone in ZONES
            for number in range(per_zone)
        ]
        self.schedules = {one.node: self.schedule(one, nodes) for one in nodes}

    def schedule(self, own, nodes):
        membership = Membership(own)
        membership.merge(nodes)
        return PollSchedule(membership, self.wall_ms)

    def wall_ms(self):
        return int((NOW_S + self.clock.seconds()) * 1000)

    def ends(self, readers=None, interruptions=()):
        """Return when polls end; interruptions end one before its time."""
        found = [0.0]
        for node in readers or self.schedules:
            self.clock = Clock()
            for at in (*interruptions, LENGTH_S):
                while self.clock.seconds() < at:
                    wait_s = self.schedules[node].wait_s()
                    self.clock.advance(min(wait_s, at - self.clock.seconds()))
                    found.append(self.clock.seconds())
        return sorted(found)


def longest_gap(ends):
    return max(after - before for before, after in pairwise(ends))


@pytest.mark.parametrize('per_zone', [1, 2, 4, 7])
def test_poll_of_some_reader_ends_each_second(per_zone):
    # Guards against a fleet whose connections to the store have all fallen
    # silent, and that notices it only when all polls end together after 12 s.
    gap_s = longest_gap(Fleet(per_zone).ends())
    assert gap_s <= MAX_GAP_S + MIN_WAIT_S


@pytest.mark.parametrize('seed', range(20))
def test_interrupted_polls_do_not_come_into_step(seed):
    # Guards against readers whose polls were ended by a change, a fault or a
    # peer at different times, and whose next ones leave seconds without an end.
    random = Random(seed)
    fleet = Fleet(2)
    ends = [0.0]
    for node in fleet.schedules:
        times = sorted(random.uniform(0, LENGTH_S) for _ in range(6))
        ends += fleet.ends([node], times)
    assert longest_gap(sorted(ends)) <= MAX_GAP_S + MIN_WAIT_S


@pytest.mark.parametrize('per_zone', [8, 40, 200])
def test_polls_of_the_selected_readers_of_large_zones_are_spread(per_zone):
    # Guards against turns that are given to nodes that do not read.
    readers = [f'{zone}{number:03}' for zone in ZONES for number in (0, 1)]
    gap_s = longest_gap(Fleet(per_zone).ends(readers))
    assert gap_s <= MAX_GAP_S + MIN_WAIT_S


def test_calls_of_a_large_fleet_stay_rare():
    # Guards against calls whose number grows with the fleet, or that are made
    # again and again around the turn of a reader.
    fleet = Fleet(7)
    for node in fleet.schedules:
        count = len(fleet.ends([node])) - 1
        assert count <= LENGTH_S / MAX_WAIT_S + 2


def test_node_that_is_no_expected_reader_polls_too():
    # Guards against a substitute for a reader that polls without a pause.
    schedules = Fleet(8).schedules.values()
    assert all(one.wait_s() >= MIN_WAIT_S for one in schedules)
