"""Framing of a connection between nodes.

Each frame is one protobuf message behind its length in 4 bytes.
"""

from typing import Any, Final, Protocol

from google.protobuf.message import DecodeError
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer

from bilberryrail.wire import peer_pb2

#: A Hello holds four names and two ports.
MAX_HELLO_BYTES: Final = 4096


class FrameReceiver(Protocol):
    """What happens on a connection; all methods return at once."""

    def connected(self) -> None:
        """Note that the connection is open."""

    def received(self, frame: peer_pb2.Frame) -> None:
        """Handle a frame."""

    def fail(self, reason: str) -> None:
        """Note that the peer breaks the protocol."""

    def peer_half_closed(self) -> None:
        """Note that the peer sends nothing more."""

    def connection_lost(self, reason: str) -> None:
        """Note that the connection is gone."""


@implementer(IHalfCloseableProtocol)
class FrameConnection(Int32StringReceiver):
    """Turns bytes into frames and back.

    Attributes
    ----------
    limit
        Largest frame that is accepted, in bytes; a larger one is refused
        before it is buffered.
    """

    def __init__(self, receiver: FrameReceiver) -> None:
        self.receiver = receiver
        self.limit = MAX_HELLO_BYTES

    @property
    def MAX_LENGTH(self) -> int:  # noqa: N802
        """Name under which the base class looks for the limit."""
        return self.limit

    def connectionMade(self) -> None:  # noqa: N802
        """Send small frames at once."""
        self.transport.setTcpNoDelay(True)  # noqa: WPS425
        self.receiver.connected()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Parse a frame."""
        try:
            frame = peer_pb2.Frame.FromString(string)
        except DecodeError:
            self.receiver.fail('a frame is no protobuf message')
            return
        self.receiver.received(frame)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Refuse a frame by its length."""
        self.receiver.fail(f'frame of {length} bytes exceeds {self.limit}')

    def readConnectionLost(self) -> None:  # noqa: N802
        """Note that the peer sends nothing more."""
        self.receiver.peer_half_closed()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: the peer still has to end its direction."""

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Note that the connection is gone."""
        text = 'closed by the peer'
        if not reason.check(ConnectionDone):
            text = f'{reason.type.__name__}: {reason.getErrorMessage()}'
        self.receiver.connection_lost(text)
