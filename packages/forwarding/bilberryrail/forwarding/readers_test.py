"""Tests of the selection of the nodes that read the store."""

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.readers import (
    MIN_NODES_FOR_READERS,
    READERS_PER_ZONE,
    is_reader,
)

NAMES = [f'n{number:02}' for number in range(12)]


def readers(names, up):
    """Return the nodes that select themselves."""
    return [
        name
        for name in names
        if is_reader(
            peer(name),
            [peer(other) for other in names if other != name],
            up.__contains__,
        )
    ]


def test_two_nodes_read_for_a_large_zone():
    # Guards against a fleet in which every node reads the store itself.
    assert readers(NAMES, set(NAMES)) == NAMES[:READERS_PER_ZONE]


def test_the_next_nodes_read_when_readers_are_down():
    # Guards against a zone that gets no updates after its readers failed.
    up = set(NAMES[2:])
    assert readers(NAMES, up)[2:] == NAMES[2:4]


def test_every_node_of_a_small_zone_reads():
    # Guards against relying on other nodes where this saves nothing.
    small = NAMES[: MIN_NODES_FOR_READERS - 1]
    assert readers(small, set(small)) == small


def test_nodes_of_other_zones_do_not_count():
    # Guards against a zone whose readers are all in another zone.
    own = peer('z9')
    others = [peer(name, zone='west') for name in NAMES]
    others += [peer(f'y{number}') for number in range(8)]
    assert is_reader(own, others, lambda node: node.startswith('n'))
