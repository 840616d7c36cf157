"""Nodes that this node knows of."""

from collections.abc import Iterable

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.records import Peer


class Membership:
    """The newest announcement of each node.

    Announcements come from the store and over links, in any order; the newer
    one of a node always wins.

    Attributes
    ----------
    own
        Announcement of this node.
    """

    def __init__(self, own: Peer) -> None:
        self.own = own
        self.peers: dict[NodeId, Peer] = {own.node: own}

    def announce(self, own: Peer) -> None:
        """Replace this node's announcement."""
        self.own = own
        self.peers[own.node] = own

    def learn(self, peers: Iterable[Peer]) -> list[Peer]:
        """Take announcements; return those that are news about others."""
        news = [peer for peer in peers if self._is_news(peer)]
        for peer in news:
            self.peers[peer.node] = peer
        return news

    def all(self) -> list[Peer]:
        """Return every known node, this one and those that left included."""
        return list(self.peers.values())

    def others(self) -> list[Peer]:
        """Return the other nodes that have not left."""
        return [
            peer
            for peer in self.peers.values()
            if peer.node != self.own.node and not peer.leaving
        ]

    def _is_news(self, peer: Peer) -> bool:
        if peer.node == self.own.node:
            return False
        known = self.peers.get(peer.node)
        return known is None or peer.is_newer_than(known)
