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
from bilberryrail.gateway.activity import Activity, LingeringClose
from bilberryrail.gateway.framing import Framing, FramingError
from bilberryrail.gateway.http_text import (
    answer_bytes,
    end_to_end,
    head_without_offer,
)
from bilberryrail.gateway.memory_budget import MemoryBudget, Reservation
from bilberryrail.gateway.request_body import RequestBody, stated_length
from bilberryrail.gateway.tasks import PeriodicTask, log_failure

#: Requests of one connection that are served at the same time; beyond that
#: number the connection is not read.
MAX_PIPELINED: Final = 64

#: Interval at which connections are checked for idleness, in seconds.
IDLE_CHECK_S: Final = 1.0

_MS_PER_S: Final = 1000

_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'

Respond = Callable[[HttpAnswer], None]
Abandon = Callable[[], None]
RefuseBody = Callable[[HttpRequest, int], HttpAnswer]


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
    reservation
        Memory of the request's body; None if it has none.
    """

    def __init__(self, *, is_head: bool, closes: bool) -> None:
        self.is_head = is_head
        self.closes = closes
        self.answer: HttpAnswer | None = None
        self.abandon: Abandon | None = None
        self.reservation: Reservation | None = None

    def end(self) -> None:
        """Release the request, which is answered or abandoned."""
        self.abandon = None
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None


class ServerConnection(Protocol):
    """Connection of one client; the ``on_`` methods are parser callbacks.

    Attributes
    ----------
    slots
        Requests whose answers are not written yet, in order.
    is_ending
        Whether no further requests are read.
    activity
        Last sign that the client uses the connection.
    lingering
        Closes the connection after its last answer.
    body
        Body of the request that is being read.
    """

    def __init__(self, server: 'HttpServer') -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.slots: deque[Slot] = deque()
        self.target = b''
        self.headers: list[Header] = []
        self.body = RequestBody(server.budget)
        self.framing = Framing()
        self.head_size = 0
        self.has_head = False
        self.is_reading = False
        self.is_ending = False
        self.is_lost = False
        self.is_paused = False
        self.host = ''
        self.activity = Activity(server.reactor)
        self.lingering = LingeringClose(server.reactor, self.activity)

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection.

        A client may pause reading for as long as it may be idle; after that,
        ``check_idle`` closes the connection.
        """
        idle_timeout_ms = self.server.limits.idle_timeout_s * _MS_PER_S
        sockets.configure_socket(self.transport, int(idle_timeout_ms))
        self.host = self.transport.getPeer().host
        self.activity.seen()
        self.server.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests."""
        if self.is_ending:
            self.lingering.received(len(data), self.server.limits.body_bytes)
            return
        if not self.is_reading:
            self.activity.seen()
            self.is_reading = True
        if not self.has_head:
            self.head_size += len(data)
        try:
            self._parse(data)
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
        self.lingering.cancel()
        self.parser = None
        self.body.drop()
        slots = tuple(self.slots)
        self.slots.clear()
        for slot in slots:
            if slot.answer is None and slot.abandon is not None:
                slot.abandon()
            slot.end()

    def on_message_begin(self) -> None:
        """Start a request."""
        self.target = b''
        self.headers = []
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
        """Reserve memory for the body, and ask for it if the client waits."""
        self.has_head = True
        self.head_size = 0
        if self.is_ending or self.parser.should_upgrade():
            return
        size = stated_length(self.headers, self.server.limits.body_bytes)
        if not self.body.reserve(size):
            self._refuse_body(size)
            return
        for name, text in self.headers:
            if name.lower() == b'expect' and text.lower() == b'100-continue':
                self.transport.write(_CONTINUE)

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body, within the limits."""
        self.framing.body_bytes += len(chunk)
        size = self.framing.body_bytes
        if self.is_ending or size > self.server.limits.body_bytes:
            return
        if not self.body.add(chunk, size):
            self._refuse_body(size)

    def on_message_complete(self) -> None:
        """Serve a complete request; ``_parse`` reads one with an offer again."""
        method = self.parser.get_method()
        if self.parser.should_upgrade() and not self.is_ending:
            if method == b'CONNECT':
                self._reject(HTTPStatus.BAD_REQUEST)
            return
        self.is_reading = False
        if self.is_ending:
            return
        if self.framing.body_bytes > self.server.limits.body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
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
            self.body.take(),
        )
        slot.reservation = self.body.reservation
        self.body = RequestBody(self.server.budget)
        self._serve(slot, request)

    def close_if_idle(self) -> None:
        """Close the connection if it has no request."""
        if not self.slots and not self.is_reading:
            self._end()

    def check_idle(self) -> None:
        """Close the connection if it is idle or its headers are too slow.

        A client that takes no bytes of its answer for as long is gone.
        """
        limits = self.server.limits
        self.activity.check_sent(self.transport)
        idle_s = self.activity.idle_s
        if self.activity.unsent:
            if idle_s > limits.idle_timeout_s:
                self.transport.abortConnection()
            return
        if self.slots or self.is_ending:
            return
        if self.is_reading and not self.has_head:
            if idle_s > limits.header_timeout_s:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif idle_s > limits.idle_timeout_s:
            self._end()

    def _parse(self, received: bytes) -> None:
        """Parse requests; offers to change the protocol are ignored.

        The parser stops behind a head with such an offer, also if a body
        follows. The head is parsed again without the offer.
        """
        while received and not self.is_ending:
            try:
                self.parser.feed_data(received)
            except httptools.HttpParserUpgrade as upgrade:
                start = b'%b %b HTTP/%b' % (
                    self.parser.get_method(),
                    self.target,
                    self.parser.get_http_version().encode(),
                )
                head = head_without_offer(start, self.headers)
                received = head + received[upgrade.args[0] :]
                self.parser = httptools.HttpRequestParser(self)
            else:
                return

    def _serve(self, slot: Slot, request: HttpRequest) -> None:
        def respond(answer: HttpAnswer) -> None:  # noqa: WPS430
            slot.answer = answer
            slot.end()
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
            self.activity.seen()
            if closes:
                self._end()
        if self.is_paused and len(self.slots) < MAX_PIPELINED:
            self.is_paused = False
            self.transport.resumeProducing()

    def _check_sizes(self, received: int) -> None:
        """Reject a head, a body, or its framing and trailers that is too large."""
        limits = self.server.limits
        if self.is_ending:
            return
        if not self.has_head:
            if self.head_size > limits.header_bytes * 2:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self.framing.body_bytes > limits.body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.is_reading:
            try:
                self.framing.received(received)
            except FramingError as error:
                self.server.log('bad_request', reason=str(error))
                self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _refuse_body(self, size: int) -> None:
        """Refuse the request whose body exceeds the budget at a size."""
        head = HttpRequest(
            self.parser.get_method(),
            self.target,
            end_to_end(self.headers),
            b'',
        )
        self._end_with(self.server.refuse_body(head, size))

    def _reject(self, status: HTTPStatus) -> None:
        """Answer an invalid request with an error and close the connection."""
        self._end_with(HttpAnswer(status))

    def _end_with(self, answer: HttpAnswer) -> None:
        """Read no further requests, and close the connection after an answer."""
        self.is_ending = True
        self.body.drop()
        slot = Slot(is_head=False, closes=True)
        slot.answer = answer
        self.slots.append(slot)
        self._flush()

    def _end(self) -> None:
        self.is_ending = True
        if not self.is_lost:
            self.lingering.start(self.transport)


class HttpServer(Factory):
    """Factory of the connections to one address, served by one service.

    Attributes
    ----------
    is_closing
        Whether connections are closed after their last pending answer.
    budget
        Limits the bodies of all requests that are not answered yet.
    refuse_body
        Builds the answer to a request, given without its body, whose body
        exceeds the budget at a size in bytes.
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
        self.budget = MemoryBudget()
        self.refuse_body: RefuseBody = _unavailable
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
        for connection in tuple(self.connections):
            connection.check_idle()


def _unavailable(request: HttpRequest, size: int) -> HttpAnswer:
    return HttpAnswer(HTTPStatus.SERVICE_UNAVAILABLE, is_own=True)
