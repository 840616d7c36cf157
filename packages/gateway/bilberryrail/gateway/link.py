"""One connection to another node."""

from collections.abc import Callable
from typing import Any, Final
from typing import Protocol as Interface

from twisted.protocols.basic import Int32StringReceiver

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.records import Peer
from bilberryrail.gateway import sockets
from bilberryrail.gateway.packing import Packer, PackingError, Unpacker
from bilberryrail.gateway.traffic import Place, Traffic

#: Room for the largest body that clients may send and its headers.
MOST_MESSAGE_BYTES: Final = 100_663_296

#: Room for a Hello, the only message that a stranger may send.
MOST_HELLO_BYTES: Final = 16_384

#: Time to exchange Hello.
HELLO_TIMEOUT_S: Final = 1.0

#: Interval at which the round trip of a link is measured.
MEASURE_INTERVAL_S: Final = 15.0

#: Silence, while outcomes are due, after which a sign of life is asked for.
PING_AFTER_S: Final = 0.25

#: Silence, while outcomes are due, after which the peer is avoided.
SUSPECT_AFTER_S: Final = 0.6

#: Silence, while outcomes are due, after which the link is given up. Lost
#: packets are sent again within about a second.
LOST_AFTER_S: Final = 1.5


class LinkEvents(Interface):
    """What links report to."""

    def hello(self, expected: NodeId) -> messages.Hello:
        """Build the first message of a link."""

    def replaced(self, node: NodeId) -> None:
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

    def measured(self, peer: Peer, round_trip_s: float) -> None:
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

    def started(self, link: 'Link') -> None:
        """Use a link from now on."""

    def ended(self, link: 'Link', reason: str) -> None:
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
        self.MAX_LENGTH = MOST_HELLO_BYTES
        self.links = links
        self.expected = expected
        self.peer: Peer | None = None
        self.due: set[int] = set()
        self.heard_at: float = 0
        self.pinged_at: float = 0
        self.is_up = False
        self.used_at: float = 0
        self.packer: Packer | None = None
        self.unpacker = Unpacker()
        self.timer: Any = None

    @property
    def is_own(self) -> bool:
        """Whether this node opened the link."""
        return self.expected is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Say Hello, or wait for it."""
        sockets.watch_connection(self.transport)
        self.heard_at = self.links.reactor.seconds()
        self.timer = self.links.reactor.callLater(
            HELLO_TIMEOUT_S,
            self.transport.abortConnection,
        )
        if self.is_own:
            self.pinged_at = self.heard_at
            self.send(self.links.events.hello(self.expected))

    def send(self, message: messages.Message) -> None:
        """Write a message."""
        if isinstance(message, messages.Forward):
            if not self.due:
                self.heard_at = self.links.reactor.seconds()
            self.due.add(message.attempt)
        elif isinstance(message, messages.Cancel):
            self.due.discard(message.attempt)
        payload = messages.encode(message)
        if self.packer is not None:
            payload = self.packer.pack(payload)
        self.links.traffic.sent(self.peer, type(message).__name__, len(payload))
        self.sendString(payload)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Read a message; a peer that breaks the protocol is hung up on."""
        self.heard_at = self.links.reactor.seconds()
        try:
            message = messages.decode(self.unpacker.unpack(string))
        except (messages.MessageError, PackingError) as error:
            self.links.log('bad_message', reason=str(error))
            self.transport.abortConnection()
            return
        if isinstance(message, messages.Hello):
            self._greeted(message)
        elif isinstance(message, messages.Pong):
            self._measured()
        if self.peer is None:
            self.links.log('link_without_hello', expected=self.expected)
            self.transport.loseConnection()
            return
        if isinstance(
            message,
            messages.Answered | messages.Refused | messages.Failed,
        ):
            self.due.discard(message.attempt)
        elif isinstance(message, messages.Forward):
            self.used_at = self.heard_at
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
        self.links.ended(self, reason.getErrorMessage())

    def watch(self, now: float) -> None:
        """Ask a silent peer for a sign of life, avoid it, or give it up."""
        if not self.due:
            if now - self.pinged_at > MEASURE_INTERVAL_S:
                self._ping(now)
            return
        silence_s = now - self.heard_at
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

    def _greeted(self, hello: messages.Hello) -> None:
        if self.peer is not None:
            return
        if self.is_own and hello.peer.node != self.expected:
            self.links.events.replaced(self.expected)
            return
        if not self.is_own and hello.expected != self.links.node:
            # Says who is here; the dialer then forgets the other node.
            self.send(self.links.events.hello(hello.peer.node))
            return
        self.peer = hello.peer
        self.MAX_LENGTH = MOST_MESSAGE_BYTES
        self.timer.cancel()
        if not self.is_own:
            self.send(self.links.events.hello(hello.peer.node))
        self._pack_from_now(hello)
        self.is_up = True
        if self.is_own:
            self._measured()
        self.links.started(self)

    def _measured(self) -> None:
        """Report the time since the question that is answered now."""
        if self.peer is not None:
            now = self.links.reactor.seconds()
            self.links.events.measured(self.peer, now - self.pinged_at)

    def _pack_from_now(self, hello: messages.Hello) -> None:
        """Compress what is paid for by volume, if the peer can read it."""
        place = self.links.traffic.place_of(hello.peer)
        if hello.accepts_compression and place is not Place.ZONE:
            self.packer = Packer()
