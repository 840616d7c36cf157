"""Framing of a connection between nodes.

Each frame is one protobuf message, preceded by its length in 4 bytes.
"""

from typing import Any, Final, Protocol

from google.protobuf.message import DecodeError
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer

from bilberryrail.wire import peer_pb2

#: Largest Hello in bytes; a Hello contains four names, a host, two ports and an
#: incarnation.
MAX_HELLO_BYTES: Final = 4096


class FrameReceiver(Protocol):
    """Handles the events of a connection; no method may block."""

    def connected(self) -> None:
        """Handle that the connection is open."""

    def received(self, frame: peer_pb2.Frame) -> None:
        """Handle a frame."""

    def fail(self, reason: str) -> None:
        """Handle that the peer violates the protocol."""

    def peer_half_closed(self) -> None:
        """Handle that the peer has closed its direction."""

    def connection_lost(self, reason: str) -> None:
        """Handle that the connection is closed or lost."""


@implementer(IHalfCloseableProtocol)
class FrameConnection(Int32StringReceiver):
    """Splits received bytes into frames, and writes frames.

    Attributes
    ----------
    limit
        Largest frame that is accepted, in bytes. A larger one is refused
        before its content is buffered.
    """

    def __init__(self, receiver: FrameReceiver) -> None:
        self.receiver = receiver
        self.limit = MAX_HELLO_BYTES

    @property
    def MAX_LENGTH(self) -> int:  # noqa: N802
        """Largest frame in bytes, as read by the base class."""
        return self.limit

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small frames are not delayed."""
        self.transport.setTcpNoDelay(True)  # noqa: WPS425
        self.receiver.connected()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Parse a frame."""
        try:
            frame = peer_pb2.Frame.FromString(string)
        except DecodeError:
            self.receiver.fail('a frame is not a valid protobuf message')
            return
        self.receiver.received(frame)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Refuse a frame whose length exceeds the limit."""
        self.receiver.fail(f'frame of {length} bytes exceeds {self.limit}')

    def readConnectionLost(self) -> None:  # noqa: N802
        """Report that the peer has closed its direction."""
        self.receiver.peer_half_closed()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: the peer still has to close its own direction."""

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that the connection is closed or lost."""
        text = 'closed by the peer'
        if not reason.check(ConnectionDone):
            text = f'{reason.type.__name__}: {reason.getErrorMessage()}'
        self.receiver.connection_lost(text)
