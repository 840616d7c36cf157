"""Compresses messages of a link, with earlier messages as the dictionary."""

import zlib
from typing import Final

#: First byte of a compressed message; no MessagePack message begins with it.
COMPRESSED_MARK: Final = b'\xc1'

#: Largest message that is compressed, in bytes. Longer messages consist mostly
#: of a body, and compressing them would block the process for milliseconds.
MAX_COMPRESSED_BYTES: Final = 16_384

#: Binary logarithm of the window, negative for a raw stream without a header.
#: Its 4 KB hold the heads of the last few messages.
_WINDOW_BITS: Final = -12

#: zlib's memory level; with this window a compressor takes some 32 KB.
_MEMORY_LEVEL: Final = 5

_LEVEL: Final = 6

#: Last bytes of each flushed block. They are constant, so they are not sent.
_FLUSH_MARK: Final = b'\x00\x00\xff\xff'


class CompressionError(Exception):
    """A compressed message is invalid or too long."""


class Compressor:
    """Compresses the messages that go one way over a link, in order."""

    def __init__(self) -> None:
        self.compressor = zlib.compressobj(
            _LEVEL,
            zlib.DEFLATED,
            _WINDOW_BITS,
            _MEMORY_LEVEL,
        )

    def compress(self, payload: bytes) -> bytes:
        """Compress a message, unless it is long."""
        if len(payload) > MAX_COMPRESSED_BYTES:
            return payload
        packed = self.compressor.compress(payload)
        packed += self.compressor.flush(zlib.Z_SYNC_FLUSH)
        return COMPRESSED_MARK + packed.removesuffix(_FLUSH_MARK)


class Decompressor:
    """Restores the messages that come one way over a link, in order."""

    def __init__(self) -> None:
        self.decompressor = zlib.decompressobj(_WINDOW_BITS)

    def decompress(self, payload: bytes) -> bytes:
        """Restore a message; raises ``CompressionError``."""
        if not payload.startswith(COMPRESSED_MARK):
            return payload
        packed = payload[len(COMPRESSED_MARK) :] + _FLUSH_MARK
        try:
            plain = self.decompressor.decompress(
                packed, MAX_COMPRESSED_BYTES + 1
            )
        except zlib.error as error:
            raise CompressionError(str(error)) from error
        if len(plain) > MAX_COMPRESSED_BYTES:
            raise CompressionError(
                f'message exceeds {MAX_COMPRESSED_BYTES} bytes'
            )
        return plain
