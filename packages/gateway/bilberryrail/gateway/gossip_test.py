"""Tests of what nodes tell each other unasked."""

from itertools import repeat
from random import Random
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.messages import (
    Nodes,
    OperatorSnapshot,
    Progress,
)
from bilberryrail.forwarding.operators import OperatorState, ZoneRecord
from bilberryrail.forwarding.readers import MIN_NODES_FOR_READERS
from bilberryrail.forwarding.records import BackendLoad
from bilberryrail.gateway.gossip import (
    CHANGE_DELAY_S,
    FIRST_WORD_DELAY_S,
    PROGRESS_INTERVAL_S,
    Gossip,
)
from bilberryrail.gateway.reading_duty import (
    SETTLE_S,
    UNHEARD_S,
    ReadingDuty,
)


class FakeLinks:
    """Records messages; all links are open."""

    def __init__(self):
        self.incoming = {}
        self.told = []

    def is_up(self, node):
        return True

    def tell(self, node, message):
        self.told.append((node, message))

    def to(self, kind):
        return [node for node, one in self.told if isinstance(one, kind)]


class Bench:
    """Gossip of node n1 in zone east; two more zones and a region."""

    def __init__(self):
        self.clock = Clock()
        self.links = FakeLinks()
        self.operators = OperatorState()
        self.membership = Membership(peer('n1'))
        self.membership.merge(
            [
                peer('near1'),
                peer('near2'),
                peer('west1', zone='west'),
                peer('west2', zone='west'),
                peer('far1', zone='north', region='away'),
                peer('far2', zone='north', region='away'),
            ],
        )
        self.is_store_up = True
        self.gossip = Gossip(
            self.clock,
            Random(1),
            self.links,
            self.membership,
            self.operators,
            SimpleNamespace(load=BackendLoad),
            ReadingDuty(self.clock, self.membership, self.links),
        )
        self.gossip.is_store_up = lambda: self.is_store_up
        self.clock.advance(5)

    def change(self, offset):
        self.operators.apply(ZoneRecord(offset, 'east', is_out=True))
        self.gossip.changed()


@pytest.fixture
def bench():
    return Bench()


def test_change_is_told_to_the_zone_and_to_one_node_of_each_other(bench):
    # Guards against a node that the store turns away and that serves an old
    # configuration for seconds (hunt, trouble-1, seed 828614673325).
    bench.change(3)
    bench.clock.advance(CHANGE_DELAY_S)
    told = bench.links.to(Progress)
    assert {'near1', 'near2'} <= set(told)
    assert len([node for node in told if node.startswith('west')]) == 1
    assert len([node for node in told if node.startswith('far')]) == 1


def test_changes_in_quick_succession_are_told_once(bench):
    # Guards against messages for each record of a storm.
    bench.change(3)
    bench.change(4)
    bench.clock.advance(CHANGE_DELAY_S)
    assert bench.links.to(Progress).count('near1') == 1


def test_node_that_is_behind_asks_and_is_given(bench):
    # Guards against nodes that only compare and never exchange.
    knows_more = bench.membership.version_sum + 1
    bench.gossip.heard('near1', Progress(9, knows_more))
    assert bench.links.to(Progress) == ['near1']
    bench.change(3)
    bench.gossip.heard('near2', Progress(0, 0))
    assert bench.links.to(OperatorSnapshot) == ['near2']
    assert bench.links.to(Nodes) == ['near2']


def test_node_without_the_store_asks_the_whole_region(bench):
    # Guards against a zone whose nodes are all turned away by the store.
    bench.is_store_up = False
    bench.gossip.start()
    bench.clock.pump(repeat(0.1, 60))
    asked = set(bench.links.to(Progress))
    assert {'near1', 'near2', 'west1', 'west2'} == asked
    assert len(bench.links.to(Progress)) >= 10


def test_node_with_the_store_stays_in_its_zone(bench):
    # Guards against traffic that is paid for and tells nothing.
    bench.gossip.start()
    bench.clock.pump(repeat(0.1, 60))
    assert set(bench.links.to(Progress)) <= {'near1', 'near2'}


def enlarge(bench, *, first):
    """Let the zone be so large that two nodes read for it."""
    bench.membership.merge(
        [peer(f'{first}{number}') for number in range(MIN_NODES_FOR_READERS)],
    )


def test_reader_tells_its_zone_at_once_and_regularly(bench):
    # Guards against a zone that learns of a change when its own calls of the
    # store, which it no longer makes, would have told it.
    enlarge(bench, first='o')
    bench.change(3)
    bench.clock.advance(FIRST_WORD_DELAY_S)
    assert set(bench.links.to(Progress)) >= {'near1', 'o0', 'o7'}
    bench.links.told.clear()
    bench.gossip.start()
    assert set(bench.links.to(Progress)) >= {'near1', 'o0', 'o7'}
    assert all(one.is_reader for _, one in bench.links.told)


def test_reader_without_the_store_does_not_cover_its_zone(bench):
    # Guards against nodes that rely on a reader which is turned away.
    enlarge(bench, first='o')
    bench.is_store_up = False
    bench.gossip.start()
    assert not any(one.is_reader for _, one in bench.links.told)


def test_node_reads_itself_when_no_reader_is_heard(bench):
    # Guards against a zone that hears nothing after both readers are gone.
    enlarge(bench, first='a')
    duty = bench.gossip.duty
    assert duty.is_due
    bench.gossip.heard(
        'a0', Progress(0, bench.membership.version_sum, is_reader=True)
    )
    assert not duty.is_due
    bench.clock.advance(UNHEARD_S + 0.1)
    assert duty.is_due


def test_node_that_has_just_started_does_not_read_on(bench):
    # Guards against a fleet that starts together and whose nodes all follow
    # the store, since none knows another yet.
    clock = Clock()
    duty = ReadingDuty(clock, Membership(peer('n1')), bench.links)
    assert not duty.is_due
    clock.advance(SETTLE_S)
    assert duty.is_due


def test_reader_of_another_zone_covers_nobody_here(bench):
    # Guards against a zone that takes a distant reader for its own.
    enlarge(bench, first='a')
    progress = Progress(0, bench.membership.version_sum, is_reader=True)
    bench.gossip.heard('west1', progress)
    assert bench.gossip.duty.is_due


def test_covered_node_tells_one_neighbour_of_a_change(bench):
    # Guards against readers that are cut off unnoticed: what another zone
    # tells one node has to spread in this zone.
    enlarge(bench, first='a')
    bench.gossip.heard(
        'a0', Progress(0, bench.membership.version_sum, is_reader=True)
    )
    bench.change(3)
    bench.clock.advance(CHANGE_DELAY_S)
    assert len(bench.links.to(Progress)) == 1


def test_covered_node_sends_no_regular_progress(bench):
    # Guards against messages that grow with the square of a zone.
    enlarge(bench, first='a')
    bench.gossip.start()
    bench.gossip.heard(
        'a0', Progress(0, bench.membership.version_sum, is_reader=True)
    )
    bench.links.told.clear()
    bench.clock.advance(PROGRESS_INTERVAL_S)
    assert not bench.links.told
