"""Tests of the HTTP server: order of answers, limits and closing."""

import socket
import weakref
from functools import partial
from itertools import repeat

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from bilberryrail.forwarding.records import ClientLimits, HttpAnswer
from bilberryrail.gateway.activity import LINGER_S
from bilberryrail.gateway.http_server import HttpServer


def ignore(*_, **fields):
    """Discard a log line."""


class FakeTransport(StringTransport):
    """A transport in memory, with the socket methods that the server uses."""

    def __init__(self):
        super().__init__()
        self.half_closed = False

    def setTcpNoDelay(self, enabled):
        """Do nothing."""

    def setTcpKeepAlive(self, enabled):
        """Do nothing."""

    def getHandle(self):
        return self

    def setsockopt(self, *_):
        """Do nothing."""

    def loseWriteConnection(self):
        self.half_closed = True


class FakeService:
    """Records requests; the test answers them."""

    def __init__(self):
        self.requests = []
        self.responds = []
        self.gone = []

    def serve(self, request, client, respond):
        self.requests.append(request)
        self.responds.append(respond)
        return lambda: self.gone.append(request)


class Bench:
    """One connection to a server whose clock the test advances."""

    def __init__(self):
        self.clock = Clock()
        self.service = FakeService()
        self.server = HttpServer(self.clock, self.service, ignore)
        self.connection = self.server.buildProtocol(None)
        self.transport = FakeTransport()
        self.connection.makeConnection(self.transport)

    def send(self, *parts):
        for part in parts:
            self.connection.dataReceived(part)

    def hold_body(self):
        """Let the pending request hold a body; return a weak reference."""
        body = Body()
        slot = self.connection.slots[0]
        slot.abandon = partial(self.service.gone.append, body)
        return weakref.ref(body)

    def written(self):
        return self.transport.value()


@pytest.fixture
def bench():
    return Bench()


def get(path, extra=b''):
    return b'GET %b HTTP/1.1\r\nHost: a.example\r\n%b\r\n' % (path, extra)


def test_pipelined_answers_keep_the_order_of_the_requests(bench):
    # Guards against answers that are matched to the wrong requests.
    bench.send(get(b'/1') + get(b'/2') + get(b'/3'))
    for index in (2, 0, 1):
        body = b'answer-%d' % (index + 1)
        bench.service.responds[index](HttpAnswer(200, (), body))
    written = bench.written()
    positions = [written.index(b'answer-%d' % number) for number in (1, 2, 3)]
    assert positions == sorted(positions)


def test_body_in_chunks_arrives_whole(bench):
    # Guards against a body that is changed by decoding its chunks.
    bench.send(
        b'POST /x?a=1 HTTP/1.1\r\nHost: a\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
        b'6\r\n world\r\n0\r\nTrailer: x\r\n\r\n',
    )
    request = bench.service.requests[0]
    assert (request.target, request.body) == (b'/x?a=1', b'hello world')
    assert request.headers == ((b'Host', b'a'),)


def test_request_split_over_many_reads(bench):
    # Guards against a parser that expects a complete line in each read.
    for byte in get(b'/slow'):
        bench.send(bytes((byte,)))
    assert bench.service.requests[0].target == b'/slow'


def test_request_with_two_lengths_is_not_served(bench):
    # Guards against request smuggling.
    bench.send(
        b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\n\r\n',
    )
    assert not bench.service.requests
    assert bench.written().startswith(b'HTTP/1.1 400')


def test_hop_by_hop_headers_are_dropped(bench):
    # Guards against forwarding headers that concern one connection only.
    bench.send(
        get(b'/', b'Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX: 2\r\n')
    )
    names = [name for name, _ in bench.service.requests[0].headers]
    assert names == [b'Host', b'X']


def test_closed_connection_abandons_its_requests(bench):
    # Guards against work for a client that has closed its connection.
    bench.send(get(b'/1') + get(b'/2'))
    bench.service.responds[0](HttpAnswer(200))
    bench.connection.connectionLost(None)
    assert [one.target for one in bench.service.gone] == [b'/2']


def test_answer_after_the_connection_is_lost_is_dropped(bench):
    # Guards against an error in writing an answer to a closed connection.
    bench.send(get(b'/1'))
    bench.connection.connectionLost(None)
    before = bench.written()
    bench.service.responds[0](HttpAnswer(200))
    assert bench.written() == before


SMUGGLED = b'GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n'
UPGRADE = b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'


@pytest.mark.parametrize('is_split', [False, True])
def test_offer_to_change_the_protocol_is_ignored(bench, is_split):
    # Guards against a request that is answered twice because it offers another
    # protocol: the client takes the second answer, 400, for that to the request
    # behind it (DENIED and MIXED, review/10).
    requests = get(b'/1', UPGRADE) + get(b'/2') + get(b'/3', UPGRADE)
    size = 1 if is_split else len(requests)
    bench.send(
        *(requests[at : at + size] for at in range(0, len(requests), size))
    )
    targets = [one.target for one in bench.service.requests]
    assert targets == [b'/1', b'/2', b'/3']
    for respond in bench.service.responds:
        respond(HttpAnswer(200))
    assert bench.written().count(b'HTTP/1.1 200 ') == 3
    assert b' 400 ' not in bench.written()
    names = [name for name, _ in bench.service.requests[0].headers]
    assert names == [b'Host']


def test_request_with_a_body_and_an_offer_is_served_whole(bench):
    # Guards against a body that is dropped, or taken for the next request: the
    # parser stops behind a head with an offer.
    length = b'Content-Length: %d\r\n\r\n' % len(SMUGGLED)
    encoding = b'Transfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(SMUGGLED), SMUGGLED)
    for rest in (length + SMUGGLED, encoding + chunk):
        head = b'POST /1 HTTP/1.1\r\nHost: a\r\n%b' % UPGRADE
        bench.send(head + rest + get(b'/2'))
    bodies = [one.body for one in bench.service.requests]
    assert bodies == [SMUGGLED, b'', SMUGGLED, b'']


def test_offer_with_two_lengths_is_not_served(bench):
    # Guards against request smuggling behind an offer.
    bench.send(
        b'POST / HTTP/1.1\r\nHost: a\r\n%bContent-Length: 4\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n%b' % (UPGRADE, SMUGGLED)
    )
    assert not bench.service.requests
    assert bench.written().startswith(b'HTTP/1.1 400')


def test_requested_close_beside_an_offer_is_kept(bench):
    # Guards against a connection that stays open although the client wants to
    # close it.
    bench.send(get(b'/1', b'Connection: Upgrade, close\r\nUpgrade: h2c\r\n'))
    bench.service.responds[0](HttpAnswer(200))
    assert bench.transport.half_closed


def test_request_for_a_tunnel_is_answered_once(bench):
    # Guards against a second answer to a request that is not served.
    bench.send(b'CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n', get(b'/2'))
    assert bench.written().count(b'HTTP/1.1 400 ') == 1
    assert not bench.service.requests


def test_client_may_pause_reading_for_the_idle_timeout(bench):
    # Guards against a connection that the kernel resets in the middle of an
    # answer, because its client reads nothing for some seconds (LOST, review/9).
    options = {}
    bench.transport.setsockopt = lambda _, name, limit: options.update(
        {name: limit}
    )
    bench.server.limits = ClientLimits(idle_timeout_s=7)
    bench.connection.makeConnection(bench.transport)
    assert options[socket.TCP_USER_TIMEOUT] == 7000


def test_requested_close_comes_after_the_answer(bench):
    # Guards against closing a connection before its last answer.
    bench.send(get(b'/1', b'Connection: close\r\n'))
    assert not bench.transport.half_closed
    bench.service.responds[0](HttpAnswer(200, (), b'whole'))
    assert bench.written().endswith(b'Connection: close\r\n\r\nwhole')
    assert bench.transport.half_closed


def test_closing_server_answers_all_pipelined_requests_first(bench):
    # Guards against a shutdown that cuts the second of two requests.
    bench.send(get(b'/1') + get(b'/2'))
    bench.server.start_closing()
    bench.service.responds[0](HttpAnswer(200))
    assert not bench.transport.half_closed
    bench.service.responds[1](HttpAnswer(200))
    assert bench.transport.half_closed


def test_idle_connection_is_closed_after_the_idle_timeout(bench):
    # Guards against closing a connection earlier than stated, at the same time
    # as a client sends its next request.
    bench.send(get(b'/1'))
    bench.service.responds[0](HttpAnswer(200))
    bench.clock.pump(repeat(1.0, 14))
    assert not bench.transport.half_closed
    bench.clock.pump(repeat(1.0, 3))
    assert bench.transport.half_closed


def test_slow_headers_are_answered_with_408_and_closed(bench):
    # Guards against clients that occupy connections with incomplete requests.
    bench.send(b'GET / HTTP/1.1\r\nHost:')
    bench.clock.pump(repeat(1.0, 5))
    assert bench.written().startswith(b'HTTP/1.1 408')


def test_client_of_an_earlier_version_with_an_offer_is_closed(bench):
    # Guards against a client of HTTP/1.0 that waits for the end of its
    # connection, because its request was read again as one of HTTP/1.1.
    bench.send(b'GET /1 HTTP/1.0\r\nHost: a\r\n%b\r\n' % UPGRADE)
    bench.service.responds[0](HttpAnswer(200))
    assert bench.transport.half_closed


@pytest.mark.parametrize(
    ('payload', 'status'),
    [
        (get(b'/', b'X: %b\r\n' % (b'y' * 5000)), b'431'),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300\r\n\r\n'
            + b'z' * 300,
            b'413',
        ),
    ],
)
def test_sizes_are_limited(bench, payload, status):
    # Guards against clients that exhaust the memory of the node.
    bench.server.limits = ClientLimits(header_bytes=1000, body_bytes=200)
    for start in range(0, len(payload), 100):
        bench.send(payload[start : start + 100])
    assert bench.written().startswith(b'HTTP/1.1 %b' % status)
    assert not bench.service.requests


def test_head_request_gets_no_body(bench):
    # Guards against a body that the client reads as the next answer.
    bench.send(b'HEAD / HTTP/1.1\r\nHost: a\r\n\r\n')
    bench.service.responds[0](HttpAnswer(200, (), b'body'))
    assert bench.written().endswith(b'\r\n\r\n')


@pytest.mark.parametrize(
    ('head', 'endless'),
    [(b'1;a=', b'x'), (b'0\r\n', b'X: 1\r\n')],
)
def test_endless_chunk_framing_is_rejected(bench, head, endless):
    # Guards against a client whose chunk extension or trailers never end: their
    # bytes are not counted by the limit for the body.
    bench.send(
        b'POST / HTTP/1.1\r\nHost: a.example\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        head,
    )
    for _ in repeat(None, 4):
        bench.send(endless * (60_000 // len(endless)))
    assert b' 413 ' in bench.written()
    assert not bench.service.requests


def test_framing_limit_applies_to_each_request(bench):
    # Guards against counting the bytes of earlier requests against a later one.
    for _ in repeat(None, 2000):
        bench.send(get(b'/1', b'X: %b\r\n' % (b'x' * 100)))
        bench.service.responds[-1](HttpAnswer(200))
    assert len(bench.service.requests) == 2000


def test_request_whose_service_fails_is_answered(bench):
    # Guards against a client that gets no answer because of an unexpected error,
    # and against a promise that the request has not run.
    serve = bench.service.serve

    def fail(*_):
        raise OverflowError

    bench.service.serve = fail
    bench.send(get(b'/1'))
    assert bench.written().startswith(b'HTTP/1.1 502 ')
    bench.service.serve = serve
    bench.send(get(b'/2'))
    bench.service.responds[0](HttpAnswer(200))
    assert bench.written().count(b'HTTP/1.1 200 ') == 1


class Body:
    """Stands for the body of a request."""


@pytest.mark.usefixtures('no_collector')
def test_memory_of_a_request_is_released_without_the_collector(bench):
    # Guards against bodies of answered requests that stay in memory until the
    # garbage collector runs.
    bench.send(get(b'/1'))
    found = bench.hold_body()
    respond = bench.service.responds[0]
    respond(HttpAnswer(200))
    assert found() is None


class SlowTransport(FakeTransport):
    """A transport to a client that the test lets take bytes."""

    def __init__(self):
        super().__init__()
        self.dataBuffer = b''
        self.offset = 0

    def write(self, written):
        super().write(written)
        self.dataBuffer += written

    def take(self, size):
        self.dataBuffer = self.dataBuffer[size:]


@pytest.fixture
def slow_bench():
    found = Bench()
    found.transport = SlowTransport()
    found.connection.makeConnection(found.transport)
    found.send(get(b'/1', b'Connection: close\r\n'))
    found.service.responds[0](HttpAnswer(200, (), bytes(30000)))
    return found


def test_slow_client_gets_its_last_answer(slow_bench):
    # Guards against a connection that is reset 1 s after its answer was handed
    # to the transport, while a client on a slow link still receives it: it took
    # 1.5 s for 30,000 bytes (LOST, review/4).
    transport = slow_bench.transport
    while transport.dataBuffer:
        assert not transport.disconnecting
        transport.take(2000)
        slow_bench.clock.advance(0.1)
    slow_bench.clock.advance(LINGER_S)
    assert not transport.disconnecting
    slow_bench.clock.advance(LINGER_S)
    assert transport.disconnecting
    assert not transport.disconnected


def test_client_that_takes_no_bytes_is_given_up(slow_bench):
    # Guards against connections that are kept for clients that are gone.
    idle_s = ClientLimits().idle_timeout_s
    slow_bench.clock.pump(repeat(1.0, int(idle_s)))
    assert not slow_bench.transport.disconnected
    slow_bench.clock.pump(repeat(1.0, 3))
    assert slow_bench.transport.disconnected


def test_connection_is_not_idle_while_an_answer_is_sent(bench):
    # Guards against a connection that is closed as idle although its client is
    # still receiving an answer.
    bench.transport = SlowTransport()
    bench.connection.makeConnection(bench.transport)
    bench.send(get(b'/1'))
    bench.service.responds[0](HttpAnswer(200, (), bytes(30000)))
    for _ in range(20):
        bench.transport.take(100)
        bench.clock.advance(1.0)
    assert not bench.transport.half_closed


@pytest.mark.usefixtures('no_collector')
def test_memory_of_a_refused_request_is_released_without_the_collector(bench):
    # Guards against the same for a request that is answered before the service
    # returns the function that abandons it.
    bodies = []

    def refuse(request, client, respond):
        body = Body()
        bodies.append(weakref.ref(body))
        respond(HttpAnswer(503))
        return partial(bench.service.gone.append, (body, respond))

    bench.service.serve = refuse
    bench.send(get(b'/1'))
    assert bodies[0]() is None
