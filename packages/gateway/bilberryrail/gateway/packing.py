"""Compresses the messages of one link with the ones before as context."""

import zlib
from typing import Final

#: First byte of a compressed message; MessagePack never begins with it.
PACKED: Final = b'\xc1'

#: Largest message that is compressed. Longer ones are mostly body, and would
#: hold up the process for milliseconds.
MOST_PACKED_BYTES: Final = 16_384

#: Logarithm of the window: 4 KB hold the heads of the last few messages.
_WINDOW_BITS: Final = -12

#: zlib's memory level; with this window a compressor takes some 32 KB.
_MEMORY_LEVEL: Final = 5

_LEVEL: Final = 6

#: End of each flushed block; it says nothing and is left out.
_FLUSH_MARK: Final = b'\x00\x00\xff\xff'


class PackingError(Exception):
    """Bytes that are no compressed message, or one that is too long."""


class Packer:
    """Compresses the messages that go one way over a link, in order."""

    def __init__(self) -> None:
        self.compressor = zlib.compressobj(
            _LEVEL,
            zlib.DEFLATED,
            _WINDOW_BITS,
            _MEMORY_LEVEL,
        )

    def pack(self, payload: bytes) -> bytes:
        """Compress a message, unless it is long."""
        if len(payload) > MOST_PACKED_BYTES:
            return payload
        packed = self.compressor.compress(payload)
        packed += self.compressor.flush(zlib.Z_SYNC_FLUSH)
        return PACKED + packed.removesuffix(_FLUSH_MARK)


class Unpacker:
    """Restores the messages that come one way over a link, in order."""

    def __init__(self) -> None:
        self.decompressor = zlib.decompressobj(_WINDOW_BITS)

    def unpack(self, payload: bytes) -> bytes:
        """Restore a message; raises ``PackingError``."""
        if not payload.startswith(PACKED):
            return payload
        packed = payload[len(PACKED) :] + _FLUSH_MARK
        try:
            plain = self.decompressor.decompress(packed, MOST_PACKED_BYTES + 1)
        except zlib.error as error:
            raise PackingError(str(error)) from error
        if len(plain) > MOST_PACKED_BYTES:
            raise PackingError(f'message exceeds {MOST_PACKED_BYTES} bytes')
        return plain
