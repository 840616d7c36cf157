"""Selection of the nodes that read the store for an availability zone."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from bilberryrail.core.ids import AvailabilityZoneId, NodeId
from bilberryrail.forwarding.records import Peer

#: Nodes of an availability zone that read the store. There are two, because one
#: of them may be down, or the store may refuse its calls.
READERS_PER_ZONE: Final = 2

#: Size of an availability zone from which readers are selected. In smaller
#: zones every node reads, because readers would save only a few calls.
MIN_NODES_FOR_READERS: Final = 8


def other_nodes_in_zone(own: Peer, others: Iterable[Peer]) -> list[NodeId]:
    """Return the other nodes of a node's availability zone."""
    return [peer.node for peer in others if peer.zone == own.zone]


def has_readers(in_zone: Sequence[NodeId]) -> bool:
    """Return whether readers are selected in a node's availability zone.

    Parameters
    ----------
    in_zone
        The other nodes of the zone.
    """
    return len(in_zone) + 1 >= MIN_NODES_FOR_READERS


def expected_readers(peers: Iterable[Peer]) -> list[NodeId]:
    """Return the nodes that read the store if all links are open, by name."""
    by_zone: dict[AvailabilityZoneId, list[NodeId]] = {}
    for peer in peers:
        by_zone.setdefault(peer.zone, []).append(peer.node)
    readers: list[NodeId] = []
    for nodes in by_zone.values():
        selects = len(nodes) >= MIN_NODES_FOR_READERS
        readers += sorted(nodes)[:READERS_PER_ZONE] if selects else nodes
    return sorted(readers)


def is_reader(
    own: Peer,
    others: Iterable[Peer],
    is_up: Callable[[NodeId], bool],
) -> bool:
    """Return whether a node reads the store for its availability zone.

    Each node decides for itself: it reads unless enough linked nodes of its
    zone have a name that sorts before its own. If the nodes' views differ,
    the zone has too many readers rather than none.

    Parameters
    ----------
    others
        The other nodes that are not leaving.
    is_up
        Returns whether the link to a node is open.
    """
    in_zone = other_nodes_in_zone(own, others)
    if not has_readers(in_zone):
        return True
    before = sum(1 for node in in_zone if node < own.node and is_up(node))
    return before < READERS_PER_ZONE
