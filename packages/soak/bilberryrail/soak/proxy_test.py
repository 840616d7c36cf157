"""Tests that each fault of the proxy has its effect on connections."""

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from bilberryrail.gateway.settings import Address
from bilberryrail.soak.proxy import Fault, Proxy


class FakeReactor(Clock):
    """A clock that the test advances; records connection attempts."""

    def __init__(self):
        super().__init__()
        self.factories = []

    def connectTCP(self, host, port, factory):
        self.factories.append(factory)


class ProxiedConnection:
    """A proxied connection with a client and a server side."""

    def __init__(self):
        self.reactor = FakeReactor()
        self.proxy = Proxy(self.reactor, Address('127.0.0.1', 1))
        self.client = self.proxy.buildProtocol(None)
        self.client.makeConnection(StringTransport())
        self.server = self.reactor.factories[0].buildProtocol(None)
        self.server.makeConnection(StringTransport())

    def exchange(self):
        self.client.dataReceived(b'ask')
        self.server.dataReceived(b'answer')
        return (
            self.server.transport.value(),
            self.client.transport.value(),
        )


@pytest.fixture
def connection():
    return ProxiedConnection()


@pytest.mark.parametrize(
    ('fault', 'seen'),
    [
        (Fault.NONE, (b'ask', b'answer')),
        (Fault.SILENCE, (b'', b'')),
        (Fault.ONE_WAY, (b'ask', b'')),
        (Fault.DELAY, (b'', b'')),
    ],
)
def test_each_fault_affects_the_expected_direction(connection, fault, seen):
    # Guards against faults without effect, with which a soak tests nothing.
    connection.proxy.fault = fault
    connection.proxy.delay_s = 0.2
    assert connection.exchange() == seen


def test_delayed_bytes_arrive(connection):
    # Guards against delayed bytes that are lost.
    connection.proxy.fault = Fault.DELAY
    connection.proxy.delay_s = 0.2
    connection.exchange()
    connection.reactor.advance(0.3)
    assert connection.server.transport.value() == b'ask'


def test_refused_and_reset_connections(connection):
    # Guards against refusals and resets without effect.
    connection.proxy.fault = Fault.REFUSE
    assert connection.proxy.buildProtocol(None) is None
    connection.proxy.reset()
    assert connection.client.transport.disconnecting
    assert connection.server.transport.disconnecting


def test_bytes_after_a_delay_do_not_overtake(connection):
    # Guards against bytes in an order that TCP never delivers, which soaks took
    # for answers that belong to other requests.
    connection.proxy.fault = Fault.DELAY
    connection.proxy.delay_s = 0.2
    connection.client.dataReceived(b'first ')
    connection.proxy.fault = Fault.NONE
    connection.client.dataReceived(b'second ')
    connection.proxy.fault = Fault.DELAY
    connection.proxy.delay_s = 0.1
    connection.client.dataReceived(b'third')
    connection.reactor.advance(0.3)
    assert connection.server.transport.value() == b'first second third'


@pytest.mark.parametrize('fault', [Fault.SILENCE, Fault.ONE_WAY])
def test_no_bytes_follow_dropped_ones(connection, fault):
    # Guards against a stream with a gap, which TCP never delivers and which a
    # compressed link decodes into other content.
    connection.proxy.fault = fault
    connection.server.dataReceived(b'dropped')
    connection.proxy.fault = Fault.NONE
    connection.server.dataReceived(b'rest')
    assert connection.client.transport.value() == b''
