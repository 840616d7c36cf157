"""Peer of a node for tests that control every byte on the link."""

import asyncio
import contextlib
from dataclasses import dataclass

from bilberryrail.wire import peer_pb2

#: Bytes of the length prefix of each frame.
_PREFIX_BYTES = 4


@dataclass(frozen=True, slots=True)
class RawPeer:
    """A link to a node whose other end is controlled by a test."""

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
        """Read one frame, or return None if the node has closed the link."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            prefix = await self.reader.readexactly(_PREFIX_BYTES)
            length = int.from_bytes(prefix, 'big')
            encoded = await self.reader.readexactly(length)
            return peer_pb2.Frame.FromString(encoded)
        return None

    def write(self, encoded: bytes) -> None:
        """Send bytes without framing."""
        self.writer.write(encoded)

    def end(self) -> None:
        """Close the sending direction; the link can still be read."""
        self.writer.write_eof()

    def cut(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()
