"""Parses answers from a connection on which requests were sent."""

import re
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

import httptools

from bilberryrail.forwarding.bounds import MAX_STATUS
from bilberryrail.forwarding.records import Header, find_header
from bilberryrail.gateway.framing import Framing, FramingError
from bilberryrail.gateway.http_text import end_to_end

_LENGTH: Final = b'content-length'

#: Status line within a reason phrase or a header. A faulty server may break off
#: in the head of an earlier answer and write its present answer behind that.
_STATUS_LINE: Final = re.compile(rb'HTTP/\d\.\d \d{3}')

_LENGTHS: Final = frozenset((_LENGTH, b'transfer-encoding'))


class AnswerError(Exception):
    """The received bytes are not a valid answer, or exceed a limit."""


@dataclass(slots=True)
class RawAnswer:
    """An answer as it was read from the connection.

    Attributes
    ----------
    headers
        All headers, including hop-by-hop headers.
    body
        The body, as far as it has been read.
    has_length
        Whether the head states the length or encoding of the body; otherwise
        the body ends with the connection.
    """

    status: int = 0
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    has_head: bool = False
    has_length: bool = False
    keeps_alive: bool = False

    @property
    def end_to_end(self) -> tuple[Header, ...]:
        """Headers without hop-by-hop headers."""
        return end_to_end(self.headers)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


class AnswerReader:
    """Parses answers with ``httptools``; the ``on_`` methods are its callbacks.

    Parameters
    ----------
    max_body_bytes
        Limit for the bytes of all bodies that are read.
    without_body
        Whether the answer is to a HEAD request.

    Attributes
    ----------
    complete
        Answers that have been read to their end, oldest first.
    """

    def __init__(
        self,
        max_body_bytes: int,
        *,
        without_body: bool = False,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.without_body = without_body
        self.parser = httptools.HttpResponseParser(self)
        self.framing = Framing()
        self.complete: list[RawAnswer] = []
        self.current: RawAnswer | None = None
        self.has_started = False
        self.reason = b''

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of bodies that were read."""
        return self.framing.body_bytes

    def feed(self, received: bytes) -> None:
        """Parse bytes; raises ``AnswerError`` if they are no valid answer."""
        self.has_started = True
        try:
            self.parser.feed_data(received)
            self.framing.received(len(received))
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            FramingError,
        ) as error:
            raise AnswerError(_describe(error)) from error

    def close(self) -> None:
        """Release the memory of all answers; no more bytes may be fed.

        The parser and this reader refer to each other. Without this, their
        answers would stay in memory until the garbage collector runs, which
        counts objects and not bytes.
        """
        self.parser = None
        self.current = None
        self.complete = []

    def connection_ended(self) -> RawAnswer | None:
        """Return the answer completed by the end of the connection, if any."""
        current = self.current
        if current is None or not current.has_head or current.has_length:
            return None
        self.current = None
        return current

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.framing.message_started()
        self.reason = b''
        self.current = RawAnswer()

    def on_status(self, part: bytes) -> None:
        """Collect a part of the reason phrase."""
        self.reason += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped."""
        self.framing.header_read()
        _check_not_merged(text)
        if self.current is not None and not self.current.has_head:
            self.current.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Evaluate the head of an answer."""
        current = self.current
        if current is None:
            return
        _check_not_merged(self.reason)
        current.status = self.parser.get_status_code()
        if not HTTPStatus.CONTINUE <= current.status <= MAX_STATUS:
            raise FramingError(f'status {current.status:03} is not valid')
        current.has_head = True
        current.has_length = any(
            name.lower() in _LENGTHS for name, _ in current.headers
        )
        current.keeps_alive = self.parser.should_keep_alive()
        if self.without_body and current.status >= HTTPStatus.OK:
            current.keeps_alive = False
            self._finish()
        else:
            self._check_stated_length(current)

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self.framing.body_read(len(chunk), self.max_body_bytes)
        if self.current is not None:
            self.current.body += chunk

    def on_message_complete(self) -> None:
        """Complete the answer; interim answers (1xx) are dropped."""
        if self.current is not None and self.current.status < HTTPStatus.OK:
            self.current = None
            return
        self._finish()

    def _check_stated_length(self, answer: RawAnswer) -> None:
        """Raise ``FramingError`` if the stated length exceeds the limit."""
        stated = answer.header(_LENGTH)
        if stated and stated.isdigit() and int(stated) > self.max_body_bytes:
            raise FramingError(f'body length {stated.decode()} is too large')

    def _finish(self) -> None:
        if self.current is not None:
            self.complete.append(self.current)
            self.current = None


def _describe(error: Exception) -> str:
    """Describe an error, or the one that the parser has wrapped.

    The parser wraps the errors of its callbacks.
    """
    # A variable in ``feed`` would refer to its own frame, and keep the answer
    # in memory until the garbage collector runs.
    cause = error.__context__ or error
    return f'{type(cause).__name__}: {cause}'


def _check_not_merged(text: bytes) -> None:
    """Raise ``FramingError`` if a text holds the beginning of another answer."""
    if _STATUS_LINE.search(text):
        raise FramingError('a head holds the status line of another answer')
