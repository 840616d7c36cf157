"""One long-lived connection to another node, whichever side opened it."""

import asyncio
from typing import Any, Final, Protocol

from bilberryrail.core.ids import NodeId
from bilberryrail.core.records import Member
from bilberryrail.node import logs
from bilberryrail.node.frame_connection import FrameConnection
from bilberryrail.node.link_machine import LinkPhase, new_link_machine
from bilberryrail.node.link_output import LinkOutput
from bilberryrail.wire import frames, peer_pb2

#: Time to exchange Hello; far above a round trip of 60 ms.
HELLO_TIMEOUT_S: Final = 2.0
#: Longest wait for a peer to read the last frames of a link.
CLOSE_TIMEOUT_S: Final = 1.0
#: Room for the state of 19,000 members, about 200 bytes each, four times.
MAX_CONTROL_BYTES: Final = 16_777_216
#: Room for everything in a call's frame besides its body.
CALL_OVERHEAD_BYTES: Final = 65536

_REQUEST_KINDS: Final = frozenset(('call_request', 'reservation_request'))
_REPLY_KINDS: Final = frozenset(
    ('call_answer', 'call_refusal', 'reservation_reply')
)


class Registry(Protocol):
    """What a link reports to."""

    reactor: Any
    max_body_bytes: int

    def hello(self) -> peer_pb2.Frame:
        """Build the first frame of a link."""

    def opened(self, link: 'PeerLink') -> None:
        """Note a link that can be used."""

    def received(self, link: 'PeerLink', frame: peer_pb2.Frame) -> None:
        """Handle a frame."""

    def closing(self, link: 'PeerLink') -> None:
        """Note a link that takes no new frames."""

    def ended(self, link: 'PeerLink') -> None:
        """Note a link that is gone."""


class PeerLink:
    """Writes frames in order and hands received ones to the registry.

    Attributes
    ----------
    expected
        Node that must answer; None if it is not known, as on accepted links.
    open_attempts
        Attempts of the peer that this node has not answered.
    used
        Number of frames sent and received.
    settled
        Set when both sides have said Hello, or the link is down.
    over
        Set when the link takes no new frames.
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
        """Write a frame in the next turn of the loop, or queue it."""
        self.frame_count += 1
        if frame.WhichOneof('kind') in _REPLY_KINDS:
            self.open_attempts -= 1
        self.output.send(frame)

    def finish(self) -> None:
        """Close the link once everything queued is written."""
        self.machine.finish()

    def fail(self, reason: str) -> None:
        """Close the link: the peer breaks the protocol or is too slow."""
        peer = self.member.node if self.member else 'unknown'
        logs.warning('link_failed', peer=peer, reason=reason)
        self.machine.failed(reason)

    def connected(self) -> None:
        """Start with Hello."""
        self.machine.connected()

    def received(self, frame: peer_pb2.Frame) -> None:
        """Read a frame; those after the end of the link are dropped."""
        match self.phase:
            case LinkPhase.HANDSHAKING:
                self._read_hello(frame)
            case LinkPhase.UP | LinkPhase.CLOSING:
                self._read_frame(frame)

    def peer_half_closed(self) -> None:
        """Note that the peer sends nothing more."""
        self.machine.peer_half_closed()

    def connection_lost(self, reason: str) -> None:
        """Note that the connection is gone."""
        self._stop_timer()
        if self.phase is LinkPhase.UP:
            logs.warning('link_lost', peer=self.member.node, reason=reason)
        self.machine.connection_lost(reason)

    def start_handshake(self) -> None:
        """Say Hello, or wait for the peer's."""
        late = f'no Hello within {HELLO_TIMEOUT_S} s'
        self._start_timer(HELLO_TIMEOUT_S, self.fail, late)
        self.output.start(self.connection.transport)
        if self.is_dialer:
            self.output.send(self.registry.hello())

    def open(self, member: Member) -> None:
        """Hand frames to the registry from now on."""
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
        """Write what is queued, then end the own direction.

        Closing the socket with unread bytes would reset the connection, and
        the peer would drop answers that it has not read yet.
        """
        self._begin_closing('closed by this node')
        self.output.end(self.connection.transport.loseWriteConnection)

    def flush_and_close(self) -> None:
        """Write what is queued, then close the connection."""
        self._begin_closing('closed by the peer')
        self.output.end(self.connection.transport.loseConnection)

    def mark_down(self, reason: str) -> None:
        """Report the end."""
        self.reason = self.reason or reason
        self._stop_timer()
        self.output.stop()
        self.handshake_done.set()
        self.unusable.set()
        if self.member is not None:
            self.registry.ended(self)

    def disconnect(self) -> None:
        """Close the connection, at the latest after ``END_TIMEOUT_S``."""
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
        self.registry.closing(self)

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
                # Its answer could not be sent any more.
                return
            self.open_attempts += 1
        self.registry.received(self, frame)

    def _start_timer(self, delay_s: float, due: Any, *args: Any) -> None:
        self._stop_timer()
        reactor = self.registry.reactor
        self.timer = reactor.callLater(delay_s, due, *args)

    def _stop_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
