"""One connection to another node."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any, Final
from typing import Protocol as Interface

from msgspec import structs

from bilberryrail.core.ids import AttemptId, NodeId, Seconds
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.records import Peer, Refusal
from bilberryrail.gateway import sockets
from bilberryrail.gateway.body_parts import (
    MAX_WHOLE_BYTES,
    IncomingBodies,
    OutgoingBodies,
)
from bilberryrail.gateway.compression import (
    CompressionError,
    Compressor,
    Decompressor,
)
from bilberryrail.gateway.memory_budget import MemoryBudget
from bilberryrail.gateway.message_receiver import MessageReceiver
from bilberryrail.gateway.tasks import guard
from bilberryrail.gateway.traffic import Place, Traffic

#: Largest message after Hello, in bytes; it holds the largest body of an answer,
#: which has 32 MiB, and its headers. Large bodies of requests are sent in parts.
MAX_MESSAGE_BYTES: Final = 34_603_008

#: Size of an incomplete message, in bytes, from which the total of all links is
#: checked.
_LARGE_MESSAGE_BYTES: Final = 65_536

#: Largest Hello, in bytes. It is the only message that is read from a peer that
#: has not identified itself. With as many crashes as a node tells, each with as
#: many suspects as it may have, it takes some 80 KB.
MAX_HELLO_BYTES: Final = 131_072

#: Timeout for the exchange of Hello, in seconds.
HELLO_TIMEOUT_S: Final = 1.0

#: Interval at which the round-trip time of an idle link is measured, in
#: seconds.
ROUND_TRIP_INTERVAL_S: Final = 15.0

#: Silence, while outcomes are pending, after which a Ping is sent, in seconds.
PING_AFTER_S: Final = 0.25

#: Silence, while outcomes are pending, after which the peer is avoided, in
#: seconds.
SUSPECT_AFTER_S: Final = 0.6

#: Silence, while outcomes are pending, after which the peer counts as lost, in
#: seconds. TCP retransmits lost packets within about a second.
LOST_AFTER_S: Final = 1.5

#: Retry time in refusals of bodies for which there is no memory, in seconds.
BODY_RETRY_S: Final = 0.5


class LinkEvents(Interface):
    """Receiver of the events of links."""

    def make_hello(self, expected: NodeId) -> messages.Hello:
        """Build the Hello message, the first one of a link."""

    def peer_replaced(self, node: NodeId, present: Peer) -> None:
        """Handle that another node is present at the address of a peer."""

    def received(self, link: 'Link', message: messages.Message) -> None:
        """Handle a message of the peer."""

    def opened(self, link: 'Link') -> None:
        """Handle a link that can be used from now on."""

    def closed(self, link: 'Link') -> None:
        """Handle a link that has been closed."""

    def unreachable(self, node: NodeId) -> None:
        """Handle that no link to a peer could be opened."""

    def suspected(self, node: NodeId) -> None:
        """Handle a peer that is silent although outcomes are pending."""

    def stalled(self, node: NodeId) -> None:
        """Handle a peer that is silent for so long that it may be lost.

        Its link stays open for the requests that no other node may run.
        """

    def round_trip_measured(self, peer: Peer, round_trip_s: float) -> None:
        """Handle a measured round-trip time to a peer."""

    def not_sent(self, node: NodeId, message: messages.Message) -> None:
        """Handle a message that could not be sent over any link."""


class LinkOwner(Interface):
    """The registry of links, as one link uses it."""

    reactor: Any
    node: NodeId
    events: LinkEvents | None
    log: Callable[..., None]
    traffic: Traffic
    budget: MemoryBudget

    def link_established(self, link: 'Link') -> None:
        """Register a link after the exchange of Hello."""

    def link_ended(self, link: 'Link', reason: str) -> None:
        """Handle that a link has been closed."""

    def large_part_received(self) -> None:
        """Handle that an incomplete message is large."""


class Link(MessageReceiver):
    """One connection to another node.

    Attributes
    ----------
    expected
        Node at the other end of a link that this node opened; None for
        a link that the other node opened.
    peer
        Announcement of the node at the other end; None until its Hello has
        been read.
    pending
        Attempts that were sent over the link and have no outcome yet, and
        whether they are idempotent.
    received_at
        Time at which the link was last seen to work.
    unsent
        Number of bytes that were not sent at the last check.
    compressor
        Compresses sent messages; None if they are sent uncompressed.
    accepts_body_parts
        Whether the peer accepts bodies of requests in parts.
    """

    def __init__(self, links: 'LinkOwner', expected: NodeId | None) -> None:
        super().__init__()
        # Twisted's attribute for the largest message that is read.
        self.MAX_LENGTH = MAX_HELLO_BYTES
        self.links = links
        self.expected = expected
        self.peer: Peer | None = None
        self.pending: dict[int, bool] = {}
        self.received_at: float = 0
        self.unsent = 0
        self.pinged_at: float = 0
        self.is_up = False
        self.forwarded_at: float = 0
        self.compressor: Compressor | None = None
        self.decompressor = Decompressor()
        self.accepts_body_parts = False
        self.outgoing_bodies = OutgoingBodies(self._send_part)
        self.incoming_bodies = IncomingBodies(links.budget, self._refuse_body)
        self.timer: Any = None

    @property
    def is_outgoing(self) -> bool:
        """Whether this node opened the link."""
        return self.expected is not None

    def connectionMade(self) -> None:  # noqa: N802
        """Send Hello on an outgoing link, and start the Hello timeout."""
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
        """Send a message; a large body of a request follows in parts."""
        match message:
            case messages.Forward():
                self._forward(message)
                return
            case messages.Cancel(attempt=attempt):
                self._outcome_known(attempt)
            case (
                messages.Answered(attempt=attempt)
                | messages.Refused(attempt=attempt)
                | messages.Failed(attempt=attempt)
            ):
                self.incoming_bodies.release(attempt)
        self._write(message)

    def close(self) -> None:
        """Close the link after what has been written is sent."""
        self.outgoing_bodies.clear()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a message; a large one may take seconds to arrive."""
        self.received_at = self.links.reactor.seconds()
        super().dataReceived(data)
        if self.held_bytes > _LARGE_MESSAGE_BYTES:
            self.links.large_part_received()

    def reject(self, reason: str) -> None:
        """Close the link, and release what has been read of a message."""
        self.links.log('message_rejected', reason=reason, size=self.held_bytes)
        self.drop_parts()
        self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Read a message; close the link if it violates the protocol."""
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
        now = Seconds(self.received_at)
        complete = self.incoming_bodies.receive(message, now)
        if complete is not None:
            self._received(complete)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close the link because the peer announced too long a message."""
        self.links.log('message_too_long', length=length)
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that the link has been closed."""
        if self.timer.active():
            self.timer.cancel()
        self.is_up = False
        self.outgoing_bodies.clear()
        self.incoming_bodies.clear()
        self.drop_parts()
        self.links.link_ended(self, reason.getErrorMessage())

    def check_silence(self, now: float) -> None:
        """Send a Ping if it is due; close the link if the peer is silent.

        Silence counts only while outcomes are pending: the peer is sent a
        Ping, then reported as suspected, then counts as lost. An idle link is
        pinged only to measure its round-trip time.

        The link to a lost peer is closed unless a request is pending that must
        not be repeated. The peer may only have been paused, and closing the
        link would abort the request at its backend server.
        """
        unsent = sockets.unsent_bytes(self.transport)
        if unsent < self.unsent:
            self.received_at = now
        self.unsent = unsent
        if not self.pending:
            if now - self.pinged_at > ROUND_TRIP_INTERVAL_S:
                _ping(self, now)
            return
        silence_s = now - self.received_at
        if silence_s > LOST_AFTER_S and all(self.pending.values()):
            self.transport.abortConnection()
            return
        if silence_s > LOST_AFTER_S:
            self.links.events.stalled(self.expected)
        if silence_s > SUSPECT_AFTER_S:
            self.links.events.suspected(self.expected)
        if silence_s > PING_AFTER_S and now - self.pinged_at > PING_AFTER_S:
            _ping(self, now)

    def _refuse_body(self, message: messages.Forward) -> None:
        self.links.log(
            'body_refuse',
            request=message.request_id,
            size=message.body_bytes,
            peer=self.peer.node,
        )
        self.send(
            messages.Refused(
                message.attempt, Refusal.BUSY, BODY_RETRY_S, load=None
            )
        )

    def _forward(self, message: messages.Forward) -> None:
        if not self.pending:
            self.received_at = self.links.reactor.seconds()
        self.pending[message.attempt] = message.idempotent
        size = len(message.request.body)
        if size <= MAX_WHOLE_BYTES or not self.accepts_body_parts:
            self._write(message)
            return
        head = replace(message.request, body=b'')
        self._write(structs.replace(message, request=head, body_bytes=size))
        self.outgoing_bodies.add(message, self.transport)

    def _send_part(self, part: messages.BodyPart) -> None:
        # The transport asks for a part after it has sent the one before.
        self.received_at = self.links.reactor.seconds()
        self._write(part)

    def _outcome_known(self, attempt: AttemptId) -> None:
        """Expect no outcome of an attempt any more."""
        self.pending.pop(attempt, None)
        self.outgoing_bodies.drop(attempt)

    def _write(self, message: messages.Message) -> None:
        """Encode a message, compress it if agreed, and write it."""
        payload = messages.encode(message)
        if self.compressor is not None:
            payload = self.compressor.compress(payload)
        self.links.traffic.sent(self.peer, type(message).__name__, len(payload))
        self.sendString(payload)

    def _received(self, message: messages.Message) -> None:
        match message:
            case (
                messages.Answered(attempt=attempt)
                | messages.Refused(attempt=attempt)
                | messages.Failed(attempt=attempt)
            ):
                self._outcome_known(attempt)
            case messages.Forward():
                self.forwarded_at = self.received_at
        # A message whose handler fails must not end the link, and with it all
        # the requests that are in flight there.
        guard(
            partial(self.links.events.received, self, message), self.links.log
        )

    def _hello_received(self, hello: messages.Hello) -> None:
        if self.peer is not None:
            return
        if self.is_outgoing and hello.peer.node != self.expected:
            self.links.events.peer_replaced(self.expected, hello.peer)
            return
        if not self.is_outgoing and hello.expected != self.links.node:
            # Hello names this node, so that the peer removes the node that it
            # expected at this address.
            self.send(self.links.events.make_hello(hello.peer.node))
            return
        self.peer = hello.peer
        self.MAX_LENGTH = MAX_MESSAGE_BYTES
        self.timer.cancel()
        if not self.is_outgoing:
            self.send(self.links.events.make_hello(hello.peer.node))
        self._enable_compression(hello)
        self.accepts_body_parts = hello.accepts_body_parts
        self.is_up = True
        if self.is_outgoing:
            self._report_round_trip()
        self.links.link_established(self)

    def _report_round_trip(self) -> None:
        """Report the time since the Hello or Ping that was answered now."""
        if self.peer is not None:
            now = self.links.reactor.seconds()
            self.links.events.round_trip_measured(
                self.peer, now - self.pinged_at
            )

    def _enable_compression(self, hello: messages.Hello) -> None:
        """Compress messages to other zones if the peer can decompress them.

        Traffic between zones is paid for by volume; traffic within a zone is
        free.
        """
        place = self.links.traffic.place_of(hello.peer)
        if hello.accepts_compression and place is not Place.ZONE:
            self.compressor = Compressor()


def _ping(link: Link, now: float) -> None:
    link.pinged_at = now
    link.send(messages.Ping())
