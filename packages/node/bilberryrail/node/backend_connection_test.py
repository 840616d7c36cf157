"""Tests of the connection to the backend server, without sockets."""

import random

import pytest
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryrail.node.backend_connection import BackendConnection
from bilberryrail.node.http_response import MAX_HEAD_BYTES, ResponseError

OK = b'HTTP/1.1 200 OK\r\n'
LENGTH = b'%bContent-Length: 3\r\n\r\nabc' % OK
CODING = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKED = b'%b%b2\r\nab\r\n1\r\nc\r\n0\r\n\r\n' % (OK, CODING)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
MAX_BODY_BYTES = 10


class Transport(StringTransport):
    """A transport that records an abort."""

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def setTcpNoDelay(self, enabled):  # noqa: N802
        assert enabled

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True


class PendingRequest:
    """A connection with one pending request."""

    def __init__(self):
        self.idle = []
        self.lost = []
        self.connection = BackendConnection(
            MAX_BODY_BYTES, self.idle.append, self.lost.append
        )
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.responses = []
        self.errors = []
        self.deferred = self.connection.send_request(b'request')
        self.deferred.addCallbacks(
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
def test_response_is_complete_however_it_is_split(whole):
    """Guards against a body that depends on how TCP segments it."""
    source = random.Random(3)
    for _ in range(20):
        pending_request = PendingRequest()
        cut = source.randrange(1, len(whole))
        pending_request.feed(whole[:cut], whole[cut:])
        response = pending_request.responses[0]
        assert (response.status, response.body) == (200, b'abc')
        assert 'link' not in response.headers
        assert pending_request.idle == [pending_request.connection]
        assert not pending_request.is_closed


@pytest.mark.parametrize('end', [1, len(OK), len(LENGTH) - 1])
def test_truncated_responses_are_errors(end):
    """Guards against passing on a truncated answer as a complete one."""
    pending_request = PendingRequest()
    pending_request.feed(LENGTH[:end])
    pending_request.connection.connectionLost(Failure(ConnectionDone()))
    assert isinstance(pending_request.errors[0], ResponseError)
    assert pending_request.lost
    assert not pending_request.idle


@pytest.mark.parametrize(
    'faulty',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n12345678901',
        b'%b%bb\r\n12345678901\r\n0\r\n\r\n' % (OK, CODING),
        b'%bContent-Length: 1\r\nContent-Length: 2\r\n\r\nab' % OK,
        b'%bContent-Length: 1\r\n%b' % (OK, CODING),
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
        b'%bX: %b' % (OK, b'x' * MAX_HEAD_BYTES),
        b'SSH-2.0\r\n',
    ],
)
def test_faulty_responses_are_errors(faulty):
    """Guards against oversized, ambiguous or malformed answers."""
    pending_request = PendingRequest()
    pending_request.feed(faulty)
    assert isinstance(pending_request.errors[0], ResponseError)
    assert pending_request.is_closed
    assert not pending_request.idle


@pytest.mark.parametrize('extra', [LENGTH, b'junk', b'H'])
def test_bytes_after_a_response_close_the_connection(extra):
    """Guards against using one call's answer for the next call."""
    pending_request = PendingRequest()
    pending_request.feed(LENGTH + extra)
    assert pending_request.responses[0].body == b'abc'
    assert pending_request.is_closed
    assert not pending_request.idle


def test_bytes_without_a_request_close_the_connection():
    """Guards against using an unrequested response for the next call."""
    pending_request = PendingRequest()
    pending_request.feed(LENGTH, LENGTH)
    assert pending_request.is_closed
    assert len(pending_request.responses) == 1


def test_response_with_connection_close_is_complete():
    """Guards against reusing a connection that the server closes."""
    pending_request = PendingRequest()
    pending_request.feed(
        LENGTH.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
    )
    assert pending_request.responses[0].body == b'abc'
    assert pending_request.is_closed
    assert not pending_request.idle


def test_cancelled_request_closes_the_connection():
    """Guards against a cancelled call that keeps running at the server."""
    pending_request = PendingRequest()
    pending_request.deferred.cancel()
    assert isinstance(pending_request.errors[0], CancelledError)
    assert pending_request.is_closed
    pending_request.feed(LENGTH)
    pending_request.connection.connectionLost(Failure(ConnectionDone()))
    assert not pending_request.responses
