"""One long-lived connection to another node, opened by either side."""

import asyncio
from typing import Any, Final, Protocol

from bilberryrail.core.ids import NodeId
from bilberryrail.core.records import Member
from bilberryrail.node import logs
from bilberryrail.node.frame_connection import FrameConnection
from bilberryrail.node.link_machine import LinkPhase, new_link_machine
from bilberryrail.node.link_output import LinkOutput
from bilberryrail.wire import frames, peer_pb2

#: Longest time in seconds to exchange Hello; far longer than a round trip
#: between regions, which takes 60 ms.
HELLO_TIMEOUT_S: Final = 2.0
#: Longest wait in seconds for a peer to read the last frames of a link.
CLOSE_TIMEOUT_S: Final = 1.0
#: Largest control frame in bytes: four times the state of 19,000 members of
#: about 200 bytes each.
MAX_CONTROL_BYTES: Final = 16_777_216
#: Largest size in bytes of all parts of a call's frame other than its body.
CALL_OVERHEAD_BYTES: Final = 65536

_REQUEST_KINDS: Final = frozenset(('call_request', 'reservation_request'))
_REPLY_KINDS: Final = frozenset(
    ('call_answer', 'call_refusal', 'reservation_reply')
)


class Registry(Protocol):
    """Receives the events of links; implemented by ``PeerLinks``."""

    reactor: Any
    max_body_bytes: int

    def hello(self) -> peer_pb2.Frame:
        """Build the first frame of a link."""

    def opened(self, link: 'PeerLink') -> None:
        """Handle a link that has been opened."""

    def received(self, link: 'PeerLink', frame: peer_pb2.Frame) -> None:
        """Handle a frame."""

    def close_started(self, link: 'PeerLink') -> None:
        """Handle a link that no longer accepts frames to send."""

    def ended(self, link: 'PeerLink') -> None:
        """Handle a link that is down."""


class PeerLink:
    """Writes frames in order and passes received frames to the registry.

    Attributes
    ----------
    expected
        Node that the peer must be; None if any node may answer, as on accepted
        links.
    open_attempts
        Number of the peer's attempts that this node has not answered.
    frame_count
        Number of frames sent and received.
    handshake_done
        Set when both sides have sent Hello, or the link is down.
    unusable
        Set when the link no longer accepts frames to send.
    """

    def __init__(
        self,
        registry: Registry,
        is_dialer: bool,
        expected: NodeId | None = None,
    ) -> None:
        self.registry = registry
        self.is_dialer = is_dialer
        self.expected = expected
        self.phase = LinkPhase.CONNECTING
        self.machine = new_link_machine(self)
        self.connection = FrameConnection(self)
        self.output = LinkOutput(self.connection.sendString)
        self.member: Member | None = None
        self.open_attempts = 0
        self.frame_count = 0
        self.reason = ''
        self.handshake_done = asyncio.Event()
        self.unusable = asyncio.Event()
        self.timer: Any = None

    def send(self, frame: peer_pb2.Frame) -> None:
        """Write a frame in the next iteration of the loop, or queue it."""
        self.frame_count += 1
        if frame.WhichOneof('kind') in _REPLY_KINDS:
            self.open_attempts -= 1
        self.output.send(frame)

    def finish(self) -> None:
        """Close the link after all queued frames are written."""
        self.machine.finish()

    def fail(self, reason: str) -> None:
        """Close the link because of a protocol violation or a time-out."""
        peer = self.member.node if self.member else 'unknown'
        logs.warning('link_failed', peer=peer, reason=reason)
        self.machine.failed(reason)

    def connected(self) -> None:
        """Handle that the connection is open."""
        self.machine.connected()

    def received(self, frame: peer_pb2.Frame) -> None:
        """Handle a frame, unless the link is already down."""
        match self.phase:
            case LinkPhase.HANDSHAKING:
                self._read_hello(frame)
            case LinkPhase.UP | LinkPhase.CLOSING:
                self._read_frame(frame)

    def peer_half_closed(self) -> None:
        """Handle that the peer has closed its direction."""
        self.machine.peer_half_closed()

    def connection_lost(self, reason: str) -> None:
        """Handle that the connection is closed or lost."""
        self._stop_timer()
        if self.phase is LinkPhase.UP:
            logs.warning('link_lost', peer=self.member.node, reason=reason)
        self.machine.connection_lost(reason)

    def start_handshake(self) -> None:
        """Send Hello, or wait for the peer's Hello."""
        reason = f'no Hello within {HELLO_TIMEOUT_S} s'
        self._start_timer(HELLO_TIMEOUT_S, self.fail, reason)
        self.output.start(self.connection.transport)
        if self.is_dialer:
            self.output.send(self.registry.hello())

    def open(self, member: Member) -> None:
        """Pass received frames to the registry from now on."""
        self._stop_timer()
        self.member = member
        self.connection.limit = max(
            MAX_CONTROL_BYTES,
            self.registry.max_body_bytes + CALL_OVERHEAD_BYTES,
        )
        if not self.is_dialer:
            self.output.send(self.registry.hello())
        self.handshake_done.set()
        self.registry.opened(self)

    def flush_and_half_close(self) -> None:
        """Write queued frames, then close this node's direction.

        Closing the whole socket while received bytes are unread would reset
        the connection, and the peer would lose answers that it has not read.
        """
        self._begin_closing('closed by this node')
        self.output.call_when_empty(
            self.connection.transport.loseWriteConnection
        )

    def flush_and_close(self) -> None:
        """Write queued frames, then close the connection."""
        self._begin_closing('closed by the peer')
        self.output.call_when_empty(self.connection.transport.loseConnection)

    def mark_down(self, reason: str) -> None:
        """Report that the link is down."""
        self.reason = self.reason or reason
        self._stop_timer()
        self.output.stop()
        self.handshake_done.set()
        self.unusable.set()
        if self.member is not None:
            self.registry.ended(self)

    def disconnect(self) -> None:
        """Close the connection, and abort it after ``CLOSE_TIMEOUT_S``."""
        transport = self.connection.transport
        if transport is not None:
            transport.loseConnection()
            self._start_timer(CLOSE_TIMEOUT_S, transport.abortConnection)

    def _begin_closing(self, reason: str) -> None:
        if self.unusable.is_set():
            return
        self.reason = reason
        transport = self.connection.transport
        self._start_timer(CLOSE_TIMEOUT_S, transport.abortConnection)
        self.unusable.set()
        self.registry.close_started(self)

    def _read_hello(self, frame: peer_pb2.Frame) -> None:
        hello = frames.decode_hello(frame)
        if hello.is_err():
            self.fail(hello.unwrap_err().reason)
            return
        member = hello.unwrap()
        if self.expected not in {None, member.node}:
            self.fail(f'node {member.node} answered, not {self.expected}')
            return
        self.machine.hello_received(member)

    def _read_frame(self, frame: peer_pb2.Frame) -> None:
        self.frame_count += 1
        if frame.WhichOneof('kind') in _REQUEST_KINDS:
            if self.phase is LinkPhase.CLOSING:
                # The answer could no longer be sent.
                return
            self.open_attempts += 1
        self.registry.received(self, frame)

    def _start_timer(self, delay_s: float, callback: Any, *args: Any) -> None:
        self._stop_timer()
        reactor = self.registry.reactor
        self.timer = reactor.callLater(delay_s, callback, *args)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
