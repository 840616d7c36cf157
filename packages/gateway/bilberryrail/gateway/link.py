"""One connection to another node."""

from collections.abc import Callable
from typing import Any, Final
from typing import Protocol as Interface

from twisted.protocols.basic import Int32StringReceiver

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.records import Peer
from bilberryrail.gateway import sockets
from bilberryrail.gateway.compression import (
    CompressionError,
    Compressor,
    Decompressor,
)
from bilberryrail.gateway.traffic import Place, Traffic

#: Room for the largest body that clients may send and its headers.
MAX_MESSAGE_BYTES: Final = 100_663_296

#: Room for a Hello, the only message that a stranger may send.
MAX_HELLO_BYTES: Final = 16_384

#: Time to exchange Hello.
HELLO_TIMEOUT_S: Final = 1.0

#: Interval at which the round trip of a link is measured.
ROUND_TRIP_INTERVAL_S: Final = 15.0

#: Silence, while outcomes are due, after which a sign of life is asked for.
PING_AFTER_S: Final = 0.25

#: Silence, while outcomes are due, after which the peer is avoided.
SUSPECT_AFTER_S: Final = 0.6

#: Silence, while outcomes are due, after which the link is given up. Lost
#: packets are sent again within about a second.
LOST_AFTER_S: Final = 1.5


class LinkEvents(Interface):
    """What links report to."""

    def make_hello(self, expected: NodeId) -> messages.Hello:
        """Build the first message of a link."""

    def peer_replaced(self, node: NodeId) -> None:
        """Note that another node has the address of a peer."""

    def received(self, link: 'Link', message: messages.Message) -> None:
        """Handle a message."""

    def opened(self, link: 'Link') -> None:
        """Note a link that can be used."""

    def closed(self, link: 'Link') -> None:
        """Note a link that is gone."""

    def unreachable(self, node: NodeId) -> None:
        """Note that no link to a peer can be opened now."""

    def suspected(self, node: NodeId) -> None:
        """Note that a peer owes answers for long."""

    def round_trip_measured(self, peer: Peer, round_trip_s: float) -> None:
        """Note how long a message to a peer and its answer took."""

    def not_sent(self, node: NodeId, message: messages.Message) -> None:
        """Note a message that no link has taken."""


class LinkOwner(Interface):
    """Registry that a link belongs to."""

    reactor: Any
    node: NodeId
    events: LinkEvents | None
    log: Callable[..., None]
    traffic: Traffic

    def link_established(self, link: 'Link') -> None:
        """Use a link from now on."""

    def link_ended(self, link: 'Link', reason: str) -> None:
        """Note that a link is gone."""


class Link(Int32StringReceiver):
    """One connection to another node.

    Attributes
    ----------
    expected
        Node at the other end of a link that this node opened; None for
        links that others opened.
    peer
        Who is at the other end, once it has said Hello.
    due
        Requests sent over the link without an outcome.
    packer
        Compresses what is sent; None if it goes as it is.
    """

    def __init__(self, links: 'LinkOwner', expected: NodeId | None) -> None:
        super().__init__()
        # Twisted's name for the longest message that is read.
        self.MAX_LENGTH = MAX_HELLO_BYTES
        self.links = links
        self.expected = expected
        self.peer: Peer | None = None
        self.pending: set[int] = set()
        self.received_at: float = 0
        self.pinged_at: float = 0
        self.is_up = False
        self.forwarded_at: float = 0
        self.compressor: Compressor | None = None
        self.decompressor = Decompressor()
        self.timer: Any = None

    @property
    def is_outgoing(self) -> bool:
        """Whether this node opened the link."""
        return self.expected is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Say Hello, or wait for it."""
        sockets.configure_socket(self.transport)
        self.received_at = self.links.reactor.seconds()
        self.timer = self.links.reactor.callLater(
            HELLO_TIMEOUT_S,
            self.transport.abortConnection,
        )
        if self.is_outgoing:
            self.pinged_at = self.received_at
            self.send(self.links.events.make_hello(self.expected))

    def send(self, message: messages.Message) -> None:
        """Write a message."""
        if isinstance(message, messages.Forward):
            if not self.pending:
                self.received_at = self.links.reactor.seconds()
            self.pending.add(message.attempt)
        elif isinstance(message, messages.Cancel):
            self.pending.discard(message.attempt)
        payload = messages.encode(message)
        if self.compressor is not None:
            payload = self.compressor.compress(payload)
        self.links.traffic.sent(self.peer, type(message).__name__, len(payload))
        self.sendString(payload)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Read a message; a peer that breaks the protocol is hung up on."""
        self.received_at = self.links.reactor.seconds()
        try:
            message = messages.decode(self.decompressor.decompress(string))
        except (messages.MessageError, CompressionError) as error:
            self.links.log('bad_message', reason=str(error))
            self.transport.abortConnection()
            return
        if isinstance(message, messages.Hello):
            self._hello_received(message)
        elif isinstance(message, messages.Pong):
            self._report_round_trip()
        if self.peer is None:
            self.links.log('link_without_hello', expected=self.expected)
            self.transport.loseConnection()
            return
        if isinstance(
            message,
            messages.Answered | messages.Refused | messages.Failed,
        ):
            self.pending.discard(message.attempt)
        elif isinstance(message, messages.Forward):
            self.forwarded_at = self.received_at
        self.links.events.received(self, message)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Hang up on a peer that announces too long a message."""
        self.links.log('message_too_long', length=length)
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the end of the link."""
        if self.timer.active():
            self.timer.cancel()
        self.is_up = False
        self.links.link_ended(self, reason.getErrorMessage())

    def check_silence(self, now: float) -> None:
        """Ask a silent peer for a sign of life, avoid it, or give it up."""
        if not self.pending:
            if now - self.pinged_at > ROUND_TRIP_INTERVAL_S:
                self._ping(now)
            return
        silence_s = now - self.received_at
        if silence_s > LOST_AFTER_S:
            self.transport.abortConnection()
            return
        if silence_s > SUSPECT_AFTER_S:
            self.links.events.suspected(self.expected)
        if silence_s > PING_AFTER_S and now - self.pinged_at > PING_AFTER_S:
            self._ping(now)

    def _ping(self, now: float) -> None:
        self.pinged_at = now
        self.send(messages.Ping())

    def _hello_received(self, hello: messages.Hello) -> None:
        if self.peer is not None:
            return
        if self.is_outgoing and hello.peer.node != self.expected:
            self.links.events.peer_replaced(self.expected)
            return
        if not self.is_outgoing and hello.expected != self.links.node:
            # Says who is here; the dialer then forgets the other node.
            self.send(self.links.events.make_hello(hello.peer.node))
            return
        self.peer = hello.peer
        self.MAX_LENGTH = MAX_MESSAGE_BYTES
        self.timer.cancel()
        if not self.is_outgoing:
            self.send(self.links.events.make_hello(hello.peer.node))
        self._enable_compression(hello)
        self.is_up = True
        if self.is_outgoing:
            self._report_round_trip()
        self.links.link_established(self)

    def _report_round_trip(self) -> None:
        """Report the time since the question that is answered now."""
        if self.peer is not None:
            now = self.links.reactor.seconds()
            self.links.events.round_trip_measured(
                self.peer, now - self.pinged_at
            )

    def _enable_compression(self, hello: messages.Hello) -> None:
        """Compress what is paid for by volume, if the peer can read it."""
        place = self.links.traffic.place_of(hello.peer)
        if hello.accepts_compression and place is not Place.ZONE:
            self.compressor = Compressor()
