"""HTTP client and backend server for tests that control every byte sent."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

ANSWER: Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Bilberryrail-Load: in_flight=1 cold=0 draining=0 boot=b1\r\n'
)
#: Length of the body in the answer to ``big``; above the limit of the harness.
BIG_ANSWER_BYTES: Final = 2000
#: Answer of a healthy backend server to ``GET /health``.
HEALTH: Final = b'{"in_flight": 0, "cold": 0, "draining": 0, "boot": "b1"}'
#: Ends the head of a message.
_BLANK: Final = b'\r\n\r\n'


@dataclass(frozen=True, slots=True)
class RawMessage:
    """A request or response: first line, headers in lower case, body."""

    first: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split()[1])

    @property
    def path(self) -> str:
        """Target of a request."""
        return self.first.split()[1]


async def read_message(reader: asyncio.StreamReader) -> RawMessage:
    """Read a message; without Content-Length its body is empty."""
    head = await reader.readuntil(_BLANK)
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    headers = {name.lower(): text.strip() for name, _, text in pairs}
    length = int(headers.get('content-length', '0'))
    return RawMessage(first, headers, await reader.readexactly(length))


def request_bytes(path: str, headers: str = '', body: bytes = b'') -> bytes:
    """Build a POST request; ``headers`` holds lines that end in CRLF."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: x\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class RawClient:
    """A client with one connection, opened by its first request."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(self, request: bytes) -> RawMessage:
        """Send a request and read its response."""
        await self.send(request)
        reader, _ = self.streams
        return await read_message(reader)

    async def send(self, request: bytes) -> None:
        """Send a request without waiting for its response."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(
                '127.0.0.1',
                self.port,
            )
        self.streams[1].write(request)

    def close(self) -> None:
        """Close the connection at once."""
        if self.streams is not None:
            self.streams[1].close()


@dataclass(slots=True)
class RawBackend:
    """A backend server whose behaviour the path of each request selects.

    ``cut`` closes the connection before the end of the body, ``hang`` waits
    for ``released``, ``open-end`` sends no Content-Length, ``big`` answers with
    2000 bytes and ``health`` with a load report. Other paths echo the body of
    the request.

    Attributes
    ----------
    aborted
        Number of connections that the client closed.
    """

    requests: list[RawMessage] = field(default_factory=list)
    released: asyncio.Event = field(default_factory=asyncio.Event)
    aborted: int = 0
    server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen on loopback."""
        self.server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            port,
        )

    def stop(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while await self._answer(await read_message(reader), writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.aborted += 1
        writer.close()

    async def _answer(
        self,
        request: RawMessage,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.requests.append(request)
        body = request.body
        kind = request.path.strip('/').partition('?')[0]
        if kind == 'hang':
            await self.released.wait()
        if kind == 'health':
            body = HEALTH
        if kind == 'big':
            body = bytes(BIG_ANSWER_BYTES)
        length = len(body) + (kind == 'cut')
        framing = f'Content-Length: {length}'
        if kind == 'open-end':
            framing = 'Connection: close'
        writer.write(b''.join((ANSWER, framing.encode(), _BLANK, body)))
        return kind not in {'cut', 'open-end'}
