"""The event loop: Twisted's asyncio reactor on a monotonic clock.

``install`` must run before any module imports ``twisted.internet.reactor``,
which klein does.
"""

import asyncio
import time
from typing import Any

import uvloop
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor


class NodeReactor(AsyncioSelectorReactor):
    """An asyncio reactor with a monotonic clock and early writes.

    Twisted's own ``seconds`` is ``time.time``; a correction of the host's
    clock would look like a pause of the process.

    Twisted registers a descriptor with the selector for each write, and
    unregisters it right after. Here the write is tried first, in the next turn
    of the loop, and only what does not fit into the socket's buffer waits for
    the selector.

    Attributes
    ----------
    writing_soon
        Descriptors whose first write is due in the next turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # Set first: the base class asks for the time while it starts.
        # The time of uvloop's loop is cut to milliseconds.
        self.seconds = time.monotonic
        self.loop = loop
        self.pending_writes: set[Any] = set()
        super().__init__(loop)

    def addWriter(self, writer: Any) -> None:  # noqa: N802
        """Write in the next turn of the loop."""
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
        # A descriptor that has written everything has removed itself.
        if writer in self.pending_writes:
            self.pending_writes.discard(writer)
            AsyncioSelectorReactor.addWriter(self, writer)


def install() -> NodeReactor:
    """Create an event loop and make its reactor the process's reactor."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    reactor = NodeReactor(loop)
    installReactor(reactor)
    return reactor
