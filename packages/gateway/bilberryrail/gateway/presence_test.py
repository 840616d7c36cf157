"""Tests of what nodes tell each other about themselves."""

from random import Random

import pytest
from twisted.internet.task import Clock

from bilberryrail.core.ids import NodeId, RegionId, Seconds
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.backend_test import heartbeat
from bilberryrail.forwarding.fixtures_test import SETTINGS, peer
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.records import BackendPhase
from bilberryrail.forwarding.selection import CandidateTable
from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.links import choose_kept
from bilberryrail.gateway.presence import Presence


class FakeLinks:
    """Records messages; keeps links as the real ones do."""

    def __init__(self):
        self.broadcasts = []
        self.sent = []
        self.told = []
        self.kept = frozenset()
        self.is_full_mesh = True

    def follow(self, peers):
        known = {one.node: one for one in peers}
        self.kept = choose_kept(known, RegionId('home'))
        self.is_full_mesh = len(self.kept) == len(known)

    def is_up(self, node):
        return True

    def broadcast(self, message):
        self.broadcasts.append(message)

    def send(self, node, message):
        self.sent.append(node)

    def tell(self, node, message):
        self.told.append(node)


class Bench:
    """The presence of node n1."""

    def __init__(self):
        clock = Clock()
        self.links = FakeLinks()
        self.membership = Membership(peer('n1', phase=BackendPhase.ABSENT))
        self.backend = Backend(SETTINGS.admission)
        candidates = CandidateTable(SETTINGS, Random(1))
        ingress = Ingress(SETTINGS, clock, Random(1), candidates, self.links)
        self.presence = Presence(
            clock,
            Random(1),
            self.membership,
            self.links,
            ingress,
            self.backend,
            ignore,
        )
        self.stored = []
        self.presence.store = lambda: self.stored.append('stored')

    def learn_fleet(self, near, far):
        fleet = [peer(f'near{index}') for index in range(near)]
        fleet += [peer(f'far{index}', region='away') for index in range(far)]
        self.presence.learn(fleet)


@pytest.fixture
def bench():
    return Bench()


def test_ready_backend_server_is_announced_once(bench):
    # Guards against a backend server that other nodes never use, and against
    # messages that say nothing new.
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    bench.presence.refresh()
    assert len(bench.links.broadcasts) == 1
    assert bench.links.broadcasts[0].peer.phase is BackendPhase.READY
    assert not bench.stored


def test_leaving_backend_server_is_stored(bench):
    # Guards against a node that forgets in a restart what it acknowledged.
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    bench.backend.instance_left('i1')
    bench.presence.refresh()
    assert bench.stored == ['stored']


def test_departure_is_read_back_after_a_restart(bench):
    # Guards against new work for an instance that has said that it leaves.
    earlier = peer('n1', started_ms=500, phase=BackendPhase.DRAINING)
    bench.presence.learn([earlier])
    bench.backend.heartbeat_received(heartbeat(earlier.instance), Seconds(1))
    assert not bench.backend.is_usable(Seconds(1))


def test_large_fleet_keeps_links_within_its_region(bench):
    # Guards against a fleet of more than 40 nodes that keeps no links, so that
    # nobody hears which backend servers are ready.
    bench.learn_fleet(near=30, far=30)
    assert len(bench.links.kept) == 30
    assert all(node.startswith('near') for node in bench.links.kept)


def test_change_reaches_other_regions_of_a_large_fleet(bench):
    # Guards against a region that does not hear of changes in another one.
    bench.learn_fleet(near=30, far=30)
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    assert len(bench.links.sent) == 2
    assert all(node.startswith('far') for node in bench.links.sent)


def test_news_from_another_region_is_relayed_once(bench):
    # Guards against news that stays with the two nodes that were told, and
    # against messages that go round for ever.
    bench.learn_fleet(near=30, far=30)
    sender = peer('far1', region='away')
    news = peer('far2', region='away', serial=5)
    bench.presence.heard(sender, news)
    bench.presence.heard(sender, news)
    assert len(bench.links.told) == 30


def test_news_of_the_own_region_is_not_relayed(bench):
    # Guards against the square of the fleet in messages.
    bench.learn_fleet(near=30, far=30)
    bench.presence.heard(peer('near1'), peer('near1', serial=5))
    assert not bench.links.told


def test_nodes_that_missed_a_change_know_less():
    # Guards against two nodes that compare only how many nodes they know.
    behind = Membership(peer('n1'))
    behind.merge([peer('n2', serial=1)])
    ahead = Membership(peer('n1'))
    ahead.merge([peer('n2', serial=2)])
    assert behind.version_sum < ahead.version_sum


def test_node_at_a_taken_address_is_dropped(bench):
    # Guards against dialling a node that is gone for ever.
    bench.learn_fleet(near=2, far=0)
    bench.presence.forget(NodeId('near1'))
    assert bench.links.kept == {'near0'}


def test_announcement_is_a_message():
    # Guards against a field that is lost on the wire.
    sent = messages.Announce(peer('n1', leaving=True))
    assert messages.decode(messages.encode(sent)) == sent
