"""HTTP server with bounded bodies that writes its answers before closing."""

import asyncio
from typing import Any, Final
from weakref import WeakSet

from twisted.web.resource import IResource
from twisted.web.server import Request, Site

#: Longest wait in seconds for clients to read their last answer.
MAX_FLUSH_S: Final = 2.0
_FLUSH_CHECK_S: Final = 0.01


class BoundedRequest(Request):
    """A request that stops storing its body above the site's limit."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.too_large = False
        self.received_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a body whose stated length exceeds the limit."""
        self.channel.factory.channels.add(self.channel)
        if length is not None and length > self.channel.factory.max_body_bytes:
            self.too_large = True
            length = 0
        super().gotLength(length)

    def write(self, data: bytes) -> None:
        """Write a part of the answer; the first part sends the headers.

        While the site is closing, the headers close the connection.
        """
        if self.channel and self.channel.factory.is_closing:
            self.setHeader('Connection', 'close')
            self.channel.persistent = False
        super().write(data)

    def handleContentChunk(self, chunk: bytes) -> None:  # noqa: N802
        """Store a part of the body unless it exceeds the limit."""
        self.received_bytes += len(chunk)
        if self.received_bytes > self.channel.factory.max_body_bytes:
            self.too_large = True
        if not self.too_large:
            super().handleContentChunk(chunk)


class BoundedSite(Site):
    """A site that tracks its open connections.

    Parameters
    ----------
    max_body_bytes
        Limit that ``BoundedRequest`` applies.

    Attributes
    ----------
    is_closing
        Whether each answer asks the client not to send another request on the
        same connection, so that no request is in transit when the site closes.
    """

    def __init__(self, resource: IResource, max_body_bytes: int) -> None:
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            parsePOSTFormSubmission=False,
        )
        self.max_body_bytes = max_body_bytes
        self.channels: WeakSet[Any] = WeakSet()
        self.displayTracebacks = False
        self.is_closing = False

    def log(self, request: Any) -> None:
        """Write no access log, because the decisions are logged instead."""

    async def flush(self, reactor: Any) -> None:
        """Write buffered data, then close the connections."""
        for channel in tuple(self.channels):
            channel.loseConnection()
        ends_at = reactor.seconds() + MAX_FLUSH_S
        while self.has_connections and reactor.seconds() < ends_at:
            await asyncio.sleep(_FLUSH_CHECK_S)

    @property
    def has_connections(self) -> bool:
        """Whether a client that sent a request is still connected."""
        return any(
            channel.transport is not None
            and getattr(channel.transport, 'connected', False)
            for channel in tuple(self.channels)
        )
