"""Behaviour of a network of control planes when parts of it fail."""

from dataclasses import replace

from bilberryrail.control import messages
from bilberryrail.control.announcer import LEAVE_DELAY_S
from bilberryrail.control.directory import hash_of
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import Incarnation, NodeId, Offset
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    Change,
    ClusterState,
    Evict,
    Join,
    SnapshotPart,
    Verdict,
)


def _change(name: str, base: int = 0) -> Change:
    zone = AvailabilityZoneConfig(zone=name, region='a')
    return Change(name, Offset(base), 'board', (AvailabilityZoneEdit(zone),))


def _names(first: int, last: int) -> list[str]:
    return [f'n{number}' for number in range(first, last)]


def _assert_agree(network) -> None:
    assert network.offsets() == {network.log.end}
    members = {
        frozenset(plane.state.members) for plane in network.planes.values()
    }
    assert members == {frozenset(network.planes)}


def test_all_nodes_agree_and_few_read_the_log(network):
    """Guards against nodes that lag, and against all nodes reading the log."""
    _assert_agree(network)
    assert all(plane.caught_up for plane in network.planes.values())
    assert len(network.readers('a')) == len(network.readers('b')) == 2
    reading = [plane.parts.log.outstanding for plane in network.planes.values()]
    assert sum(reading) == 4


def test_change_reaches_all_within_seconds(network):
    """Guards against a change that is not in force everywhere in time."""
    change = _change('b0', network.log.end)
    network.hand_event('n7', messages.AppendRequested(change))
    network.run(2)
    outcomes = [
        plane.outcome(change.record_id) for plane in network.planes.values()
    ]
    assert {outcome.verdict for outcome in outcomes} == {Verdict.ACCEPTED}


def test_status_counts_each_node_once(network):
    """Guards against nodes missing or counted twice in summaries."""
    for plane in network.planes.values():
        report = plane.status(network.now)
        assert sum(zone.nodes for zone in report.values()) == 20
        assert min(zone.lowest for zone in report.values()) > 0
        assert max(zone.age_s for zone in report.values()) < 10


def test_summary_of_a_former_parent_is_not_stored_as_a_child_report(network):
    """Guards against two nodes that keep counting each other's subtrees."""
    last = max(_names(0, 20), key=hash_of)
    plane = network.planes[last]
    region = plane.parts.own.region
    former = next(
        node
        for node, other in network.planes.items()
        if other.parts.own.region == region
        and node != last
        and not plane.parts.sources.is_source(node)
    )
    report = network.planes[former].status(network.now)
    network.hand_event(last, messages.StatusReceived(former, report))
    assert not plane.parts.board.children


def test_report_of_a_child_is_limited_to_its_region(network):
    """Guards against old summaries of a region that replace newer ones."""
    first = min(_names(0, 20), key=hash_of)
    plane = network.planes[first]
    region = plane.parts.own.region
    child = max(
        (
            node
            for node, other in network.planes.items()
            if other.parts.own.region == region
        ),
        key=hash_of,
    )
    report = plane.status(network.now)
    assert {zone.region for zone in report.values()} == {'a', 'b'}
    network.hand_event(first, messages.StatusReceived(child, report))
    subtree = plane.parts.board.children[child].report
    assert {zone.region for zone in subtree.values()} == {region}


def test_draining_node_stays_a_member_until_the_leave_delay(network):
    """Guards against reservations whose node has left before it is asked."""
    network.hand_event('n5', messages.DrainRequested())
    network.run(LEAVE_DELAY_S / 2)
    assert 'n5' in network.planes['n1'].state.members
    network.run(LEAVE_DELAY_S + 2)
    assert 'n5' not in network.planes['n1'].state.members


def test_dead_reader_is_replaced_and_evicted(network):
    """Guards against a region without a reader, and a dead member kept."""
    victim = network.readers()[0]
    network.kill(victim)
    network.append(_change('c0', network.log.end))
    network.run(5)
    assert network.offsets() == {network.log.end}
    network.run(90)
    assert len(network.readers()) == 2
    assert network.events('evicted')
    _assert_agree(network)


def test_children_of_a_frozen_parent_choose_another(network):
    """Guards against children that keep waiting for a silent parent."""
    parents = [plane.parts.sources.first for plane in network.planes.values()]
    frozen = next(parent for parent in parents if parent is not None)
    network.frozen.add(frozen)
    network.append(_change('c0', network.log.end))
    network.run(6)
    network.planes.pop(frozen)
    assert network.offsets() == {network.log.end}
    for plane in network.planes.values():
        assert not plane.parts.sources.is_source(frozen)


def test_record_is_sent_by_one_parent(network):
    """Guards against duplicate records, and against a child without records."""
    network.run(40)
    children = [
        plane
        for plane in network.planes.values()
        if plane.caught_up and not plane.parts.placement.is_reader
    ]
    for plane in children:
        own = plane.parts.own.node
        first, *others = plane.parts.sources.chosen
        waiting = [
            network.planes[source].parts.relay.subscribers[own].heartbeats_only
            for source in (first, *others)
        ]
        assert waiting == [False, *[True for _ in others]]
    assert any(len(plane.parts.sources.chosen) == 2 for plane in children)


def test_join_while_log_is_down(network):
    """Guards against a node that cannot join, or is evicted, in an outage."""
    network.log.up = False
    network.run(300)
    assert not network.events('evicted')
    network.start('late')
    network.run(20)
    assert network.planes[NodeId('late')].caught_up
    assert all('late' in plane.unlogged for plane in network.planes.values())
    network.log.up = True
    network.run(120)
    _assert_agree(network)
    assert not any(plane.unlogged for plane in network.planes.values())
    assert not network.events('evicted')


def test_append_with_a_lost_answer_is_applied_once(network):
    """Guards against a record that is lost, or applied twice, after a retry."""
    network.log.lose_answers = 3
    change = _change('c0', network.log.end)
    network.hand_event('n3', messages.AppendRequested(change))
    network.start('late')
    network.run(15)
    _assert_agree(network)
    verdict = network.planes[NodeId('n5')].outcome(change.record_id).verdict
    assert verdict is Verdict.ACCEPTED


def test_old_change_is_given_up(network):
    """Guards against a change that takes effect long after it was confirmed."""
    change = _change('c0', network.log.end)
    network.log.up = False
    network.hand_event('n3', messages.AppendRequested(change))
    network.run(30)
    network.log.up = True
    network.run(60)
    assert change not in network.log.records
    assert network.events('change_given_up') == ['n3']


def test_fresh_node_without_seeds_after_records_expired(make_network):
    """Guards against a node that cannot start once old records are gone."""
    settings = RelaySettings(snapshot_every_records=40, refresh_interval_s=20)
    network = make_network(settings)
    network.start(*_names(0, 6))
    network.run(200)
    assert network.events('snapshot_appended')
    covered = [getattr(record, 'up_to', -1) for record in network.log.records]
    network.log.first = max(covered) + 1
    network.start('late')
    network.run(10)
    assert network.events('snapshot_used') == ['late']
    _assert_agree(network)


def test_small_site_keeps_a_snapshot(make_network):
    """Guards against a site whose few records never reach the next snapshot.

    Its log still drops old records, so that a new node without responsive
    peers could not start.
    """
    network = make_network(RelaySettings(snapshot_interval_s=20))
    network.start(*_names(0, 4))
    network.run(70)
    parts = [
        record
        for record in network.log.records
        if isinstance(record, SnapshotPart)
    ]
    # The timer appends one, and no further one while no record follows it.
    assert len(parts) == 1
    network.append(_change('c1'))
    network.run(30)
    assert len(network.events('snapshot_appended')) == 2
    network.log.first = len(network.log.records) - 1
    network.start('late')
    network.run(10)
    assert network.events('snapshot_used') == ['late']
    _assert_agree(network)


def test_expired_records_without_snapshot(network):
    """Guards against a reader that is stuck without records or a snapshot."""
    reader = network.readers()[0]
    network.partition(True)
    network.log.unreachable = {reader}
    network.frozen.add(reader)
    network.run(3)
    network.append(*[_change(f'z{number}', 0) for number in range(10)])
    network.run(2)
    network.log.first = network.log.end
    network.log.unreachable = set()
    network.frozen.clear()
    network.partition(False)
    network.run(10)
    assert network.offsets() == {network.log.end}


def test_region_without_log_gets_records_from_another(network):
    """Guards against a region left behind when it cannot reach the log."""
    network.log.unreachable = {NodeId(name) for name in _names(10, 20)}
    network.run(5)
    network.append(_change('c0', network.log.end))
    network.run(5)
    assert network.offsets() == {network.log.end}


def test_first_reader_without_log_gets_records_from_a_peer(network):
    """Guards against a first reader that lags when only it loses the log."""
    first = network.planes[NodeId('n0')].parts.directory.readers('a')[0].node
    network.partition(True)
    network.log.unreachable = {first}
    network.run(5)
    network.append(_change('c0', network.log.end))
    network.run(5)
    assert network.planes[first].state.offset == network.log.end


def test_unreachable_region_is_listed_with_its_age(network):
    """Guards against an unreachable region that vanishes from the status."""
    network.log.unreachable = {NodeId(name) for name in _names(10, 20)}
    network.partition(True)
    network.run(60)
    network.append(_change('c0', network.log.end))
    network.run(2)
    report = network.planes[NodeId('n4')].status(network.now)
    ages = {zone: status.age_s for zone, status in report.items()}
    assert min(ages['b0'], ages['b1']) > 50
    assert max(ages['a0'], ages['a1']) < 10
    network.log.unreachable = set()
    network.partition(False)
    network.run(60)
    assert network.offsets() == {network.log.end}


def test_restarted_node_replaces_the_old_one(network):
    """Guards against calls sent to an incarnation that no longer runs."""
    old = network.planes[NodeId('n5')].parts.own
    network.hand_event('n5', messages.DrainRequested())
    network.run(2)
    leaving = [plane.leaving for plane in network.planes.values()]
    assert all('n5' in nodes for nodes in leaving)
    network.kill('n5')
    network.start('n5')
    network.run(10)
    _assert_agree(network)
    for plane in network.planes.values():
        assert plane.state.members['n5'].member.incarnation != old.incarnation
        assert 'n5' not in plane.leaving


def test_unlogged_incarnation_that_died_is_forgotten(network):
    """Guards against an unlogged announcement that outlives its node."""
    network.log.up = False
    network.start('late')
    network.run(20)
    died = network.planes[NodeId('late')].parts.own
    network.kill('late')
    network.log.up = True
    network.start('late')
    network.run(20)
    _assert_agree(network)
    assert not any(plane.unlogged for plane in network.planes.values())
    unseen = replace(died, incarnation=Incarnation(7))
    late = messages.RecordsReceived(NodeId('n4'), (), Offset(0), (unseen,))
    network.hand_event('n3', late)
    assert 'late' in network.planes[NodeId('n3')].unlogged
    network.run(5)
    assert not any(plane.unlogged for plane in network.planes.values())


def test_concurrent_refresh_prevents_or_undoes_an_eviction(network):
    """Guards against an eviction that removes a live member for good."""
    plane = network.planes[NodeId('n5')]
    before = plane.state.members['n5']
    evict = Evict('e', 'n5', before.member.incarnation, before.last_seen)
    network.append(Join('j', before.member), evict)
    network.run(1)
    assert 'n5' in plane.state.members
    seen = plane.state.members['n5'].last_seen
    network.append(Evict('f', 'n5', before.member.incarnation, seen))
    network.run(5)
    assert network.events('announced_again') == ['n5']
    _assert_agree(network)


def test_nodes_without_log_are_not_caught_up(make_network):
    """Guards against serving from an empty state when the log is down."""
    network = make_network()
    network.log.up = False
    network.start('n0', 'n1', 'n2')
    network.run(30)
    assert not any(plane.caught_up for plane in network.planes.values())
    network.log.up = True
    network.run(15)
    _assert_agree(network)


def test_entries_out_of_order_are_applied_once(network):
    """Guards against gaps, and against going back to a lower offset."""
    plane = network.planes[NodeId('n7')]
    parent = plane.parts.sources.first
    end = network.log.end
    network.append(_change('c0', end), _change('c1', end))
    late = network.log.read(end + 2).entries
    network.hand_event(
        'n7', messages.RecordsReceived(parent, late, Offset(end))
    )
    assert plane.state.offset == end
    network.hand_event('n7', messages.StateReceived(parent, ClusterState()))
    assert plane.state.offset == end
    network.run(3)
    assert network.offsets() == {network.log.end}
