"""Random sequences of failures, after which all nodes must agree."""

import random

import pytest

from bilberryrail.control.settings import RelaySettings, SeedPeer
from bilberryrail.core.ids import NodeId, Offset
from bilberryrail.core.records import SnapshotPart

SETTINGS = RelaySettings(
    readers_per_region=2,
    children_per_parent=3,
    refresh_interval_s=60,
    snapshot_every_records=70,
    seeds=(SeedPeer('n0', 1), SeedPeer('n1', 1), SeedPeer('n9', 1)),
)
NODES = 16
STEPS = 40


def _region(number: int) -> str:
    return 'a' if number < NODES // 2 else 'b'


def _start_missing(network) -> None:
    for number in range(NODES):
        if f'n{number}' not in network.planes:
            network.start(f'n{number}', region=_region(number))


def _expire(network) -> None:
    covered = [
        record.up_to
        for record in network.log.records
        if isinstance(record, SnapshotPart)
    ]
    network.log.first = max([network.log.first, *covered])


def _fail(network, rng: random.Random) -> None:
    node = NodeId(rng.choice(sorted(network.planes)))
    match rng.choice('kill start log part region freeze thaw lose'.split()):
        case 'kill' if len(network.planes) > NODES // 2:
            network.frozen.discard(node)
            network.kill(node)
        case 'start':
            _start_missing(network)
        case 'log':
            network.log.up = not network.log.up
            _expire(network)
        case 'part':
            network.partition(not network.partitioned)
        case 'region':
            cut = [f'n{number}' for number in range(NODES // 2)]
            network.log.unreachable ^= set(cut)
        case 'freeze':
            network.frozen.add(node)
        case 'thaw':
            network.frozen.clear()
        case 'lose':
            network.log.lose_answers = rng.randrange(4)


def _restore(network) -> None:
    network.frozen.clear()
    network.partition(False)
    network.log.up = True
    network.log.unreachable = set()
    network.log.lose_answers = 0
    _start_missing(network)
    network.run(100)


@pytest.mark.parametrize('seed', range(6))
def test_nodes_agree_after_random_failures(make_network, seed):
    """Guards against failures that only occur in unforeseen combinations."""
    rng = random.Random(seed)
    network = make_network(SETTINGS)
    _start_missing(network)
    network.run(20)
    applied: dict[object, Offset] = {}
    for _ in range(STEPS):
        _fail(network, rng)
        network.run(rng.choice([0.3, 1, 5, 20]))
        for plane in network.planes.values():
            assert plane.state.offset >= applied.get(plane, -1)
            applied[plane] = plane.state.offset
    _restore(network)
    assert network.offsets() == {network.log.end}
    _assert_agree(network)


def _assert_agree(network) -> None:
    alive = {plane.parts.own for plane in network.planes.values()}
    for plane in network.planes.values():
        known = plane.state.members.values()
        assert {announcement.member for announcement in known} == alive
        assert plane.caught_up
        assert not plane.unlogged
        report = plane.status(network.now)
        assert sum(zone.nodes for zone in report.values()) == NODES
