"""Tests of the connection to the backend server, without sockets."""

import random

import pytest
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryrail.node.backend_connection import BackendConnection
from bilberryrail.node.http_response import MOST_HEAD_BYTES, ResponseError

OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'%bContent-Length: 3\r\n\r\nabc' % OK
CODING = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKED = b'%b%b2\r\nab\r\n1\r\nc\r\n0\r\n\r\n' % (OK, CODING)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
MOST_BODY_BYTES = 10


class Transport(StringTransport):
    """A transport that records an abort."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        assert enabled

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class Asked:
    """A connection with one request under way."""

    def __init__(self):
        self.idle = []
        self.lost = []
        self.connection = BackendConnection(
            MOST_BODY_BYTES, self.idle.append, self.lost.append
        )
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.responses = []
        self.errors = []
        self.asking = self.connection.ask(b'request')
        self.asking.addCallbacks(
            self.responses.append,
            lambda failure: self.errors.append(failure.value),
        )

    def feed(self, *parts):
        for part in parts:
            self.connection.dataReceived(part)

    @property
    def is_closed(self):
        return self.transport.disconnecting or self.transport.is_aborted


@pytest.mark.parametrize('whole', [LENGTH, CHUNKED, INTERIM + LENGTH])
def test_whole_responses_in_any_parts(whole):
    """Guards against a body that depends on how TCP cuts it."""
    source = random.Random(3)
    for _ in range(20):
        asked = Asked()
        cut = source.randrange(1, len(whole))
        asked.feed(whole[:cut], whole[cut:])
        response = asked.responses[0]
        assert (response.status, response.body) == (200, b'abc')
        assert 'link' not in response.headers
        assert asked.idle == [asked.connection]
        assert not asked.is_closed


@pytest.mark.parametrize('end', [1, len(OK), len(LENGTH) - 1])
def test_cut_responses_are_errors(end):
    """Guards against passing on a part of an answer as the whole."""
    asked = Asked()
    asked.feed(LENGTH[:end])
    asked.connection.connectionLost(Failure(ConnectionDone()))
    assert isinstance(asked.errors[0], ResponseError)
    assert asked.lost
    assert not asked.idle


@pytest.mark.parametrize(
    'faulty',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901',
        b'%b%bb\r\n12345678901\r\n0\r\n\r\n' % (OK, CODING),
        b'%bContent-Length: 1\r\nContent-Length: 2\r\n\r\nab' % OK,
        b'%bContent-Length: 1\r\n%b' % (OK, CODING),
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
        b'%bX: %b' % (OK, b'x' * MOST_HEAD_BYTES),
        b'SSH-2.0\r\n',
    ],
)
def test_faulty_responses_are_errors(faulty):
    """Guards against endless or ambiguous answers."""
    asked = Asked()
    asked.feed(faulty)
    assert isinstance(asked.errors[0], ResponseError)
    assert asked.is_closed
    assert not asked.idle


@pytest.mark.parametrize('extra', [LENGTH, b'junk', b'H'])
def test_bytes_after_a_response_close_the_connection(extra):
    """Guards against handing one call's answer to the next call."""
    asked = Asked()
    asked.feed(LENGTH + extra)
    assert asked.responses[0].body == b'abc'
    assert asked.is_closed
    assert not asked.idle


def test_bytes_without_a_request_close_the_connection():
    """Guards against an unasked answer that waits for the next call."""
    asked = Asked()
    asked.feed(LENGTH, LENGTH)
    assert asked.is_closed
    assert len(asked.responses) == 1


def test_response_that_ends_the_connection_is_whole():
    """Guards against reuse of a connection that the server closes."""
    asked = Asked()
    asked.feed(LENGTH.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'))
    assert asked.responses[0].body == b'abc'
    assert asked.is_closed
    assert not asked.idle


def test_cancelled_request_closes_the_connection():
    """Guards against a cancelled call that goes on at the server."""
    asked = Asked()
    asked.asking.cancel()
    assert isinstance(asked.errors[0], CancelledError)
    assert asked.is_closed
    asked.feed(LENGTH)
    asked.connection.connectionLost(Failure(ConnectionDone()))
    assert not asked.responses
