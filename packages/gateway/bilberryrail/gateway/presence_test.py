"""Tests of how nodes announce themselves to each other."""

from random import Random

import pytest
from twisted.internet.task import Clock

from bilberryrail.core.ids import NodeId, RegionId, Seconds
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.backend_test import healthy, heartbeat
from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.fixtures_test import SETTINGS, peer
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.quarantine import Quarantine
from bilberryrail.forwarding.records import BackendPhase
from bilberryrail.forwarding.selection import CandidateTable
from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.links import choose_persistent
from bilberryrail.gateway.presence import Presence, wall_ms


class FakeLinks:
    """Records sent messages; chooses persistent links like ``Links``."""

    def __init__(self):
        self.broadcasts = []
        self.sent = []
        self.sent_if_open = []
        self.persistent = frozenset()
        self.is_full_mesh = True

    def update_peers(self, peers):
        known = {one.node: one for one in peers}
        self.persistent = choose_persistent(known, RegionId('home'))
        self.is_full_mesh = len(self.persistent) == len(known)

    def is_up(self, node):
        return True

    def broadcast(self, message):
        self.broadcasts.append(message)

    def send(self, node, message):
        self.sent.append(node)

    def send_if_open(self, node, message):
        self.sent_if_open.append(node)


class Bench:
    """The presence of node n1."""

    def __init__(self):
        clock = Clock()
        self.links = FakeLinks()
        self.membership = Membership(peer('n1', phase=BackendPhase.ABSENT))
        self.backend = Backend(SETTINGS.admission)
        candidates = CandidateTable(SETTINGS, Random(1))
        ingress = Ingress(
            SETTINGS,
            clock,
            Random(1),
            candidates,
            self.links,
            Quarantine(CrashLedger(SETTINGS.quarantine, wall_ms)),
        )
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
        self.presence.store_announcement = lambda: self.stored.append('stored')

    def learn_fleet(self, near, far):
        fleet = [peer(f'near{index}') for index in range(near)]
        fleet += [peer(f'far{index}', region='away') for index in range(far)]
        self.presence.merge_announcements(fleet)


@pytest.fixture
def bench():
    return Bench()


def test_ready_backend_server_is_announced_once(bench):
    # Guards against a backend server that other nodes never use, and against
    # repeated announcements without a change.
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    bench.presence.refresh()
    assert len(bench.links.broadcasts) == 1
    assert bench.links.broadcasts[0].peer.phase is BackendPhase.READY
    assert not bench.stored


def test_instance_of_an_unknown_service_is_not_announced_as_ready(bench):
    # Guards against requests for the service of the backend server that had the
    # address before (issue 42).
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    bench.backend.health_checked(healthy('i2'), Seconds(2))
    bench.presence.refresh()
    assert bench.links.broadcasts[-1].peer.phase is BackendPhase.ABSENT


def test_departure_before_the_first_heartbeat_is_announced(bench):
    # Guards against a node that forgets in a restart that an instance whose
    # service is not known yet has left.
    bench.backend.health_checked(healthy('i2'), Seconds(2))
    bench.backend.instance_left('i2')
    bench.presence.refresh()
    assert bench.membership.own.backend_departed
    assert bench.membership.own.instance == 'i2'
    assert bench.stored


def test_leaving_backend_server_is_stored(bench):
    # Guards against a node that forgets an acknowledged departure in a restart.
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    bench.backend.instance_left('i1')
    bench.presence.refresh()
    assert bench.stored == ['stored']


def test_departure_is_restored_from_the_store_after_a_restart(bench):
    # Guards against requests to an instance that has announced its departure.
    earlier = peer('n1', started_ms=500, phase=BackendPhase.DRAINING)
    bench.presence.merge_announcements([earlier])
    bench.backend.heartbeat_received(heartbeat(earlier.instance), Seconds(1))
    assert not bench.backend.is_usable(Seconds(1))


def test_node_whose_clock_was_set_back_announces_itself_as_newer(bench):
    # Guards against a restarted node that all others ignore, because the clock
    # was set back since the start of its earlier process.
    earlier = peer('n1', started_ms=5000, leaving=True)
    bench.presence.merge_announcements([earlier])
    assert bench.membership.own.is_newer_than(earlier)
    assert bench.links.broadcasts[-1].peer == bench.membership.own


def test_announcement_of_this_process_changes_nothing(bench):
    # Guards against a node that announces itself again for each announcement of
    # its own that comes back from the store or a peer.
    bench.presence.merge_announcements([bench.membership.own])
    assert not bench.links.broadcasts


def test_large_fleet_keeps_links_within_its_region(bench):
    # Guards against a fleet of more than 40 nodes that keeps no links, so that
    # no node learns which backend servers are ready.
    bench.learn_fleet(near=30, far=30)
    assert len(bench.links.persistent) == 30
    assert all(node.startswith('near') for node in bench.links.persistent)


def test_change_reaches_other_regions_of_a_large_fleet(bench):
    # Guards against a region that does not get the changes of another one.
    bench.learn_fleet(near=30, far=30)
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.refresh()
    assert len(bench.links.sent) == 2
    assert all(node.startswith('far') for node in bench.links.sent)


def test_change_from_another_region_is_relayed_once(bench):
    # Guards against a change that only the two relays get, and against messages
    # that circulate for ever.
    bench.learn_fleet(near=30, far=30)
    sender = peer('far1', region='away')
    announced = peer('far2', region='away', serial=5)
    bench.presence.announcement_received(sender, announced)
    bench.presence.announcement_received(sender, announced)
    assert len(bench.links.sent_if_open) == 30


def test_change_of_the_own_region_is_not_relayed(bench):
    # Guards against messages that grow with the square of the fleet.
    bench.learn_fleet(near=30, far=30)
    bench.presence.announcement_received(peer('near1'), peer('near1', serial=5))
    assert not bench.links.sent_if_open


def test_nodes_that_missed_a_change_know_less():
    # Guards against comparing only the number of known nodes.
    behind = Membership(peer('n1'))
    behind.merge([peer('n2', serial=1)])
    ahead = Membership(peer('n1'))
    ahead.merge([peer('n2', serial=2)])
    assert behind.version_sum < ahead.version_sum


def test_replaced_node_loses_its_link(bench):
    # Guards against endless attempts to connect to a node that is gone.
    bench.learn_fleet(near=2, far=0)
    bench.presence.peer_replaced(NodeId('near1'), peer('near0'))
    assert bench.links.persistent == {'near0'}


def test_record_at_the_address_of_a_node_does_not_remove_that_node(bench):
    # Guards against a record of another writer that names an address in use:
    # every node forgot the node there until its announcement changed.
    bench.learn_fleet(near=2, far=0)
    present = bench.membership.peers['near1']
    invalid = peer('invalid', host=present.host, started_ms=9000)
    bench.presence.merge_announcements([invalid])
    bench.presence.peer_replaced(NodeId('invalid'), present)
    assert bench.links.persistent == {'near0', 'near1'}
    bench.presence.merge_announcements([invalid])
    assert bench.links.persistent == {'near0', 'near1'}


def test_announcement_is_encoded_with_all_its_fields():
    # Guards against a field that is lost by encoding.
    sent = messages.Announce(peer('n1', leaving=True))
    assert messages.decode(messages.encode(sent)) == sent


def test_departure_during_the_end_of_the_node_is_announced(bench):
    # Guards against a backend server that leaves while its node is shutting
    # down, and is used again by the restarted node.
    bench.backend.heartbeat_received(heartbeat(), Seconds(1))
    bench.presence.is_leaving = True
    bench.presence.refresh()
    assert not bench.membership.own.departed
    bench.backend.instance_left('i1')
    bench.presence.refresh()
    assert bench.membership.own.departed


@pytest.mark.parametrize(
    ('near', 'far', 'others'),
    # A full mesh; links within the region only; no persistent links.
    [(10, 10, 0), (60, 10, 10), (200, 10, 210)],
)
def test_all_nodes_of_the_service_are_told_of_a_crash(bench, near, far, others):
    # Guards against large fleets in which a request crashes backend servers
    # until the announcement has been relayed (issue 29).
    bench.learn_fleet(near, far)
    before = len(bench.links.sent)
    bench.presence.announce_crashes((), ())
    told = set(bench.links.sent[before:])
    assert len(told) == others
    assert len(told | bench.links.persistent) == near + far


def test_malformed_announcement_is_skipped_and_the_others_are_used(bench):
    # Guards against one malformed entry among the announcements: a link to a
    # host that does not exist, or this node's own start in the future.
    malformed = [
        peer('n2', host='nowhere'),
        peer('n1', started_ms=wall_ms() + 2 * MAX_CLOCK_LEAD_MS),
    ]
    started_ms = bench.membership.own.started_ms
    changed = bench.presence.merge_announcements([*malformed, peer('n3')])
    assert [one.node for one in changed] == ['n3']
    assert bench.membership.own.started_ms == started_ms
