"""Tests of reading a response's body, turn by turn."""

import asyncio

import pytest
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from bilberryrail.node.http_body import BodyError, read_body


class Response:
    """A response that hands out its body's protocol."""

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


async def test_oversized_body_that_goes_on_loses_its_connection():
    """Guards against reading an answer without an end."""
    response = Response()
    body = read_body(response, 3)
    response.protocol.dataReceived(b'four')
    with pytest.raises(BodyError):
        await body.asFuture(asyncio.get_running_loop())
    await asyncio.sleep(0)
    assert response.transport.disconnecting


async def test_cancelled_body_loses_its_connection():
    """Guards against a cancelled call that goes on at the server."""
    response = Response()
    body = read_body(response, 3)
    body.addErrback(lambda _: None)
    body.cancel()
    assert response.transport.disconnecting
