"""Parses one HTTP/1.1 response of stated length, using ``httptools``."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

import httptools

#: Largest status line and headers in bytes; a common limit of HTTP clients.
MAX_HEAD_BYTES: Final = 65536


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes
    ----------
    headers
        First value of each header, by its name in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseError(Exception):
    """A response that is truncated, malformed, too large or missing."""


class ResponseParser:
    """Collects a response; ``httptools`` calls the ``on_`` methods.

    A response without a stated length is never complete, because its end
    could not be distinguished from a lost connection.

    Attributes
    ----------
    size
        Bytes of the body that have been received.
    has_ended
        Whether the response is complete.
    is_reusable
        Whether the connection may carry another request.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.chunks: list[bytes] = []
        self.received = 0
        self.size = 0
        self.has_head = False
        self.has_ended = False
        self.is_reusable = False

    def feed(self, received: bytes) -> None:
        """Parse a part of the response.

        Raises ``ResponseError`` if the response is malformed or too large.
        """
        self.received += len(received)
        try:
            self.parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._reject(f'{type(error).__name__}: {error}')
        if self.size > self.max_body_bytes:
            raise ResponseError(f'body exceeds {self.max_body_bytes} bytes')
        if not self.has_head and self.received > MAX_HEAD_BYTES:
            raise ResponseError(f'headers exceed {MAX_HEAD_BYTES} bytes')

    def response(self) -> HttpResponse:
        """Return the response once it is complete."""
        return HttpResponse(self.status, self.headers, b''.join(self.chunks))

    def on_message_begin(self) -> None:
        """Prevent reuse of the connection if a second response follows."""
        if self.has_ended:
            # Only one response was requested.
            self.is_reusable = False

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header of the first final response."""
        if not self.has_ended:
            key = name.decode('latin-1').lower()
            self.headers.setdefault(key, text.decode('latin-1'))

    def on_headers_complete(self) -> None:
        """Store the status of the response."""
        if not self.has_ended:
            self.status = self.parser.get_status_code()
            self.has_head = True

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body unless it exceeds the limit."""
        if self.has_ended:
            return
        self.size += len(chunk)
        if self.size <= self.max_body_bytes:
            self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Mark the response as complete unless it is an interim response."""
        if self.has_ended:
            return
        if self.status < HTTPStatus.OK:
            self.headers.clear()
            self.has_head = False
            return
        self.has_ended = True
        self.is_reusable = self.parser.should_keep_alive()

    def _reject(self, fault: str) -> None:
        self.is_reusable = False
        if not self.has_ended:
            raise ResponseError(fault)
