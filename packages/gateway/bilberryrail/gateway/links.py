"""Links between nodes.

A node opens a link to each target that it sends requests to. Requests travel
over a link in one direction and their outcomes in the other. Two nodes that
send requests to each other therefore use two links, so that it does not matter
which of them connects first.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any, Final

from twisted.internet.protocol import Factory

from bilberryrail.core.ids import NodeId, RegionId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.records import Peer
from bilberryrail.gateway.link import Link, LinkEvents
from bilberryrail.gateway.memory_budget import MemoryBudget
from bilberryrail.gateway.sockets import (
    SingleConnectionFactory,
    unsent_bytes,
)
from bilberryrail.gateway.tasks import PeriodicTask
from bilberryrail.gateway.traffic import Traffic

#: Timeout for opening a link, in seconds; a round trip between regions takes
#: 60 ms.
CONNECT_TIMEOUT_S: Final = 0.5

#: Interval at which links are checked for silence, in seconds.
CHECK_INTERVAL_S: Final = 0.1

#: Delay of such a check from which on this process itself was paused, in seconds.
MIN_PAUSE_S: Final = 0.1

#: Bounds of the exponential backoff before a link is opened again, in seconds.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2.0

#: Number of other nodes up to which links to all of them are kept open, and
#: number of other nodes in this node's region up to which links to those are.
#: Each link costs two sockets and about 20 KB; further links are opened on
#: demand.
MAX_PERSISTENT_LINKS: Final = 40
MAX_REGION_LINKS: Final = 160

#: Messages that may wait for one link to open; more are returned as not sent.
MAX_QUEUED_MESSAGES: Final = 200


#: Maximum size of the incomplete messages of all links together, in bytes. The
#: smallest hosts have 200 MB of memory, and a message is copied up to four times
#: once it is complete.
MAX_INCOMPLETE_BYTES: Final = 50_331_648


class _LinkAcceptor(Factory):
    """Factory for the links that other nodes open."""

    noisy = False

    def __init__(self, links: 'Links') -> None:
        self.links = links

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        """Create the protocol of an accepted link."""
        return Link(self.links, None)


class OutgoingLink:
    """Link to one target, across reconnections.

    Attributes
    ----------
    queued
        Messages that wait until the link is open.
    retry
        Timer of the next connection attempt.
    """

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.link: Link | None = None
        self.is_dialing = False
        self.backoff_s = MIN_BACKOFF_S
        self.queued: list[messages.Message] = []
        self.retry: Any = None

    @property
    def is_busy(self) -> bool:
        """Whether the link is open, being opened, or waits for a retry."""
        is_waiting = self.retry is not None and self.retry.active()
        return self.link is not None or self.is_dialing or is_waiting


class Links:
    """All links of this node.

    Attributes
    ----------
    events
        Receives the events of all links; set before the first link opens.
    outgoing
        Links that this node opens, by target node.
    incoming
        The newest link that each other node has opened.
    persistent
        Nodes to which links are kept open.
    is_full_mesh
        Whether links are kept open to all nodes.
    checked_at
        Time of the last check for silent links.
    """

    def __init__(
        self,
        reactor: Any,
        node: NodeId,
        region: RegionId,
        log: Callable[..., None],
        traffic: Traffic,
        budget: MemoryBudget,
    ) -> None:
        self.reactor = reactor
        self.node = node
        self.region = region
        self.traffic = traffic
        self.budget = budget
        self.persistent: frozenset[NodeId] = frozenset()
        self.is_full_mesh = True
        self.events: LinkEvents | None = None
        self.log = log
        self.outgoing: dict[NodeId, OutgoingLink] = {}
        self.incoming: dict[NodeId, Link] = {}
        self.is_closed = False
        self.checked_at: float = reactor.seconds()
        self.acceptor = _LinkAcceptor(self)
        self.silence_check = PeriodicTask(
            reactor, CHECK_INTERVAL_S, self._check_links, log
        )
        self.silence_check.start()

    def update_peers(self, peers: Iterable[Peer]) -> None:
        """Set the nodes that this node may have links to.

        Opens the persistent links, and drops unused links to other nodes.
        """
        wanted = {peer.node: peer for peer in peers}
        for node in self.outgoing.keys() - wanted.keys():
            self._drop_when_unused(node)
        self.is_full_mesh = len(wanted) <= MAX_PERSISTENT_LINKS
        self.persistent = choose_persistent(wanted, self.region)
        for node, peer in wanted.items():
            outgoing = self.outgoing.get(node)
            if outgoing is None:
                outgoing = OutgoingLink(peer)
                self.outgoing[node] = outgoing
            elif outgoing.peer.incarnation != peer.incarnation:
                outgoing.backoff_s = MIN_BACKOFF_S
                self._open_now(node, outgoing)
            outgoing.peer = peer
            if node in self.persistent and not outgoing.is_busy:
                self._dial(node, outgoing)

    def is_up(self, node: NodeId) -> bool:
        """Return whether the link to a target is open."""
        outgoing = self.outgoing.get(node)
        link = outgoing.link if outgoing else None
        return link is not None and link.is_up

    def send(self, node: NodeId, message: messages.Message) -> None:
        """Send a message to a target, opening a link if there is none.

        While the link opens, messages wait in a queue; a cancellation removes
        its request from the queue.
        """
        outgoing = self.outgoing.get(node)
        if outgoing is None:
            self.events.not_sent(node, message)
        elif outgoing.link is not None and outgoing.link.is_up:
            outgoing.link.send(message)
        elif isinstance(message, messages.Cancel):
            outgoing.queued = [
                one
                for one in outgoing.queued
                if getattr(one, 'attempt', None) != message.attempt
            ]
        elif len(outgoing.queued) >= MAX_QUEUED_MESSAGES:
            self.events.not_sent(node, message)
        else:
            outgoing.queued.append(message)
            self._open_now(node, outgoing)

    def reply(self, node: NodeId, message: messages.Message) -> None:
        """Send an outcome to a node over the link that the node opened.

        The outcome is dropped if that link is closed.
        """
        link = self.incoming.get(node)
        if link is not None and link.is_up:
            link.send(message)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every node to which a link is open."""
        for node in self.incoming.keys() | self.outgoing.keys():
            self.send_if_open(node, message)

    def send_if_open(self, node: NodeId, message: messages.Message) -> None:
        """Send a message over any open link to a node, or drop it."""
        link = self.incoming.get(node)
        if link is None or not link.is_up:
            outgoing = self.outgoing.get(node)
            link = outgoing.link if outgoing else None
        if link is not None and link.is_up:
            link.send(message)

    def close(self) -> None:
        """Close all links."""
        self.is_closed = True
        self.silence_check.stop()
        for link in tuple(self.incoming.values()):
            link.close()
        for outgoing in self.outgoing.values():
            if outgoing.link is not None:
                outgoing.link.close()

    def link_established(self, link: Link) -> None:
        """Register a link after the exchange of Hello.

        A newer incoming link replaces an older one of the same node. Queued
        messages are sent over a new outgoing link.
        """
        node = link.peer.node
        if not link.is_outgoing:
            older = self.incoming.pop(node, None)
            if older is not None:
                older.transport.abortConnection()
                self.events.closed(older)
            self.incoming[node] = link
            self.events.opened(link)
            return
        outgoing = self.outgoing.get(node)
        if outgoing is None:
            link.close()
            return
        outgoing.link = link
        outgoing.is_dialing = False
        outgoing.backoff_s = MIN_BACKOFF_S
        self.events.opened(link)
        queued = outgoing.queued
        outgoing.queued = []
        for message in queued:
            link.send(message)

    def large_part_received(self) -> None:
        """Limit the incomplete messages of all links together."""
        limit_memory(self)

    def link_ended(self, link: Link, reason: str) -> None:
        """Remove a closed link; schedule a retry for an outgoing one."""
        if link.is_outgoing:
            self._outgoing_ended(link, reason)
        elif link.peer is not None:
            if self.incoming.get(link.peer.node) is link:
                self.incoming.pop(link.peer.node)
                self.events.closed(link)

    def dial_failed(self, node: NodeId, reason: str) -> None:
        """Return queued messages and schedule a retry of the connection."""
        outgoing = self.outgoing.get(node)
        if outgoing is None:
            return
        outgoing.is_dialing = False
        outgoing.link = None
        self.events.unreachable(node)
        _return_queued(self, node, outgoing)
        self._retry_later(node, outgoing)

    def _outgoing_ended(self, link: Link, reason: str) -> None:
        outgoing = self.outgoing.get(link.expected)
        if outgoing is None or outgoing.link not in {link, None}:
            return
        was_used = outgoing.link is link
        outgoing.link = None
        outgoing.is_dialing = False
        if was_used:
            self.log('link_lost', peer=link.expected, reason=reason)
            self.events.closed(link)
        else:
            self.events.unreachable(link.expected)
        _return_queued(self, link.expected, outgoing)
        self._retry_later(link.expected, outgoing)

    def _open_now(self, node: NodeId, outgoing: OutgoingLink) -> None:
        """Open a link now, without waiting for its backoff to end."""
        if outgoing.link is None and not outgoing.is_dialing:
            self._dial(node, outgoing)

    def _dial(self, node: NodeId, outgoing: OutgoingLink) -> None:
        if self.is_closed:
            return
        if outgoing.retry is not None and outgoing.retry.active():
            outgoing.retry.cancel()
        outgoing.is_dialing = True
        self.reactor.connectTCP(
            outgoing.peer.host,
            outgoing.peer.port,
            SingleConnectionFactory(
                Link(self, node), partial(self.dial_failed, node)
            ),
            timeout=CONNECT_TIMEOUT_S,
        )

    def _retry_later(self, node: NodeId, outgoing: OutgoingLink) -> None:
        if self.is_closed or self.outgoing.get(node) is not outgoing:
            return
        outgoing.retry = self.reactor.callLater(
            outgoing.backoff_s,
            self._retry,
            node,
            outgoing,
        )
        outgoing.backoff_s = min(outgoing.backoff_s * 2, MAX_BACKOFF_S)

    def _retry(self, node: NodeId, outgoing: OutgoingLink) -> None:
        is_current = self.outgoing.get(node) is outgoing
        if is_current and not outgoing.is_dialing and outgoing.link is None:
            self._dial(node, outgoing)

    def _drop_when_unused(self, node: NodeId) -> None:
        """Drop the link to a node unless it still owes outcomes."""
        link = self.outgoing[node].link
        if link is None or not link.pending:
            self._drop(node)

    def _drop(self, node: NodeId) -> None:
        outgoing = self.outgoing.pop(node)
        if outgoing.retry is not None and outgoing.retry.active():
            outgoing.retry.cancel()
        _return_queued(self, node, outgoing)
        if outgoing.link is not None:
            self.events.closed(outgoing.link)
            outgoing.link.close()

    def _check_links(self) -> None:
        """Check for silent links, without the time of a pause of this process.

        What peers have sent in such a pause has not been read yet.
        """
        now = self.reactor.seconds()
        late_s = now - self.checked_at - CHECK_INTERVAL_S
        paused_s = late_s if late_s > MIN_PAUSE_S else 0
        self.checked_at = now
        for outgoing in tuple(self.outgoing.values()):
            if outgoing.link is not None and outgoing.link.is_up:
                outgoing.link.received_at += paused_s
                outgoing.link.check_silence(now)


def is_sending(links: Links) -> bool:
    """Return whether parts of messages have not been sent yet."""
    return any(unsent_bytes(link.transport) for link in _open_links(links))


def limit_memory(links: Links) -> None:
    """Close the link with the largest incomplete message beyond the limit.

    A faulty peer may send bytes without end, or many may send large answers at
    once. Without a limit, the process would exceed its memory.
    """
    found = _open_links(links)
    total = sum(link.held_bytes for link in found)
    if total > MAX_INCOMPLETE_BYTES:
        largest = max(found, key=lambda link: link.held_bytes)
        largest.reject(f'incomplete messages total {total} bytes')


def _open_links(links: Links) -> list[Link]:
    """Return the links in both directions that are not being opened."""
    dialled = (outgoing.link for outgoing in links.outgoing.values())
    established = [link for link in dialled if link is not None]
    return [*links.incoming.values(), *established]


def _return_queued(links: Links, node: NodeId, outgoing: OutgoingLink) -> None:
    """Return the messages that wait for a link that cannot be opened."""
    queued = outgoing.queued
    outgoing.queued = []
    for message in queued:
        links.events.not_sent(node, message)


def choose_persistent(
    peers: Mapping[NodeId, Peer],
    region: RegionId,
) -> frozenset[NodeId]:
    """Choose the nodes to which links are kept open."""
    if len(peers) <= MAX_PERSISTENT_LINKS:
        return frozenset(peers)
    same_region = frozenset(
        node for node, peer in peers.items() if peer.region == region
    )
    return same_region if len(same_region) <= MAX_REGION_LINKS else frozenset()
