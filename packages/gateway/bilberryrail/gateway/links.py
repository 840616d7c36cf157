"""Links between nodes.

A node opens a link to each target that it sends requests to. Requests go one
way over a link and their outcomes the other way, so two nodes that send to
each other have two links and never race to open one.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any, Final

from twisted.internet.protocol import Factory

from bilberryrail.core.ids import NodeId, RegionId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.records import Peer
from bilberryrail.gateway.link import Link, LinkEvents
from bilberryrail.gateway.sockets import SingleConnectionFactory
from bilberryrail.gateway.traffic import Traffic

#: Time to open a link; a round trip between regions takes 60 ms.
CONNECT_TIMEOUT_S: Final = 0.5

#: Interval at which silent links are looked at.
CHECK_INTERVAL_S: Final = 0.1

#: Pauses before a link is opened again.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2.0

#: Fleet size up to which links to all nodes are kept open, and region size up
#: to which links to all nodes of the own region are. Each costs two sockets
#: and some 20 KB; others are opened when they are needed.
MAX_PERSISTENT_LINKS: Final = 40
MAX_REGION_LINKS: Final = 160

#: Requests that wait for one link to open.
MAX_QUEUED_MESSAGES: Final = 200


class _LinkAcceptor(Factory):
    """Accepts links that other nodes open."""

    noisy = False

    def __init__(self, links: 'Links') -> None:
        self.links = links

    def buildProtocol(self, addr: Any) -> Link:  # noqa: N802
        """Accept a link."""
        return Link(self.links, None)


class OutgoingLink:
    """Link to one target, while it is opened, used and opened again."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.link: Link | None = None
        self.is_dialing = False
        self.backoff_s = MIN_BACKOFF_S
        self.queued: list[messages.Message] = []
        self.retry: Any = None

    @property
    def is_busy(self) -> bool:
        """Whether the link is open, being opened, or due to be opened."""
        is_waiting = self.retry is not None and self.retry.active()
        return self.link is not None or self.is_dialing or is_waiting


class Links:
    """All links of this node.

    Attributes
    ----------
    events
        Takes reports; set before the first link.
    outgoing
        Links that this node opens, by target.
    incoming
        Newest link that each other node has opened.
    kept
        Nodes to which links are kept open.
    is_full_mesh
        Whether these are all nodes.
    """

    def __init__(
        self,
        reactor: Any,
        node: NodeId,
        region: RegionId,
        log: Callable[..., None],
        traffic: Traffic,
    ) -> None:
        self.reactor = reactor
        self.node = node
        self.region = region
        self.traffic = traffic
        self.persistent: frozenset[NodeId] = frozenset()
        self.is_full_mesh = True
        self.events: LinkEvents | None = None
        self.log = log
        self.outgoing: dict[NodeId, OutgoingLink] = {}
        self.incoming: dict[NodeId, Link] = {}
        self.is_closed = False
        self.acceptor = _LinkAcceptor(self)
        self._check_links()

    def update_peers(self, peers: Iterable[Peer]) -> None:
        """Keep links to these nodes, if they are not too many."""
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
        """Tell whether messages to a target are sent at once."""
        outgoing = self.outgoing.get(node)
        link = outgoing.link if outgoing else None
        return link is not None and link.is_up

    def send(self, node: NodeId, message: messages.Message) -> None:
        """Send a message to a target, opening a link if there is none."""
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
        """Send an outcome to a node over the link that it opened."""
        link = self.incoming.get(node)
        if link is not None and link.is_up:
            link.send(message)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every node that a link is open to."""
        for node in self.incoming.keys() | self.outgoing.keys():
            self.send_if_open(node, message)

    def send_if_open(self, node: NodeId, message: messages.Message) -> None:
        """Send a message over whichever link to a node is open."""
        link = self.incoming.get(node)
        if link is None or not link.is_up:
            outgoing = self.outgoing.get(node)
            link = outgoing.link if outgoing else None
        if link is not None and link.is_up:
            link.send(message)

    def close(self) -> None:
        """Close all links."""
        self.is_closed = True
        for link in tuple(self.incoming.values()):
            link.transport.loseConnection()
        for outgoing in self.outgoing.values():
            if outgoing.link is not None:
                outgoing.link.transport.loseConnection()

    def link_established(self, link: Link) -> None:
        """Use a link from now on."""
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
            link.transport.loseConnection()
            return
        outgoing.link = link
        outgoing.is_dialing = False
        outgoing.backoff_s = MIN_BACKOFF_S
        self.events.opened(link)
        queued = outgoing.queued
        outgoing.queued = []
        for message in queued:
            link.send(message)

    def link_ended(self, link: Link, reason: str) -> None:
        """Note that a link is gone."""
        if link.is_outgoing:
            self._outgoing_ended(link, reason)
        elif link.peer is not None:
            if self.incoming.get(link.peer.node) is link:
                self.incoming.pop(link.peer.node)
                self.events.closed(link)

    def dial_failed(self, node: NodeId, reason: str) -> None:
        """Note that a node did not answer."""
        outgoing = self.outgoing.get(node)
        if outgoing is None:
            return
        outgoing.is_dialing = False
        outgoing.link = None
        self.events.unreachable(node)
        self._return_queued(node, outgoing)
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
        self._return_queued(link.expected, outgoing)
        self._retry_later(link.expected, outgoing)

    def _return_queued(self, node: NodeId, outgoing: OutgoingLink) -> None:
        queued = outgoing.queued
        outgoing.queued = []
        for message in queued:
            self.events.not_sent(node, message)

    def _open_now(self, node: NodeId, outgoing: OutgoingLink) -> None:
        """Open a link now unless it is being opened."""
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
        """Close a link to a node that leaves, after its last outcome."""
        link = self.outgoing[node].link
        if link is None or not link.pending:
            self._drop(node)

    def _drop(self, node: NodeId) -> None:
        outgoing = self.outgoing.pop(node)
        if outgoing.retry is not None and outgoing.retry.active():
            outgoing.retry.cancel()
        self._return_queued(node, outgoing)
        if outgoing.link is not None:
            self.events.closed(outgoing.link)
            outgoing.link.transport.loseConnection()

    def _check_links(self) -> None:
        now = self.reactor.seconds()
        for outgoing in tuple(self.outgoing.values()):
            if outgoing.link is not None and outgoing.link.is_up:
                outgoing.link.check_silence(now)
        if not self.is_closed:
            self.reactor.callLater(CHECK_INTERVAL_S, self._check_links)


def choose_persistent(
    peers: Mapping[NodeId, Peer],
    region: RegionId,
) -> frozenset[NodeId]:
    """Choose the nodes to which links are kept open."""
    if len(peers) <= MAX_PERSISTENT_LINKS:
        return frozenset(peers)
    near = frozenset(
        node for node, peer in peers.items() if peer.region == region
    )
    return near if len(near) <= MAX_REGION_LINKS else frozenset()
