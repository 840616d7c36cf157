"""Output of a link: writes frames to a connection with back pressure."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from bilberryrail.wire import peer_pb2


@implementer(IPushProducer)
class LinkOutput:
    """Writes frames until the connection's buffer is full, then queues them.

    Attributes
    ----------
    queued
        Frames of which no byte has been written to the connection.
    on_empty
        Called once when all queued frames have been written.
    """

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self.write = write
        self.queued: deque[peer_pb2.Frame] = deque()
        self.transport: Any = None
        self.is_paused = True
        self.on_empty: Callable[[], None] | None = None

    def start(self, transport: Any) -> None:
        """Start to write to a connection."""
        self.transport = transport
        self.is_paused = False
        transport.registerProducer(self, True)  # noqa: WPS425

    def send(self, frame: peer_pb2.Frame) -> None:
        """Write a frame, or queue it while the connection's buffer is full."""
        if self.is_paused:
            self.queued.append(frame)
        else:
            self.write(frame.SerializeToString())

    def call_when_empty(self, on_empty: Callable[[], None]) -> None:
        """Call ``on_empty`` as soon as no frame is queued."""
        self.on_empty = on_empty
        self._write_queued()

    def stop(self) -> None:
        """Stop writing and unregister from the connection.

        A connection with a registered producer does not close.
        """
        self.is_paused = True
        self.on_empty = None
        if self.transport is not None:
            self.transport.unregisterProducer()
            self.transport = None

    def take_unsent(self) -> list[peer_pb2.Frame]:
        """Remove and return the frames of which no byte was written."""
        unsent = list(self.queued)
        self.queued.clear()
        return unsent

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause writing because the connection's buffer is full."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume writing, beginning with the queued frames."""
        self.is_paused = False
        self._write_queued()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop writing because the connection is lost."""
        self.is_paused = True

    def _write_queued(self) -> None:
        while self.queued and not self.is_paused:
            self.write(self.queued.popleft().SerializeToString())
        on_empty = self.on_empty
        if on_empty is not None and not self.queued:
            self.stop()
            on_empty()
