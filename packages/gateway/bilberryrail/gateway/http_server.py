"""HTTP/1.1 server with keep-alive and pipelining."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final
from typing import Protocol as Interface

import httptools
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from bilberryrail.forwarding.records import (
    ClientLimits,
    Header,
    HttpAnswer,
    HttpRequest,
)
from bilberryrail.gateway import sockets
from bilberryrail.gateway.framing import Framing, FramingError
from bilberryrail.gateway.http_text import answer_bytes, end_to_end
from bilberryrail.gateway.tasks import PeriodicTask, log_failure

#: Requests of one connection that are served at the same time; beyond that
#: number the connection is not read.
MAX_PIPELINED: Final = 64

#: Time that a closing connection waits for the client to close it too after the
#: last answer was sent, in seconds. Closing with unread bytes would reset the
#: connection, possibly before the client has read the answer.
LINGER_S: Final = 1.0

#: Interval at which connections are checked for idleness, in seconds.
IDLE_CHECK_S: Final = 1.0

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'

Respond = Callable[[HttpAnswer], None]
Abandon = Callable[[], None]


class Service(Interface):
    """Handler of the requests that a server reads."""

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> Abandon | None:
        """Start to serve a request.

        ``client`` is the client's IP address, and ``respond`` takes the answer.
        The returned function is called if the client closes the connection
        before it has the answer.
        """


class Slot:
    """Place of one answer in the order of the requests of a connection.

    Attributes
    ----------
    abandon
        Abandons the request; None once it is answered. It refers to the
        request, which refers to this slot, so that the body would otherwise
        stay in memory until the garbage collector runs.
    """

    def __init__(self, *, is_head: bool, closes: bool) -> None:
        self.is_head = is_head
        self.closes = closes
        self.answer: HttpAnswer | None = None
        self.abandon: Abandon | None = None


class ServerConnection(Protocol):
    """Connection of one client; the ``on_`` methods are parser callbacks.

    Attributes
    ----------
    slots
        Requests whose answers are not written yet, in order.
    is_ending
        Whether no further requests are read.
    active_at
        Time of the last sign that the client uses the connection.
    unsent
        Number of bytes of answers that were not sent at the last check.
    """

    def __init__(self, server: 'HttpServer') -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.slots: deque[Slot] = deque()
        self.target = b''
        self.headers: list[Header] = []
        self.chunks: list[bytes] = []
        self.framing = Framing()
        self.head_size = 0
        self.has_head = False
        self.is_reading = False
        self.is_ending = False
        self.is_lost = False
        self.is_paused = False
        self.active_at: float = 0
        self.unsent = 0
        self.host = ''
        self.linger: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        sockets.configure_socket(self.transport)
        self.host = self.transport.getPeer().host
        self.active_at = self.server.reactor.seconds()
        self.server.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests."""
        if self.is_ending:
            return
        if not self.is_reading:
            self.active_at = self.server.reactor.seconds()
            self.is_reading = True
        if not self.has_head:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError as error:
            if not self.is_ending:
                self.server.log('bad_request', reason=str(error))
                self._reject(HTTPStatus.BAD_REQUEST)
        self._check_sizes(len(data))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Abandon the requests whose client has closed the connection."""
        self.is_lost = True
        self.is_ending = True
        self.server.connections.discard(self)
        if self.linger is not None and self.linger.active():
            self.linger.cancel()
        self.parser = None
        self.chunks = []
        slots = tuple(self.slots)
        self.slots.clear()
        for slot in slots:
            if slot.answer is None and slot.abandon is not None:
                slot.abandon()
            slot.abandon = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self.target = b''
        self.headers = []
        self.chunks = []
        self.framing = Framing()
        self.has_head = False

    def on_url(self, part: bytes) -> None:
        """Collect a part of the request's target."""
        self.target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self.has_head:
            self.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Answer ``Expect: 100-continue`` so that the client sends its body."""
        self.has_head = True
        self.head_size = 0
        for name, text in self.headers:
            if name.lower() == b'expect' and text.lower() == b'100-continue':
                self.transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body, within the size limit."""
        self.framing.body_bytes += len(chunk)
        if self.framing.body_bytes <= self.server.limits.body_bytes:
            self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Serve a complete request."""
        self.is_reading = False
        if self.is_ending:
            return
        if self.framing.body_bytes > self.server.limits.body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        method = self.parser.get_method()
        slot = Slot(
            is_head=method == b'HEAD',
            closes=not self.parser.should_keep_alive(),
        )
        self.slots.append(slot)
        if slot.closes:
            self.is_ending = True
        request = HttpRequest(
            method,
            self.target,
            end_to_end(self.headers),
            b''.join(self.chunks),
        )
        self.chunks = []
        self._serve(slot, request)

    def close_if_idle(self) -> None:
        """Close the connection if it has no request."""
        if not self.slots and not self.is_reading:
            self._end()

    def check_idle(self, now: float) -> None:
        """Close the connection if it is idle or its headers are too slow.

        A client that takes no bytes of its answer for as long is gone.
        """
        limits = self.server.limits
        self._check_sent(now)
        if self.unsent:
            if now - self.active_at > limits.idle_timeout_s:
                self.transport.abortConnection()
            return
        if self.slots or self.is_ending:
            return
        if self.is_reading and not self.has_head:
            if now - self.active_at > limits.header_timeout_s:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif now - self.active_at > limits.idle_timeout_s:
            self._end()

    def _serve(self, slot: Slot, request: HttpRequest) -> None:
        def respond(answer: HttpAnswer) -> None:  # noqa: WPS430
            slot.answer = answer
            self._flush()

        abandon: Abandon | None = None
        try:
            abandon = self.server.service.serve(request, self.host, respond)
        except Exception:
            log_failure(self.server.log, Failure())
            if slot.answer is None:
                # The request may have been passed on before the error.
                respond(HttpAnswer(HTTPStatus.BAD_GATEWAY, is_own=True))
        if slot.answer is None:
            slot.abandon = abandon
        if len(self.slots) >= MAX_PIPELINED and not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def _flush(self) -> None:
        """Write the answers that are next in the order of the requests."""
        while self.slots and self.slots[0].answer is not None:
            slot = self.slots.popleft()
            slot.abandon = None
            if self.is_lost:
                continue
            is_last = not self.slots and not self.is_reading
            closes = slot.closes or (self.server.is_closing and is_last)
            self.transport.write(
                answer_bytes(
                    slot.answer,
                    closes=closes,
                    is_head=slot.is_head,
                ),
            )
            self.active_at = self.server.reactor.seconds()
            if closes:
                self._end()
        if self.is_paused and len(self.slots) < MAX_PIPELINED:
            self.is_paused = False
            self.transport.resumeProducing()

    def _check_sizes(self, received: int) -> None:
        limits = self.server.limits
        if self.is_ending:
            return
        if not self.has_head:
            if self.head_size > limits.header_bytes * 2:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self.framing.body_bytes > limits.body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.is_reading:
            self._check_framing(received)

    def _check_framing(self, received: int) -> None:
        """Reject a body with too many bytes of chunk framing or trailers."""
        try:
            self.framing.received(received)
        except FramingError as error:
            self.server.log('bad_request', reason=str(error))
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _reject(self, status: HTTPStatus) -> None:
        """Answer an invalid request with an error and close the connection."""
        self.is_ending = True
        slot = Slot(is_head=False, closes=True)
        slot.answer = HttpAnswer(status)
        self.slots.append(slot)
        self._flush()

    def _end(self) -> None:
        self.is_ending = True
        if self.is_lost or self.linger is not None:
            return
        self.active_at = self.server.reactor.seconds()
        self.transport.loseWriteConnection()
        self._linger()

    def _linger(self) -> None:
        """Close the connection some time after its last answer was sent.

        What the system has taken by then is still sent.
        """
        now = self.server.reactor.seconds()
        self._check_sent(now)
        if self.unsent or now - self.active_at < LINGER_S:
            self.linger = self.server.reactor.callLater(LINGER_S, self._linger)
        else:
            self.transport.loseConnection()

    def _check_sent(self, now: float) -> None:
        """Count sent bytes as activity."""
        unsent = sockets.unsent_bytes(self.transport)
        if unsent != self.unsent:
            self.unsent = unsent
            self.active_at = now


class HttpServer(Factory):
    """Factory of the connections to one address, served by one service.

    Attributes
    ----------
    is_closing
        Whether connections are closed after their last pending answer.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        service: Service,
        log: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.service = service
        self.log = log
        self.limits = ClientLimits()
        self.connections: set[ServerConnection] = set()
        self.is_closing = False
        self.idle_check = PeriodicTask(
            reactor, IDLE_CHECK_S, self._check_idle, log
        )
        self.idle_check.start()

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802
        """Create the protocol of an accepted connection."""
        return ServerConnection(self)

    @property
    def is_sending(self) -> bool:
        """Whether parts of answers have not been sent yet."""
        return any(
            sockets.unsent_bytes(connection.transport)
            for connection in self.connections
        )

    def start_closing(self) -> None:
        """Close idle connections now, and the others after their answers."""
        self.is_closing = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def _check_idle(self) -> None:
        now = self.reactor.seconds()
        for connection in tuple(self.connections):
            connection.check_idle(now)
