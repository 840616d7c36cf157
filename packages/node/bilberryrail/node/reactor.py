"""The event loop: Twisted's asyncio reactor with a monotonic clock.

``install`` must run before any module imports ``twisted.internet.reactor``, as
klein does.
"""

import asyncio
import time
from typing import Any

import uvloop
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor


class NodeReactor(AsyncioSelectorReactor):
    """An asyncio reactor with a monotonic clock and early writes.

    Twisted's own ``seconds`` is ``time.time``, with which a correction of the
    host's clock would be mistaken for a pause of the process.

    Twisted registers a descriptor with the selector for each write, and
    unregisters it immediately afterwards. This reactor first tries to write,
    in the next iteration of the loop, and registers the descriptor only if
    the data does not fit into the socket's buffer.

    Attributes
    ----------
    pending_writes
        Descriptors that are written to in the next iteration of the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # This is set first because the constructor of the base class reads
        # the clock. The clock of uvloop is not used because it is truncated
        # to milliseconds.
        self.seconds = time.monotonic
        self.loop = loop
        self.pending_writes: set[Any] = set()
        super().__init__(loop)

    def addWriter(self, writer: Any) -> None:  # noqa: N802
        """Write in the next iteration of the loop."""
        if writer not in self.pending_writes and writer not in self._writers:
            self.pending_writes.add(writer)
            self.loop.call_soon(self._write_pending, writer)

    def removeWriter(self, writer: Any) -> None:  # noqa: N802
        """Stop writing."""
        self.pending_writes.discard(writer)
        super().removeWriter(writer)

    def _write_pending(self, writer: Any) -> None:
        if writer not in self.pending_writes:
            return
        self._readOrWrite(writer, read=False)
        # A descriptor that has written all its data removes itself.
        if writer in self.pending_writes:
            self.pending_writes.discard(writer)
            AsyncioSelectorReactor.addWriter(self, writer)


def install() -> NodeReactor:
    """Create an event loop and install its reactor in this process."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    reactor = NodeReactor(loop)
    installReactor(reactor)
    return reactor
