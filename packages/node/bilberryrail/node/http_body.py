"""Reads the complete body of an HTTP response, bounded and cancellable.

Twisted's ``readBody`` does not limit the size. Cancelling it also leaves the
connection open, so that a cancelled call would keep running at the server.
"""

import asyncio
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone


class BodyError(Exception):
    """A body that is truncated or too large."""


class _Collector(Protocol):
    """Collects a body until its stated length is reached."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.size = 0
        self.has_ended = False
        self.chunks: list[bytes] = []
        self.finished: Deferred[bytes] = Deferred(self._cancel)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store a chunk, or fail if the body exceeds the limit."""
        self.size += len(data)
        if self.size > self.limit:
            self._fail(BodyError(f'body exceeds {self.limit} bytes'))
        else:
            self.chunks.append(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Check that the body ended at its stated length."""
        self.has_ended = True
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(b''.join(self.chunks))
            return
        self.finished.errback(
            BodyError(f'body is truncated after {self.size} bytes'),
        )

    def _cancel(self, _: Any) -> None:
        self.transport.loseConnection()

    def _fail(self, error: BodyError) -> None:
        if not self.finished.called:
            self.finished.errback(Failure(error))
            asyncio.get_running_loop().call_soon(self._close_unfinished)

    def _close_unfinished(self) -> None:
        """Close the connection unless the body has ended.

        If the body ended in the same read, its connection is back in the
        pool. Closing it would break the next call that uses it.
        """
        if not self.has_ended:
            self.transport.loseConnection()


def read_body(response: Any, limit: int) -> 'Deferred[bytes]':
    """Read the body of a Twisted HTTP response.

    Fails with ``BodyError`` if the body is longer than ``limit`` bytes, ends
    before its stated length, or has no stated length.
    """
    collector = _Collector(limit)
    response.deliverBody(collector)
    return collector.finished
