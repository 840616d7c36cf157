"""Tests of the HTTP client that sends one request at a time."""

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bilberryrail.gateway.http_channel import ChannelError, HttpChannel
from bilberryrail.gateway.http_server_test import FakeTransport

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'


class FakeReactor(Clock):
    """A clock that the test advances; connections are opened by the test."""

    def __init__(self):
        super().__init__()
        self.dialled = []

    def connectTCP(self, host, port, factory, timeout):
        self.dialled.append(factory)


class Bench:
    """A channel whose connections the test opens."""

    def __init__(self):
        self.reactor = FakeReactor()
        self.channel = HttpChannel(self.reactor, '10.0.0.9', 80, 1)
        self.ends = []

    def request(self, target):
        exchange = ensureDeferred(
            self.channel.request(b'GET', target, (), b'', 2),
        )
        exchange.addCallbacks(
            lambda raw: self.ends.append(raw.body),
            lambda failure: self.ends.append(failure.type),
        )

    def open(self):
        connection = self.reactor.dialled[-1].buildProtocol(None)
        connection.makeConnection(FakeTransport())
        return connection


@pytest.fixture
def bench():
    return Bench()


def test_second_request_waits_for_the_first(bench):
    # Guards against an answer that is matched to the wrong request, and against
    # a request that never ends.
    bench.request(b'/1')
    bench.request(b'/2')
    connection = bench.open()
    assert b'/2' not in connection.transport.value()
    connection.dataReceived(b'%b1' % ANSWER)
    assert b'/2' in connection.transport.value()
    connection.dataReceived(b'%b2' % ANSWER)
    assert bench.ends == [b'1', b'2']


def test_timeout_fails_one_request_and_the_next_is_sent(bench):
    # Guards against a silent connection that blocks all later requests.
    bench.request(b'/1')
    bench.request(b'/2')
    connection = bench.open()
    bench.reactor.advance(2)
    assert bench.ends == [ChannelError]
    assert connection.transport.disconnecting
    bench.open().dataReceived(b'%b2' % ANSWER)
    assert bench.ends == [ChannelError, b'2']


def test_lost_connection_fails_the_request(bench):
    # Guards against a truncated answer that is taken for a complete one.
    bench.request(b'/1')
    connection = bench.open()
    connection.dataReceived(ANSWER)
    connection.connectionLost(Failure(ConnectionLost()))
    assert bench.ends == [ChannelError]


def test_endless_answer_fails_the_request(bench):
    # Guards against a store or a backend server whose answer never ends.
    bench.channel.max_answer_bytes = 1000
    bench.request(b'/1')
    connection = bench.open()
    connection.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n%b' % (b'x' * 2000))
    assert bench.ends == [ChannelError]
    assert connection.transport.disconnecting
