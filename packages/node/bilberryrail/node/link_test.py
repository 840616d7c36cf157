"""Tests of a link with a simulated clock, without sockets."""

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bilberryrail.core.records import Member
from bilberryrail.node.idle_watch import IDLE_TIMEOUT_S, IdleWatch
from bilberryrail.node.link_machine import LinkPhase
from bilberryrail.node.peer_link import (
    CLOSE_TIMEOUT_S,
    HELLO_TIMEOUT_S,
    PeerLink,
)
from bilberryrail.wire import encoding, peer_pb2

PEER = Member('peer', 7, 'bookings', 'ub1', 'ulaanbaatar', '127.0.0.1', 1, 1)
PROBE = peer_pb2.Frame(probe=peer_pb2.Probe(probe=1))


class Transport(StringTransport):
    """A transport that can close one direction."""

    def __init__(self):
        super().__init__()
        self.has_ended = False
        self.is_aborted = False

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True

    def setTcpNoDelay(self, enabled):  # noqa: N802
        assert enabled

    def loseWriteConnection(self):  # noqa: N802
        assert self.producer is None
        self.has_ended = True


class Registry:
    """Records the events that a link reports."""

    max_body_bytes = 1000

    def __init__(self):
        self.reactor = Clock()
        self.reports = []

    def hello(self):
        return encoding.hello_frame(PEER)

    def opened(self, link):
        self.reports.append('opened')

    def received(self, link, frame):
        self.reports.append(frame.WhichOneof('kind'))

    def close_started(self, link):
        self.reports.append('closing')

    def ended(self, link):
        self.reports.append('ended')


def connected_link(is_dialer):
    link = PeerLink(Registry(), is_dialer, 'peer' if is_dialer else None)
    link.connection.makeConnection(Transport())
    return link


def feed(link, frame):
    encoded = frame.SerializeToString()
    prefix = len(encoded).to_bytes(4, 'big')
    link.connection.dataReceived(prefix + encoded)


def open_link(is_dialer=True):
    link = connected_link(is_dialer)
    feed(link, encoding.hello_frame(PEER))
    assert link.phase is LinkPhase.UP
    return link, link.connection.transport, link.registry


def test_peer_without_hello_is_disconnected_after_the_timeout():
    """Guards against unidentified connections that stay open."""
    link = connected_link(is_dialer=False)
    link.registry.reactor.advance(HELLO_TIMEOUT_S)
    assert link.phase is LinkPhase.DOWN
    assert link.connection.transport.disconnecting
    assert link.handshake_done.is_set()
    assert not link.registry.reports


def test_full_connection_queues_and_returns_unsent_frames():
    """Guards against unbounded buffers, and unsent frames reported as sent."""
    link, transport, registry = open_link()
    transport.producer.pauseProducing()
    transport.clear()
    for _ in range(3):
        link.send(PROBE)
    assert not transport.value()
    transport.producer.resumeProducing()
    assert transport.value()
    transport.producer.pauseProducing()
    link.send(PROBE)
    link.connection.connectionLost(Failure(ConnectionDone()))
    assert registry.reports == ['opened', 'ended']
    assert link.output.take_unsent() == [PROBE]


def test_finish_writes_queued_frames_and_still_reads_answers():
    """Guards against a shutdown that loses queued or late answers."""
    link, transport, registry = open_link()
    transport.producer.pauseProducing()
    link.send(PROBE)
    link.finish()
    assert not transport.has_ended
    transport.producer.resumeProducing()
    assert transport.has_ended
    feed(link, PROBE)
    feed(link, peer_pb2.Frame(call_request=peer_pb2.CallRequest()))
    assert registry.reports == ['opened', 'closing', 'probe']
    link.connection.readConnectionLost()
    assert transport.disconnecting
    link.connection.connectionLost(Failure(ConnectionDone()))
    assert registry.reports[-1] == 'ended'
    assert not registry.reactor.getDelayedCalls()


def test_peer_that_does_not_read_is_disconnected():
    """Guards against a shutdown that waits for a frozen peer."""
    link, transport, registry = open_link()
    transport.producer.pauseProducing()
    link.send(PROBE)
    link.finish()
    registry.reactor.advance(CLOSE_TIMEOUT_S)
    assert transport.is_aborted
    link.connection.connectionLost(Failure(ConnectionDone()))
    assert link.output.take_unsent() == [PROBE]


def test_hello_of_an_unexpected_node_closes_the_link():
    """Guards against calls to a node that now uses another node's address."""
    link = connected_link(is_dialer=True)
    link.expected = 'other'
    feed(link, encoding.hello_frame(PEER))
    assert link.phase is LinkPhase.DOWN
    assert 'other' in link.reason


def watched_link(is_required=False):
    link, _, registry = open_link()
    watch = IdleWatch(registry.reactor, link, lambda: is_required)
    return link, registry.reactor, watch


def test_idle_link_is_closed():
    """Guards against keeping a connection open to every node ever called."""
    link, clock, _ = watched_link()
    link.send(PROBE)
    clock.advance(IDLE_TIMEOUT_S)
    assert link.phase is LinkPhase.UP
    clock.advance(IDLE_TIMEOUT_S)
    assert link.phase is LinkPhase.CLOSING


def test_busy_or_required_link_stays_open():
    """Guards against closing a link with a running call or subscription."""
    link, clock, _ = watched_link(is_required=True)
    clock.pump((IDLE_TIMEOUT_S, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S))
    assert link.phase is LinkPhase.UP
    busy, clock, watch = watched_link()
    feed(busy, peer_pb2.Frame(call_request=peer_pb2.CallRequest()))
    clock.pump((IDLE_TIMEOUT_S, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S))
    assert busy.phase is LinkPhase.UP
    busy.send(peer_pb2.Frame(call_answer=peer_pb2.CallAnswer()))
    watch.stop()
    assert not clock.getDelayedCalls()
