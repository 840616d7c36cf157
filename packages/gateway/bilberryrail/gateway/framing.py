"""Bounds on what a peer may send around and in the body of a message."""

from typing import Final

#: Largest head that is read; a usual bound of HTTP clients.
MAX_HEAD_BYTES: Final = 65536

#: Most headers and trailers of one connection's answer. A short header takes
#: some 200 bytes of memory, so bytes alone do not bound them.
MAX_HEADERS: Final = 256

#: Messages that may begin where one is expected: interim answers, and late
#: copies of earlier ones.
MAX_MESSAGES: Final = 16

#: Bytes beside the body that are allowed for each of its bytes. A chunk of one
#: byte takes six on the wire.
OVERHEAD_BYTES_PER_BODY_BYTE: Final = 6


class FramingError(Exception):
    """A peer sends more than belongs to one message."""


class Framing:
    """Counts the bytes of a message that are no part of its body.

    Heads, interim answers, chunk extensions and trailers may come without
    end; none of them ends a message that a parser waits for.

    Attributes
    ----------
    body_bytes
        Bytes of bodies that were read.
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
            raise FramingError(f'over {MAX_MESSAGES} messages')

    def header_read(self) -> None:
        """Count a header; raises ``FramingError`` if there are too many."""
        self.headers += 1
        if self.headers > MAX_HEADERS:
            raise FramingError(f'over {MAX_HEADERS} headers')

    def body_read(self, size: int, max_bytes: int) -> None:
        """Count bytes of a body; raises ``FramingError`` if it is too long."""
        self.body_bytes += size
        if self.body_bytes > max_bytes:
            raise FramingError(f'body exceeds {max_bytes} bytes')

    def received(self, size: int) -> None:
        """Count all bytes; raises ``FramingError`` if few are of a body."""
        self.total_bytes += size
        beside = self.total_bytes - self.body_bytes
        allowed = (
            MAX_HEAD_BYTES + self.body_bytes * OVERHEAD_BYTES_PER_BODY_BYTE
        )
        if beside > allowed:
            raise FramingError(f'{beside} bytes beside the body')
