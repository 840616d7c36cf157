"""Tests of reading the body of a response."""

import asyncio

import pytest
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from bilberryrail.node.http_body import BodyError, read_body


class Response:
    """A response that records the protocol that reads its body."""

    def __init__(self):
        self.transport = StringTransport()

    def deliverBody(self, protocol):  # noqa: N802
        self.protocol = protocol
        protocol.makeConnection(self.transport)


async def test_oversized_body_that_has_ended_keeps_its_connection():
    """Guards against closing a connection that is back in the pool."""
    response = Response()
    body = read_body(response, 3)
    response.protocol.dataReceived(b'four')
    response.protocol.connectionLost(Failure(ResponseDone()))
    with pytest.raises(BodyError):
        await body.asFuture(asyncio.get_running_loop())
    await asyncio.sleep(0)
    assert not response.transport.disconnecting


async def test_oversized_body_that_has_not_ended_closes_its_connection():
    """Guards against reading an endless answer."""
    response = Response()
    body = read_body(response, 3)
    response.protocol.dataReceived(b'four')
    with pytest.raises(BodyError):
        await body.asFuture(asyncio.get_running_loop())
    await asyncio.sleep(0)
    assert response.transport.disconnecting


async def test_cancelled_body_closes_its_connection():
    """Guards against a cancelled call that keeps running at the server."""
    response = Response()
    body = read_body(response, 3)
    body.addErrback(lambda _: None)
    body.cancel()
    assert response.transport.disconnecting
