"""Links to other nodes, and the messages sent when one opens."""

from collections.abc import Iterator

from bilberryrail.control.messages import ControlAction, SendDraining
from bilberryrail.control.parts import Parts
from bilberryrail.core.ids import NodeId, Seconds
from bilberryrail.core.records import Member


class Links:
    """Tracks links, subscribes to sources and announces a drain to peers."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self._has_unlogged: set[NodeId] = set()

    def link_up(self, member: Member) -> Iterator[ControlAction]:
        """Handle a link that has opened, whichever side opened it."""
        self.parts.sources.link_up(member)
        self.parts.membership.link_up(member)
        if self.parts.announcer.draining:
            yield SendDraining(member.node)

    def link_down(self, peer: NodeId, now: Seconds) -> None:
        """Remove the peer of a broken link from all parts."""
        self.parts.sources.link_down(peer, now)
        self.parts.relay.drop(peer)
        self.parts.board.remove_peer(peer)
        self._has_unlogged.discard(peer)

    def drain(self, now: Seconds) -> Iterator[ControlAction]:
        """Start to drain, and notify every node with an open link at once."""
        own = self.parts.own
        self.parts.membership.mark_leaving(own.node, own.incarnation)
        yield from self.parts.announcer.drain(
            self.parts.replica.state,
            now,
        )
        for peer in self.parts.sources.open_links:
            yield SendDraining(peer)

    def subscribe(self, now: Seconds) -> Iterator[ControlAction]:
        """Subscribe to sources, and send unlogged announcements to new ones."""
        sources = self.parts.sources
        replica = self.parts.replica
        if not replica.caught_up or not self.parts.log.available:
            yield from sources.open_seeds(now)
        for action in sources.subscribe(replica.state.offset, now):
            yield action
            yield from self._send_unlogged(action.peer)

    def _send_unlogged(self, peer: NodeId) -> Iterator[ControlAction]:
        if peer in self._has_unlogged or not self.parts.replica.caught_up:
            return
        self._has_unlogged.add(peer)
        unlogged = tuple(self.parts.membership.unlogged.values())
        yield from self.parts.relay.send_unlogged((peer,), unlogged)
