"""HTTP client that sends one request at a time over one connection."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import Deferred, DeferredLock, ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from bilberryrail.forwarding.records import Header, find_header
from bilberryrail.gateway import sockets
from bilberryrail.gateway.answer_reader import (
    AnswerError,
    AnswerReader,
    RawAnswer,
)
from bilberryrail.gateway.http_text import request_bytes

#: Default for the largest answer body that is read, in bytes.
MAX_ANSWER_BYTES: Final = 16_777_216


class ChannelError(Exception):
    """No complete answer was received; the request may have taken effect."""


class ChannelConnection(Protocol):
    """The connection of a channel.

    Attributes
    ----------
    waiting
        Fires with the answer to the request in flight; None without one.
    """

    def __init__(self, channel: 'HttpChannel') -> None:
        self.channel = channel
        self.waiting: Deferred[RawAnswer] | None = None
        self.reader = AnswerReader(channel.max_answer_bytes)
        self.payload = b''

    def connectionMade(self) -> None:  # noqa: N802
        """Write the request that the connection was opened for."""
        sockets.configure_socket(self.transport)
        if self.waiting is None:
            self.transport.abortConnection()
        else:
            self.transport.write(self.payload)

    def send_request(self, payload: bytes) -> 'Deferred[RawAnswer]':
        """Send a request as soon as the connection is open."""
        self.payload = payload
        self.waiting = Deferred(self._cancelled)
        self.reader = AnswerReader(self.channel.max_answer_bytes)
        if self.transport is not None:
            self.transport.write(payload)
        return self.waiting

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the answer; unexpected bytes close the connection."""
        if self.waiting is None:
            self.transport.abortConnection()
            return
        try:
            self.reader.feed(data)
        except AnswerError as error:
            self.fail(str(error))
            return
        if self.reader.complete:
            raw = self.reader.complete[0]
            if not raw.keeps_alive:
                self.channel.lost(self)
                self.transport.loseConnection()
            self._finish(raw)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fail the request in flight, or complete an answer without a length.

        Such an answer is complete only if the connection was closed cleanly.
        """
        self.channel.lost(self)
        raw = self.reader.connection_ended()
        self.reader.close()
        if raw is not None and reason.check(ConnectionDone):
            self._finish(raw)
        else:
            self.fail(reason.getErrorMessage())

    def fail(self, reason: str) -> None:
        """Fail the request in flight and close the connection."""
        waiting = self.waiting
        self.waiting = None
        self.channel.lost(self)
        self.reader.close()
        if self.transport is not None:
            self.transport.abortConnection()
        if waiting is not None:
            waiting.errback(ChannelError(reason))

    def _finish(self, raw: RawAnswer) -> None:
        waiting = self.waiting
        self.waiting = None
        self.reader.close()
        if waiting is not None:
            waiting.callback(raw)

    def _cancelled(self, _: Any) -> None:
        self.waiting = None
        self.channel.lost(self)
        if self.transport is not None:
            self.transport.abortConnection()


class HttpChannel:
    """Client for one address, with one connection that is reused."""

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        connect_timeout_s: float,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self.reactor = reactor
        self.host = host
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self.max_answer_bytes = max_answer_bytes
        self.lock = DeferredLock()
        self.connection: ChannelConnection | None = None

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: tuple[Header, ...],
        body: bytes,
        timeout_s: float,
    ) -> RawAnswer:
        """Send a request after all earlier ones have ended; return its answer.

        ``timeout_s`` runs from the time the request is sent. Raises
        ``ChannelError`` if no complete answer arrives in time.
        """
        if find_header(headers, b'host') is None:
            host = b'%b:%d' % (self.host.encode(), self.port)
            headers = ((b'Host', host), *headers)
        payload = request_bytes(method, target, headers, body)
        await self.lock.acquire()
        exchange = ensureDeferred(self._exchange(payload, timeout_s))
        exchange.addBoth(self._released)
        return await exchange

    def lost(self, connection: ChannelConnection) -> None:
        """Remove a connection that has ended."""
        if self.connection is connection:
            self.connection = None

    def close(self) -> None:
        """Close the connection; a request in flight fails."""
        if self.connection is not None:
            self.connection.fail('channel closed')

    async def _exchange(self, payload: bytes, timeout_s: float) -> RawAnswer:
        connection = self.connection or self._open()
        waiting = connection.send_request(payload)
        timer = self.reactor.callLater(
            timeout_s,
            connection.fail,
            f'no answer within {timeout_s} s',
        )
        waiting.addBoth(_stopping(timer))
        return await waiting

    def _released(self, passed: Any) -> Any:
        self.lock.release()
        return passed

    def _open(self) -> ChannelConnection:
        connection = ChannelConnection(self)
        self.connection = connection
        self.reactor.connectTCP(
            self.host,
            self.port,
            sockets.SingleConnectionFactory(connection, connection.fail),
            timeout=self.connect_timeout_s,
        )
        return connection


def _stopping(timer: Any) -> Callable[[Any], Any]:
    """Return a callback that cancels a timer and passes the result on."""

    def stop(passed: Any) -> Any:  # noqa: WPS430
        if timer.active():
            timer.cancel()
        return passed

    return stop
