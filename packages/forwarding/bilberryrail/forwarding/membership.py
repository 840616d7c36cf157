"""Nodes that this node knows of."""

from collections.abc import Iterable
from ipaddress import AddressValueError, IPv4Address
from typing import Final

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.records import Peer

_MS_PER_S: Final = 1000

#: Limit on the changes of one incarnation that ``version_sum``
#: distinguishes, so that a later start always outweighs them.
_MAX_CHANGES: Final = 1000

#: Number of characters of an invalid host that are shown.
_MAX_SHOWN: Final = 40


class Membership:
    """The newest announcement of each node.

    Announcements arrive from the store and over links, in any order. The newer
    announcement of a node replaces the older one.

    Attributes
    ----------
    own
        Announcement of this node.
    peers
        Announcements of all known nodes, including this one.
    forgotten
        Newest announcements of nodes whose address another node has taken over.
    """

    def __init__(self, own: Peer) -> None:
        self.own = own
        self.peers: dict[NodeId, Peer] = {own.node: own}
        self.forgotten: dict[NodeId, Peer] = {}

    def announce(self, own: Peer) -> None:
        """Replace this node's announcement."""
        self.own = own
        self.peers[own.node] = own

    def merge(self, peers: Iterable[Peer]) -> list[Peer]:
        """Add newer announcements of other nodes, and return these."""
        newer = [peer for peer in peers if self._is_newer(peer)]
        for peer in newer:
            for older in self._at_address(peer):
                self.forget(older.node)
            self.forgotten.pop(peer.node, None)
            self.peers[peer.node] = peer
        return newer

    @property
    def version_sum(self) -> int:
        """Sum of all announcements' versions, to compare with other nodes."""
        return sum(
            peer.started_ms // _MS_PER_S * _MAX_CHANGES
            + min(peer.serial + 1, _MAX_CHANGES - 1)
            for peer in self.peers.values()
        )

    def all(self) -> list[Peer]:
        """Return all known nodes, including this one and leaving ones."""
        return list(self.peers.values())

    def others(self) -> list[Peer]:
        """Return the other nodes that are not leaving."""
        return [
            peer
            for peer in self.peers.values()
            if peer.node != self.own.node and not peer.leaving
        ]

    def forget(self, node: NodeId) -> None:
        """Remove a node whose address another node has taken over."""
        known = self.peers.pop(node, None)
        if known is not None:
            self.forgotten[node] = known

    def restore(self, node: NodeId) -> None:
        """Accept the announcement of a forgotten node again.

        A node that answers at its address is there, whatever others have
        announced.
        """
        self.forgotten.pop(node, None)

    def _is_newer(self, peer: Peer) -> bool:
        own = self.own
        is_own_address = (peer.host, peer.port) == (own.host, own.port)
        if peer.node == own.node or is_own_address:
            return False
        known = self.peers.get(peer.node) or self.forgotten.get(peer.node)
        if known is not None and not peer.is_newer_than(known):
            return False
        return not any(
            other.started_ms > peer.started_ms
            for other in self._at_address(peer)
        )

    def _at_address(self, peer: Peer) -> list[Peer]:
        """Return other nodes that are announced at the same address."""
        return [
            other
            for other in self.peers.values()
            if (other.host, other.port) == (peer.host, peer.port)
            and other.node != peer.node
        ]


def rejection_reason(peer: Peer, now_ms: int) -> str | None:
    """Return why an announcement cannot be used; None if it can.

    Anybody may write to the topic of the announcements, so one may be readable
    and still not be of a node.

    Parameters
    ----------
    now_ms
        Unix time, in milliseconds.
    """
    if not peer.node:
        return 'it names no node'
    if peer.started_ms > now_ms + MAX_CLOCK_LEAD_MS:
        return f'it starts in the future, at {peer.started_ms} ms'
    try:
        IPv4Address(peer.host)
    except AddressValueError:
        return f'its host is no IPv4 address: {peer.host[:_MAX_SHOWN]!r}'
    return None
