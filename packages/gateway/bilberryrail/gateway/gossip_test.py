"""Tests of the exchange of load and operators' state between nodes."""

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
from bilberryrail.forwarding.operators import (
    ConfigRecord,
    OperatorState,
    ZoneRecord,
)
from bilberryrail.forwarding.readers import MIN_NODES_FOR_READERS
from bilberryrail.forwarding.records import (
    BackendLoad,
    ConfigVersion,
    StorePosition,
    TrafficConfig,
)
from bilberryrail.gateway.gossip import (
    CHANGE_DELAY_S,
    PROGRESS_INTERVAL_S,
    READER_CHANGE_DELAY_S,
    Gossip,
)
from bilberryrail.gateway.reader_selection import (
    READER_TIMEOUT_S,
    SETTLE_S,
    ReaderSelection,
)


class FakeLinks:
    """Records sent messages; all links are open."""

    def __init__(self):
        self.incoming = {}
        self.sent_if_open = []

    def is_up(self, node):
        return True

    def send_if_open(self, node, message):
        self.sent_if_open.append((node, message))

    def recipients(self, kind):
        return [
            node for node, one in self.sent_if_open if isinstance(one, kind)
        ]


class Bench:
    """Gossip of node n1 in zone east, with nodes of two other zones."""

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
            ReaderSelection(self.clock, self.membership, self.links),
        )
        self.gossip.is_store_up = lambda: self.is_store_up
        self.clock.advance(5)

    def change(self, offset):
        self.operators.apply(ZoneRecord(offset, 'east', is_out=True))
        self.gossip.operators_changed()


@pytest.fixture
def bench():
    return Bench()


def test_change_is_sent_to_the_zone_and_to_one_node_of_each_other_zone(bench):
    # Guards against a node that does not reach the store and therefore serves
    # an old configuration for seconds (hunt, trouble-1, seed 828614673325).
    bench.change(3)
    bench.clock.advance(CHANGE_DELAY_S)
    sent_if_open = bench.links.recipients(Progress)
    assert {'near1', 'near2'} <= set(sent_if_open)
    assert len([node for node in sent_if_open if node.startswith('west')]) == 1
    assert len([node for node in sent_if_open if node.startswith('far')]) == 1


def test_changes_in_quick_succession_are_sent_once(bench):
    # Guards against one message for each record of a burst.
    bench.change(3)
    bench.change(4)
    bench.clock.advance(CHANGE_DELAY_S)
    assert bench.links.recipients(Progress).count('near1') == 1


def test_node_that_is_behind_requests_the_state_and_gets_it(bench):
    # Guards against nodes that compare their progress but never exchange state.
    knows_more = bench.membership.version_sum + 1
    bench.gossip.progress_received('near1', Progress(9, knows_more))
    assert bench.links.recipients(Progress) == ['near1']
    bench.change(3)
    bench.gossip.progress_received('near2', Progress(0, 0))
    assert bench.links.recipients(OperatorSnapshot) == ['near2']
    assert bench.links.recipients(Nodes) == ['near2']


def test_state_of_a_restored_store_counts_as_newer(bench):
    # Guards against a node that neither requests nor accepts the state of a
    # restored store, because the restored store gives out lower offsets.
    bench.change(9)
    own_sum = bench.membership.version_sum
    bench.gossip.progress_received('near1', Progress(3, own_sum, era=2))
    assert bench.links.recipients(Progress) == ['near1']
    assert not bench.links.recipients(OperatorSnapshot)
    assert bench.operators.replace(OperatorSnapshot(3, None, (), era=2))
    assert bench.operators.position == StorePosition(2, 3)


def adopt(bench, version):
    """Let a node adopt a configuration that its store has lost since."""
    config = TrafficConfig(ConfigVersion(version), (), {})
    bench.operators.apply(ConfigRecord(0, config))
    bench.operators.replace(OperatorSnapshot(1, None, (), era=2))


def test_configuration_that_the_store_lost_is_sent_to_a_restarted_node(bench):
    # Guards against a node that restarts after a restore of the store and
    # serves the old configuration, though all others have the newer one.
    adopt(bench, 7)
    own_sum = bench.membership.version_sum
    bench.gossip.progress_received('near1', Progress(1, own_sum, era=2))
    assert bench.links.recipients(OperatorSnapshot) == ['near1']


def test_restarted_node_requests_the_configuration_that_the_store_lost(bench):
    # Guards against the same, for a node that hears of the newer configuration
    # instead of telling of its old one.
    adopt(bench, 7)
    newer = Progress(1, bench.membership.version_sum, era=2, version=9)
    bench.gossip.progress_received('near1', newer)
    assert bench.links.recipients(Progress) == ['near1']
    assert bench.operators.replace(
        OperatorSnapshot(1, TrafficConfig(ConfigVersion(9), (), {}), (), era=2)
    )
    assert bench.operators.config.version == 9


def test_node_without_the_store_sends_progress_to_its_whole_region(bench):
    # Guards against a zone in which no node reaches the store.
    bench.is_store_up = False
    bench.gossip.start()
    bench.clock.pump(repeat(0.1, 60))
    asked = set(bench.links.recipients(Progress))
    assert {'near1', 'near2', 'west1', 'west2'} == asked
    assert len(bench.links.recipients(Progress)) >= 10


def test_node_with_the_store_sends_progress_only_in_its_zone(bench):
    # Guards against traffic that is paid for but has no use.
    bench.gossip.start()
    bench.clock.pump(repeat(0.1, 60))
    assert set(bench.links.recipients(Progress)) <= {'near1', 'near2'}


def enlarge(bench, *, first):
    """Add nodes until the zone is large enough to have two readers."""
    bench.membership.merge(
        [peer(f'{first}{number}') for number in range(MIN_NODES_FOR_READERS)],
    )


def test_reader_sends_progress_to_its_zone_at_once_and_regularly(bench):
    # Guards against a late change in a zone whose other nodes no longer read
    # the store themselves.
    enlarge(bench, first='o')
    bench.change(3)
    bench.clock.advance(READER_CHANGE_DELAY_S)
    assert set(bench.links.recipients(Progress)) >= {'near1', 'o0', 'o7'}
    bench.links.sent_if_open.clear()
    bench.gossip.start()
    assert set(bench.links.recipients(Progress)) >= {'near1', 'o0', 'o7'}
    assert all(one.is_reader for _, one in bench.links.sent_if_open)


def test_reader_without_the_store_does_not_cover_its_zone(bench):
    # Guards against nodes that depend on a reader without access to the store.
    enlarge(bench, first='o')
    bench.is_store_up = False
    bench.gossip.start()
    assert not any(one.is_reader for _, one in bench.links.sent_if_open)


def test_node_reads_the_store_when_no_reader_reports(bench):
    # Guards against a zone that gets no changes after both readers have ended.
    enlarge(bench, first='a')
    reader_selection = bench.gossip.reader_selection
    assert reader_selection.must_read
    bench.gossip.progress_received(
        'a0', Progress(0, bench.membership.version_sum, is_reader=True)
    )
    assert not reader_selection.must_read
    bench.clock.advance(READER_TIMEOUT_S + 0.1)
    assert reader_selection.must_read


def test_node_that_has_just_started_is_no_reader(bench):
    # Guards against a fleet that starts at the same time and whose nodes all
    # keep reading the store, because none of them knows another one yet.
    clock = Clock()
    reader_selection = ReaderSelection(
        clock, Membership(peer('n1')), bench.links
    )
    assert not reader_selection.must_read
    clock.advance(SETTLE_S)
    assert reader_selection.must_read


def test_reader_of_another_zone_is_not_counted(bench):
    # Guards against a zone that depends on the reader of another zone.
    enlarge(bench, first='a')
    progress = Progress(0, bench.membership.version_sum, is_reader=True)
    bench.gossip.progress_received('west1', progress)
    assert bench.gossip.reader_selection.must_read


def test_node_with_a_reader_sends_a_change_to_one_neighbour(bench):
    # Guards against readers that are cut off without being detected: a change
    # that one node gets from another zone has to spread within this zone.
    enlarge(bench, first='a')
    bench.gossip.progress_received(
        'a0', Progress(0, bench.membership.version_sum, is_reader=True)
    )
    bench.change(3)
    bench.clock.advance(CHANGE_DELAY_S)
    assert len(bench.links.recipients(Progress)) == 1


def test_node_with_a_reader_sends_no_regular_progress(bench):
    # Guards against messages that grow with the square of the zone's size.
    enlarge(bench, first='a')
    bench.gossip.start()
    bench.gossip.progress_received(
        'a0', Progress(0, bench.membership.version_sum, is_reader=True)
    )
    bench.links.sent_if_open.clear()
    bench.clock.advance(PROGRESS_INTERVAL_S)
    assert not bench.links.sent_if_open
