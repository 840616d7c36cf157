"""Tests of links between nodes, without sockets."""

from itertools import repeat

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bilberryrail.core.ids import NodeId, RegionId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.fixtures_test import forward, peer
from bilberryrail.forwarding.records import BackendLoad
from bilberryrail.gateway.http_server_test import FakeTransport, ignore
from bilberryrail.gateway.link import (
    HELLO_TIMEOUT_S,
    LOST_AFTER_S,
    MEASURE_INTERVAL_S,
    MOST_HELLO_BYTES,
    Link,
)
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.packing import PACKED
from bilberryrail.gateway.traffic import Traffic

LOST = Failure(ConnectionLost())


class FakeReactor(Clock):
    """A paused clock whose connections the test opens."""

    def __init__(self):
        super().__init__()
        self.dialled = []

    def connectTCP(self, host, port, factory, timeout):
        self.dialled.append((host, factory))


class FakeEvents:
    """Records what links report."""

    def __init__(self):
        self.log = []

    def hello(self, expected):
        return messages.Hello(peer('n1'), expected)

    def received(self, link, message):
        self.log.append(('received', link.peer.node, type(message).__name__))

    def opened(self, link):
        self.log.append(('opened', link.peer.node))

    def closed(self, link):
        self.log.append(('closed', link.peer.node))

    def unreachable(self, node):
        self.log.append(('unreachable', node))

    def suspected(self, node):
        self.log.append(('suspected', node))

    def replaced(self, node):
        self.log.append(('replaced', node))

    def measured(self, found, round_trip_s):
        self.log.append(('measured', found.node, round(round_trip_s, 3)))

    def not_sent(self, node, message):
        self.log.append(('not-sent', node, message.attempt))


class Bench:
    """The links of node n1."""

    def __init__(self):
        self.reactor = FakeReactor()
        self.events = FakeEvents()
        self.links = Links(
            self.reactor,
            NodeId('n1'),
            RegionId('home'),
            ignore,
            Traffic(self.reactor, lambda: peer('n1'), Metrics(), ignore),
        )
        self.links.events = self.events

    def accept(self, hello):
        link = self.links.acceptor.buildProtocol(None)
        link.makeConnection(FakeTransport())
        self.deliver(link, hello)
        return link

    def dial(self, node='n2', *, answers=None):
        self.links.follow([peer(node)])
        link = self.reactor.dialled[-1][1].buildProtocol(None)
        link.makeConnection(FakeTransport())
        self.deliver(link, answers or messages.Hello(peer(node), 'n1'))
        return link

    def deliver(self, link, message):
        payload = messages.encode(message)
        link.dataReceived(len(payload).to_bytes(4, 'big') + payload)


@pytest.fixture
def bench():
    return Bench()


def test_link_to_another_node_at_this_address_replaces_nothing(bench):
    # Guards against a node that looks for a former owner of this address and
    # so cuts the link on which its own requests run.
    used = bench.accept(messages.Hello(peer('n2'), NodeId('n1')))
    wrong = bench.accept(messages.Hello(peer('n2'), NodeId('former')))
    assert bench.links.incoming['n2'] is used
    assert not used.transport.disconnecting
    assert wrong.transport.disconnecting
    assert ('closed', 'n2') not in bench.events.log


def test_dialer_learns_that_the_address_has_a_new_owner(bench):
    # Guards against dialling a node that is gone for ever.
    link = bench.dial('old', answers=messages.Hello(peer('new'), 'n1'))
    assert ('replaced', 'old') in bench.events.log
    assert ('opened', 'new') not in bench.events.log
    assert link.transport.disconnecting


def test_message_before_hello_ends_a_link(bench):
    # Guards against requests of somebody who is no node.
    link = bench.accept(forward(1))
    assert link.transport.disconnecting
    assert not bench.events.log


def test_bytes_that_are_no_message_end_a_link(bench):
    # Guards against a node that runs what it has misread.
    link = bench.accept(messages.Hello(peer('n2'), NodeId('n1')))
    link.dataReceived(b'\x00\x00\x00\x03\xff\xff\xff')
    assert link.transport.disconnecting


def test_request_waits_for_its_link(bench):
    # Guards against losing a request while its link is being opened.
    bench.links.follow([peer('n2')])
    bench.links.send('n2', forward(1))
    link = bench.reactor.dialled[-1][1].buildProtocol(None)
    link.makeConnection(FakeTransport())
    bench.deliver(link, messages.Hello(peer('n2'), 'n1'))
    assert link.due == {1}


def test_unsent_request_comes_back(bench):
    # Guards against an unknown outcome of a request that was never sent.
    bench.links.follow([peer('n2')])
    bench.links.send('n2', forward(1))
    bench.reactor.dialled[-1][1].clientConnectionFailed(None, LOST)
    assert ('not-sent', 'n2', 1) in bench.events.log
    assert ('unreachable', 'n2') in bench.events.log


def test_node_that_says_no_hello_is_avoided(bench):
    # Guards against requests for a paused node, whose kernel still accepts
    # connections.
    bench.links.follow([peer('n2')])
    link = bench.reactor.dialled[-1][1].buildProtocol(None)
    link.makeConnection(FakeTransport())
    bench.reactor.advance(HELLO_TIMEOUT_S)
    assert link.transport.disconnecting
    link.connectionLost(LOST)
    assert ('unreachable', 'n2') in bench.events.log


def test_failed_link_is_opened_again(bench):
    # Guards against a node that is out of touch until it restarts.
    bench.links.follow([peer('n2')])
    bench.reactor.dialled[-1][1].clientConnectionFailed(None, LOST)
    bench.reactor.advance(1)
    assert len(bench.reactor.dialled) == 2


def test_leaving_node_keeps_its_link_until_the_last_outcome(bench):
    # Guards against cutting requests at a node that says it leaves.
    link = bench.dial('n2')
    bench.links.send('n2', forward(1))
    bench.links.follow([])
    assert not link.transport.disconnecting
    assert ('closed', 'n2') not in bench.events.log


def test_silent_peer_is_suspected_and_given_up(bench):
    # Guards against requests that wait at a connection gone silent.
    link = bench.dial('n2')
    bench.links.send('n2', forward(1))
    bench.reactor.pump(repeat(0.1, 8))
    assert ('suspected', 'n2') in bench.events.log
    assert not link.transport.disconnecting
    bench.reactor.pump(repeat(0.1, int(LOST_AFTER_S * 10)))
    assert link.transport.disconnecting


def test_idle_link_is_left_alone(bench):
    # Guards against pings that are paid for and tell nothing.
    link = bench.dial('n2')
    before = len(link.transport.value())
    bench.reactor.pump(repeat(0.1, 50))
    assert len(link.transport.value()) == before


def test_stranger_cannot_fill_the_memory_before_its_hello(bench):
    # Guards against bytes without end from whoever connects to the port of the
    # links: only a short message may come before Hello.
    link = Link(bench.links, None)
    link.makeConnection(FakeTransport())
    link.dataReceived((MOST_HELLO_BYTES + 1).to_bytes(4, 'big'))
    assert link.transport.disconnecting


@pytest.mark.parametrize(
    ('zone', 'unpacks', 'is_packed'),
    [('east', True, False), ('west', True, True), ('west', False, False)],
)
def test_links_out_of_the_zone_are_compressed(bench, zone, unpacks, is_packed):
    # Guards against paying for repeated heads between zones, and against a
    # node of an earlier version that cannot read what it gets.
    hello = messages.Hello(
        peer('n2', zone=zone), 'n1', accepts_compression=unpacks
    )
    link = bench.dial(answers=hello)
    link.transport.clear()
    link.send(forward(1))
    sent = link.transport.value()
    assert (sent[4:5] == PACKED) is is_packed


def test_compressed_requests_arrive(bench):
    # Guards against requests that are lost between two nodes in other zones.
    far = messages.Hello(
        peer('n2', zone='west'), 'n1', accepts_compression=True
    )
    sender, receiver = bench.dial(answers=far), bench.accept(far)
    sender.transport.clear()
    sender.send(forward(1))
    sender.send(messages.Ping())
    receiver.dataReceived(sender.transport.value())
    assert bench.events.log[-2:] == [
        ('received', 'n2', 'Forward'),
        ('received', 'n2', 'Ping'),
    ]


def test_round_trip_of_a_link_is_measured(bench):
    # Guards against a distance that is assumed: other deployments' regions
    # are nearer or farther.
    bench.links.follow([peer('n2')])
    link = bench.reactor.dialled[-1][1].buildProtocol(None)
    link.makeConnection(FakeTransport())
    bench.reactor.advance(0.07)
    bench.deliver(link, messages.Hello(peer('n2'), 'n1'))
    assert ('measured', 'n2', 0.07) in bench.events.log
    bench.reactor.advance(MEASURE_INTERVAL_S + 0.1)
    bench.reactor.advance(0.05)
    bench.deliver(link, messages.Pong(BackendLoad()))
    assert ('measured', 'n2', 0.05) in bench.events.log


def test_peer_that_was_silent_for_a_while_keeps_a_running_booking(bench):
    # Guards against a booking that is given up, and cut at its backend server,
    # because its node was silent for two seconds: nobody else may run it, so
    # giving it up early wins nothing.
    link = bench.dial()
    link.send(forward(1, idempotent=False))
    bench.reactor.pump(repeat(0.1, 20))
    assert not link.transport.disconnecting
    assert ('closed', 'n2') not in bench.events.log
