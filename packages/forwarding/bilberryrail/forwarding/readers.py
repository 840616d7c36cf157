"""Which nodes of an availability zone read the store for the others."""

from collections.abc import Callable, Iterable, Sequence
from typing import Final

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.records import Peer

#: Nodes of an availability zone that read the store; two, so that one of them
#: may be down or turned away.
READERS_PER_ZONE: Final = 2

#: Size of an availability zone from which readers are chosen. In smaller ones
#: every node reads, as that saves few calls.
MIN_NODES_FOR_READERS: Final = 8


def other_nodes_in_zone(own: Peer, others: Iterable[Peer]) -> list[NodeId]:
    """Return the other nodes of a node's availability zone."""
    return [peer.node for peer in others if peer.zone == own.zone]


def has_readers(in_zone: Sequence[NodeId]) -> bool:
    """Tell whether readers are chosen among a node and those in_zone it."""
    return len(in_zone) + 1 >= MIN_NODES_FOR_READERS


def is_reader(
    own: Peer,
    others: Iterable[Peer],
    is_up: Callable[[NodeId], bool],
) -> bool:
    """Tell whether a node reads the store for its availability zone.

    Each node decides for itself: it reads unless enough linked nodes come
    before it by name. Nodes with different views choose too many readers
    rather than none.

    Parameters
    ----------
    others
        The other nodes that have not left.
    is_up
        Tells whether a link to a node is open.
    """
    in_zone = other_nodes_in_zone(own, others)
    if not has_readers(in_zone):
        return True
    before = sum(1 for node in in_zone if node < own.node and is_up(node))
    return before < READERS_PER_ZONE
