"""Tests that the proxy does to connections what its faults say."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from bilberryrail.gateway.settings import Address
from bilberryrail.soak.proxy import Fault, Proxy


class FakeReactor(Clock):
    """A paused clock whose connections the test opens."""

    def __init__(self):
        super().__init__()
        self.dialled = []

    def connectTCP(self, host, port, factory):
        self.dialled.append(factory)


class Bench:
    """A proxied connection with a client and a server side."""

    def __init__(self):
        self.reactor = FakeReactor()
        self.proxy = Proxy(self.reactor, Address('127.0.0.1', 1))
        self.client = self.proxy.buildProtocol(None)
        self.client.makeConnection(StringTransport())
        self.server = self.reactor.dialled[0].buildProtocol(None)
        self.server.makeConnection(StringTransport())

    def exchange(self):
        self.client.dataReceived(b'ask')
        self.server.dataReceived(b'answer')
        return (
            self.server.transport.value(),
            self.client.transport.value(),
        )


@pytest.fixture
def bench():
    return Bench()


@pytest.mark.parametrize(
    ('fault', 'seen'),
    [
        (Fault.NONE, (b'ask', b'answer')),
        (Fault.SILENCE, (b'', b'')),
        (Fault.ONE_WAY, (b'ask', b'')),
        (Fault.DELAY, (b'', b'')),
    ],
)
def test_faults(bench, fault, seen):
    # Guards against a soak whose faults do nothing.
    bench.proxy.fault = fault
    bench.proxy.delay_s = 0.2
    assert bench.exchange() == seen


def test_delayed_bytes_arrive(bench):
    # Guards against a delay that is a cut.
    bench.proxy.fault = Fault.DELAY
    bench.proxy.delay_s = 0.2
    bench.exchange()
    bench.reactor.advance(0.3)
    assert bench.server.transport.value() == b'ask'


def test_refused_and_reset_connections(bench):
    # Guards against a soak that never breaks a connection.
    bench.proxy.fault = Fault.REFUSE
    assert bench.proxy.buildProtocol(None) is None
    bench.proxy.reset()
    assert bench.client.transport.disconnecting
    assert bench.server.transport.disconnecting
