"""A peer of a node over asyncio streams, with control over every byte."""

import asyncio
import contextlib
from dataclasses import dataclass

from bilberryrail.wire import peer_pb2

#: Bytes of the length in front of each frame.
_PREFIX_BYTES = 4


@dataclass(frozen=True, slots=True)
class RawPeer:
    """The side of a link that a test plays."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, port: int) -> 'RawPeer':
        """Connect to a node on loopback."""
        return cls(*await asyncio.open_connection('127.0.0.1', port))

    async def send_message(self, frame: peer_pb2.Frame) -> None:
        """Send one frame."""
        encoded = frame.SerializeToString()
        self.write(len(encoded).to_bytes(_PREFIX_BYTES, 'big') + encoded)
        await self.writer.drain()

    async def recv_message(self) -> peer_pb2.Frame | None:
        """Read one frame; None when the node has closed the link."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            prefix = await self.reader.readexactly(_PREFIX_BYTES)
            length = int.from_bytes(prefix, 'big')
            encoded = await self.reader.readexactly(length)
            return peer_pb2.Frame.FromString(encoded)
        return None

    def write(self, encoded: bytes) -> None:
        """Send any bytes."""
        self.writer.write(encoded)

    def end(self) -> None:
        """Send nothing more, but go on reading."""
        self.writer.write_eof()

    def cut(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()
