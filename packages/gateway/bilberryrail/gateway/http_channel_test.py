"""Tests of the client that sends one request at a time."""

import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bilberryrail.gateway.http_channel import ChannelError, HttpChannel
from bilberryrail.gateway.http_server_test import FakeTransport

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'


class FakeReactor(Clock):
    """A paused clock whose connections the test opens."""

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
    # Guards against an answer that ends the wrong request, and a request that
    # never ends.
    bench.request(b'/1')
    bench.request(b'/2')
    connection = bench.open()
    assert b'/2' not in connection.transport.value()
    connection.dataReceived(b'%b1' % ANSWER)
    assert b'/2' in connection.transport.value()
    connection.dataReceived(b'%b2' % ANSWER)
    assert bench.ends == [b'1', b'2']


def test_late_answer_is_an_error_and_the_next_request_goes_on(bench):
    # Guards against a silent connection that holds up all later calls.
    bench.request(b'/1')
    bench.request(b'/2')
    connection = bench.open()
    bench.reactor.advance(2)
    assert bench.ends == [ChannelError]
    assert connection.transport.disconnecting
    bench.open().dataReceived(b'%b2' % ANSWER)
    assert bench.ends == [ChannelError, b'2']


def test_lost_connection_is_an_error(bench):
    # Guards against a cut answer that looks whole.
    bench.request(b'/1')
    connection = bench.open()
    connection.dataReceived(ANSWER)
    connection.connectionLost(Failure(ConnectionLost()))
    assert bench.ends == [ChannelError]


def test_endless_answer_fails_the_request(bench):
    # Guards against a store or a health check whose answer never ends.
    bench.channel.max_answer_bytes = 1000
    bench.request(b'/1')
    connection = bench.open()
    connection.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n%b' % (b'x' * 2000))
    assert bench.ends == [ChannelError]
    assert connection.transport.disconnecting
