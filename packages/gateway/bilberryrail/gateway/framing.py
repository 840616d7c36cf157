"""Limits for the size of HTTP messages, including their framing."""

from typing import Final

#: Bytes beside the body that are allowed without any body, mostly for the head;
#: a usual limit of HTTP clients.
MAX_HEAD_BYTES: Final = 65536

#: Maximum number of headers and trailers that are read before an answer is
#: complete. A limit in bytes is not enough, because a short header takes about
#: 200 bytes of memory.
MAX_HEADERS: Final = 256

#: Maximum number of messages that are read where one is expected. The others
#: are interim answers and late copies of earlier answers.
MAX_MESSAGES: Final = 16

#: Bytes beside the body that are allowed for each byte of the body. A chunk of
#: one byte takes six bytes on the wire.
OVERHEAD_BYTES_PER_BODY_BYTE: Final = 6


class FramingError(Exception):
    """A message exceeds one of the limits, or its head is not valid."""


class Framing:
    """Counts the parts of a message and enforces the limits.

    A peer may send heads, interim answers, chunk extensions and trailers
    without end. The parser does not limit them, and the message would never be
    complete.

    Attributes
    ----------
    body_bytes
        Number of bytes of bodies that were read.
    """

    def __init__(self) -> None:
        self.body_bytes = 0
        self.total_bytes = 0
        self.headers = 0
        self.messages = 0

    def message_started(self) -> None:
        """Count a message; raises ``FramingError`` if there are too many."""
        self.messages += 1
        if self.messages > MAX_MESSAGES:
            raise FramingError(f'more than {MAX_MESSAGES} messages')

    def header_read(self) -> None:
        """Count a header; raises ``FramingError`` if there are too many."""
        self.headers += 1
        if self.headers > MAX_HEADERS:
            raise FramingError(f'more than {MAX_HEADERS} headers')

    def body_read(self, size: int, max_bytes: int) -> None:
        """Count body bytes; raises ``FramingError`` if there are too many."""
        self.body_bytes += size
        if self.body_bytes > max_bytes:
            raise FramingError(f'body exceeds {max_bytes} bytes')

    def received(self, size: int) -> None:
        """Count all bytes; raises ``FramingError`` for too much overhead."""
        self.total_bytes += size
        overhead = self.total_bytes - self.body_bytes
        allowed = (
            MAX_HEAD_BYTES + self.body_bytes * OVERHEAD_BYTES_PER_BODY_BYTE
        )
        if overhead > allowed:
            raise FramingError(f'{overhead} bytes of framing exceed {allowed}')
