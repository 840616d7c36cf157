"""Reads the body of an HTTP response: whole, bounded and cancellable.

Twisted's ``readBody`` has no bound, and cancelling it leaves the connection
open, so a cancelled call would go on at the server.
"""

import asyncio
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone


class BodyError(Exception):
    """A body that is cut or too large."""


class _Collector(Protocol):
    """Collects a body until its stated length is reached."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.has_ended = False
        self.chunks: list[bytes] = []
        self.finished: Deferred[bytes] = Deferred(self._cancel)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a chunk, or give up above the limit."""
        self.size += len(data)
        if self.size > self.limit:
            self._fail(BodyError(f'body exceeds {self.limit} bytes'))
        else:
            self.chunks.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Check that the end is the stated one."""
        self.has_ended = True
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(b''.join(self.chunks))
            return
        self.finished.errback(
            BodyError(f'body is cut after {self.size} bytes'),
        )

    def _cancel(self, _: Any) -> None:
        self.transport.loseConnection()

    def _fail(self, error: BodyError) -> None:
        if not self.finished.called:
            self.finished.errback(Failure(error))
            asyncio.get_running_loop().call_soon(self._close_unfinished)

    def _close_unfinished(self) -> None:
        """Close the connection of a body that goes on.

        A body that ended in the same read has put its connection back into
        the pool, where the next call would find it closing.
        """
        if not self.has_ended:
            self.transport.loseConnection()


def read_body(response: Any, limit: int) -> 'Deferred[bytes]':
    """Read the body of one of Twisted's responses.

    Fails with ``BodyError`` if the body is longer than ``limit`` bytes, ends
    before its stated length, or has no stated length.
    """
    collector = _Collector(limit)
    response.deliverBody(collector)
    return collector.finished
