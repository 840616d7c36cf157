"""One persistent HTTP/1.1 connection to the backend server."""

import math
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from bilberryrail.node.http_response import (
    HttpResponse,
    ResponseError,
    ResponseParser,
)


class BackendConnection(Protocol):
    """Sends one request at a time and reads its complete response.

    Attributes
    ----------
    pending
        Deferred of the request whose response is not complete yet.
    idle_since
        When the last response ended, in seconds on the reactor's clock.
    """

    def __init__(
        self,
        max_body_bytes: int,
        on_idle: Callable[['BackendConnection'], None],
        on_lost: Callable[['BackendConnection'], None],
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.pending: Deferred[HttpResponse] | None = None
        self.parser = ResponseParser(max_body_bytes)
        self.idle_since = -math.inf

    def send_request(self, request: bytes) -> Deferred[HttpResponse]:
        """Send a request; cancelling its deferred closes the connection."""
        self.parser = ResponseParser(self.max_body_bytes)
        self.pending = Deferred(self._cancel)
        self.transport.write(request)
        return self.pending

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small writes are not delayed."""
        self.transport.setTcpNoDelay(True)  # noqa: WPS425

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the response."""
        if self.pending is None:
            # Unrequested data would be mistaken for the next response.
            self.transport.abortConnection()
            return
        try:
            self.parser.feed(data)
        except ResponseError as error:
            self._fail(error)
            return
        if self.parser.has_ended:
            self._answer()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fail the pending request, if there is one."""
        self.on_lost(self)
        fault = f'connection lost after {self.parser.size} bytes of the body'
        self._fail(ResponseError(fault))

    def _answer(self) -> None:
        pending = self.pending
        self.pending = None
        if self.parser.is_reusable:
            self.on_idle(self)
        else:
            self.transport.loseConnection()
        pending.callback(self.parser.response())

    def _fail(self, error: ResponseError) -> None:
        pending = self.pending
        self.pending = None
        if pending is not None:
            self.transport.abortConnection()
            pending.errback(error)

    def _cancel(self, pending: Deferred[HttpResponse]) -> None:
        self.pending = None
        self.transport.abortConnection()
