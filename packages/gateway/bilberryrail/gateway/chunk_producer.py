"""Writes large bodies in chunks, without copying them as a whole."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

#: Size of a chunk, in bytes.
CHUNK_BYTES: Final = 65_536


@implementer(IPullProducer)
class ChunkProducer:
    """Writes chunks one by one, each when the transport has sent the last one.

    What is written to a transport all at once is copied as a whole.

    Parameters
    ----------
    write_chunk
        Writes the next chunk; returns false if there is none.

    Attributes
    ----------
    is_active
        Whether chunks remain to be written.
    """

    def __init__(self, write_chunk: Callable[[], bool]) -> None:
        self.write_chunk = write_chunk
        self.is_active = False
        self.transport: Any = None

    def start(self, transport: Any) -> None:
        """Write the chunks to a transport, unless this goes on already."""
        if not self.is_active:
            self.is_active = True
            self.transport = transport
            transport.registerProducer(self, streaming=False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next chunk."""
        if self.is_active and not self.write_chunk():
            self.is_active = False
            transport = self.transport
            self.transport = None
            transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Write no more, since the connection is lost.

        The body is released at once; in a reference cycle with the connection,
        it would stay in memory until the garbage collector runs.
        """
        self.is_active = False
        self.transport = None
        self.write_chunk = _no_chunk


def _no_chunk() -> bool:
    return False


def slices(body: bytes) -> Iterator[memoryview]:
    """Return the chunks of a body."""
    view = memoryview(body)
    for start in range(0, len(view), CHUNK_BYTES):
        yield view[start : start + CHUNK_BYTES]


def write_message(transport: Any, head: bytes, body: bytes) -> ChunkProducer:
    """Write an HTTP message; a large body is written in chunks.

    The message is written completely once the returned producer is not active.
    """
    chunks = slices(body)

    def write_chunk() -> bool:  # noqa: WPS430
        chunk = next(chunks, None)
        if chunk is not None:
            transport.write(bytes(chunk))
        return chunk is not None

    producer = ChunkProducer(write_chunk)
    if len(body) <= CHUNK_BYTES:
        transport.write(head + body)
    else:
        transport.write(head)
        producer.start(transport)
    return producer
