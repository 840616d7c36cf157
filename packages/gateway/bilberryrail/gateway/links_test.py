"""Tests of links between nodes, without sockets."""

from itertools import repeat

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bilberryrail.core.ids import NodeId, RegionId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.fixtures_test import forward, peer
from bilberryrail.forwarding.records import BackendLoad, HttpAnswer
from bilberryrail.gateway.backend_pool import MAX_BUFFERED_BYTES
from bilberryrail.gateway.compression import COMPRESSED_MARK
from bilberryrail.gateway.http_server_test import FakeTransport, ignore
from bilberryrail.gateway.link import (
    HELLO_TIMEOUT_S,
    LOST_AFTER_S,
    MAX_HELLO_BYTES,
    MAX_MESSAGE_BYTES,
    ROUND_TRIP_INTERVAL_S,
    Link,
)
from bilberryrail.gateway.links import MAX_INCOMPLETE_BYTES, Links
from bilberryrail.gateway.memory_budget import MemoryBudget
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.traffic import Traffic

LOST = Failure(ConnectionLost())


class FakeReactor(Clock):
    """A clock that the test advances; connections are opened by the test."""

    def __init__(self):
        super().__init__()
        self.dialled = []

    def connectTCP(self, host, port, factory, timeout):
        self.dialled.append((host, factory))


class FakeEvents:
    """Records the events that links report."""

    def __init__(self):
        self.log = []

    def make_hello(self, expected):
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

    def stalled(self, node):
        self.log.append(('stalled', node))

    def peer_replaced(self, node, present):
        self.log.append(('replaced', node, present.node))

    def round_trip_measured(self, found, round_trip_s):
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
            MemoryBudget(),
        )
        self.links.events = self.events

    def accept(self, hello):
        link = self.links.acceptor.buildProtocol(None)
        link.makeConnection(FakeTransport())
        self.deliver(link, hello)
        return link

    def dial(self, node='n2', *, answers=None):
        self.links.update_peers([peer(node)])
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


def send_endless(links, part_bytes=65_536, total=200_000_000):
    """Send parts of messages that never end; return the most that was held."""
    most = 0
    for opened in links:
        opened.dataReceived(MAX_MESSAGE_BYTES.to_bytes(4))
    for _ in repeat(None, total // part_bytes // len(links)):
        for link in links:
            if not link.transport.disconnecting:
                link.dataReceived(bytes(part_bytes))
        most = max(most, sum(one.held_bytes for one in links))
    return most


def test_endless_messages_of_several_peers_are_limited_together(bench):
    # Guards against faulty peers whose bytes take a node over its memory, each
    # below the limit for one message (issue 42, LOST).
    faulty = [
        bench.accept(messages.Hello(peer(f'n{number}'), 'n1'))
        for number in range(2, 8)
    ]
    sound = bench.accept(messages.Hello(peer('n9'), 'n1'))
    assert send_endless(faulty) < MAX_INCOMPLETE_BYTES * 1.1
    assert any(link.transport.disconnecting for link in faulty)
    assert not sound.transport.disconnecting
    bench.deliver(sound, forward(1))
    assert bench.events.log[-1] == ('received', 'n9', 'Forward')


def test_rejected_message_leaves_no_bytes_behind(bench):
    # Guards against a closed link whose bytes stay in memory until the garbage
    # collector runs.
    links = [bench.dial(), bench.accept(messages.Hello(peer('n3'), 'n1'))]
    send_endless(links)
    closed = [link for link in links if link.transport.disconnecting]
    assert closed
    assert not any(link.parts for link in closed)


def test_lost_link_leaves_no_bytes_behind(bench):
    # Guards against the part of a message of a peer that has ended, which stays
    # in memory until the garbage collector runs.
    link = bench.accept(messages.Hello(peer('n2'), 'n1'))
    send_endless([link], total=10_000_000)
    link.connectionLost(LOST)
    assert not link.parts


def test_message_for_which_there_is_no_memory_is_rejected_at_once(bench):
    # Guards against reading a message up to a length that is never completed.
    link = bench.accept(messages.Hello(peer('n2'), 'n1'))
    link.dataReceived((MAX_MESSAGE_BYTES + 1).to_bytes(4))
    assert link.transport.disconnecting


def test_largest_answer_fits_into_a_message(bench):
    # Guards against a limit below the answers that a node accepts.
    link = bench.dial()
    answer = HttpAnswer(
        200, ((b'X', bytes(60_000)),), bytes(MAX_BUFFERED_BYTES)
    )
    bench.deliver(link, messages.Answered(1, answer, BackendLoad()))
    assert bench.events.log[-1] == ('received', 'n2', 'Answered')


def test_hello_for_another_node_replaces_no_link(bench):
    # Guards against a peer that looks for the former owner of this address
    # and thereby closes the link on which its own requests are in flight.
    used = bench.accept(messages.Hello(peer('n2'), NodeId('n1')))
    wrong = bench.accept(messages.Hello(peer('n2'), NodeId('former')))
    assert bench.links.incoming['n2'] is used
    assert not used.transport.disconnecting
    assert wrong.transport.disconnecting
    assert ('closed', 'n2') not in bench.events.log


def test_hello_of_another_node_reports_the_peer_as_replaced(bench):
    # Guards against endless attempts to connect to a node that is gone.
    link = bench.dial('old', answers=messages.Hello(peer('new'), 'n1'))
    assert ('replaced', 'old', 'new') in bench.events.log
    assert ('opened', 'new') not in bench.events.log
    assert link.transport.disconnecting


def test_message_before_hello_closes_the_link(bench):
    # Guards against requests from a process that is not a node.
    link = bench.accept(forward(1))
    assert link.transport.disconnecting
    assert not bench.events.log


def test_undecodable_message_closes_the_link(bench):
    # Guards against running requests that were decoded wrongly.
    link = bench.accept(messages.Hello(peer('n2'), NodeId('n1')))
    link.dataReceived(b'\x00\x00\x00\x03\xff\xff\xff')
    assert link.transport.disconnecting


def test_request_is_queued_until_its_link_is_open(bench):
    # Guards against losing a request while its link is being opened.
    bench.links.update_peers([peer('n2')])
    bench.links.send('n2', forward(1))
    link = bench.reactor.dialled[-1][1].buildProtocol(None)
    link.makeConnection(FakeTransport())
    bench.deliver(link, messages.Hello(peer('n2'), 'n1'))
    assert list(link.pending) == [1]


def test_request_is_returned_if_its_link_cannot_be_opened(bench):
    # Guards against an unknown outcome of a request that was never sent.
    bench.links.update_peers([peer('n2')])
    bench.links.send('n2', forward(1))
    bench.reactor.dialled[-1][1].clientConnectionFailed(None, LOST)
    assert ('not-sent', 'n2', 1) in bench.events.log
    assert ('unreachable', 'n2') in bench.events.log


def test_node_that_sends_no_hello_is_avoided(bench):
    # Guards against sending requests to a paused node: its kernel still accepts
    # connections.
    bench.links.update_peers([peer('n2')])
    link = bench.reactor.dialled[-1][1].buildProtocol(None)
    link.makeConnection(FakeTransport())
    bench.reactor.advance(HELLO_TIMEOUT_S)
    assert link.transport.disconnecting
    link.connectionLost(LOST)
    assert ('unreachable', 'n2') in bench.events.log


def test_failed_link_is_opened_again(bench):
    # Guards against a node that stays disconnected until it restarts.
    bench.links.update_peers([peer('n2')])
    bench.reactor.dialled[-1][1].clientConnectionFailed(None, LOST)
    bench.reactor.advance(1)
    assert len(bench.reactor.dialled) == 2


def test_leaving_node_keeps_its_link_until_the_last_outcome(bench):
    # Guards against cutting the requests in flight at a node that leaves.
    link = bench.dial('n2')
    bench.links.send('n2', forward(1))
    bench.links.update_peers([])
    assert not link.transport.disconnecting
    assert ('closed', 'n2') not in bench.events.log


def test_silent_peer_is_suspected_then_disconnected(bench):
    # Guards against requests that wait for outcomes on a dead connection.
    link = bench.dial('n2')
    bench.links.send('n2', forward(1))
    bench.reactor.pump(repeat(0.1, 8))
    assert ('suspected', 'n2') in bench.events.log
    assert not link.transport.disconnecting
    bench.reactor.pump(repeat(0.1, int(LOST_AFTER_S * 10)))
    assert link.transport.disconnecting


def test_idle_link_sends_no_pings(bench):
    # Guards against traffic that is paid for but has no use.
    link = bench.dial('n2')
    before = len(link.transport.value())
    bench.reactor.pump(repeat(0.1, 50))
    assert len(link.transport.value()) == before


def test_message_size_is_limited_before_hello(bench):
    # Guards against a process that connects to the port of the links and fills
    # the memory: until Hello has been read, only a short message is accepted.
    link = Link(bench.links, None)
    link.makeConnection(FakeTransport())
    link.dataReceived((MAX_HELLO_BYTES + 1).to_bytes(4, 'big'))
    assert link.transport.disconnecting


@pytest.mark.parametrize(
    ('zone', 'unpacks', 'is_compressed'),
    [('east', True, False), ('west', True, True), ('west', False, False)],
)
def test_links_to_other_zones_are_compressed(
    bench, zone, unpacks, is_compressed
):
    # Guards against paying for repeated headers between zones, and against
    # compressed messages to a node of an earlier version that cannot read them.
    hello = messages.Hello(
        peer('n2', zone=zone), 'n1', accepts_compression=unpacks
    )
    link = bench.dial(answers=hello)
    link.transport.clear()
    link.send(forward(1))
    sent = link.transport.value()
    assert (sent[4:5] == COMPRESSED_MARK) is is_compressed


def test_compressed_requests_arrive(bench):
    # Guards against compressed requests that the receiver cannot restore.
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
    # Guards against an assumed distance: the regions of other deployments are
    # nearer or farther.
    bench.links.update_peers([peer('n2')])
    link = bench.reactor.dialled[-1][1].buildProtocol(None)
    link.makeConnection(FakeTransport())
    bench.reactor.advance(0.07)
    bench.deliver(link, messages.Hello(peer('n2'), 'n1'))
    assert ('measured', 'n2', 0.07) in bench.events.log
    bench.reactor.advance(ROUND_TRIP_INTERVAL_S + 0.1)
    bench.reactor.advance(0.05)
    bench.deliver(link, messages.Pong(BackendLoad()))
    assert ('measured', 'n2', 0.05) in bench.events.log


def test_peer_that_was_silent_for_a_while_keeps_a_running_booking(bench):
    # Guards against closing a link with a booking in flight after two seconds
    # of silence, which also aborts the booking at its backend server. A booking
    # is not idempotent, so no other target may run it, and giving it up early
    # has no benefit.
    link = bench.dial()
    link.send(forward(1, idempotent=False))
    bench.reactor.pump(repeat(0.1, 20))
    assert not link.transport.disconnecting
    assert ('closed', 'n2') not in bench.events.log


def test_requests_that_others_can_run_leave_a_silent_peer(bench):
    # Guards against idempotent requests that wait for a paused node because a
    # booking is in flight there.
    link = bench.dial()
    link.send(forward(1, idempotent=False))
    link.send(forward(2))
    bench.reactor.pump(repeat(0.1, 14))
    assert ('stalled', 'n2') not in bench.events.log
    bench.reactor.pump(repeat(0.1, 3))
    assert ('stalled', 'n2') in bench.events.log


@pytest.mark.parametrize('is_received', [True, False])
def test_link_that_carries_a_large_message_is_not_silent(bench, is_received):
    # Guards against a link that is closed while a large body is on its way over
    # a narrow line: 1 MB takes 1.6 s at 5 Mbit/s.
    link = bench.dial()
    link.send(forward(1))
    part = len(bytes(100)).to_bytes(4, 'big')
    for size in range(40, 0, -1):
        if is_received:
            link.dataReceived(part)
            part = b'x'
        else:
            link.transport.dataBuffer = bytes(size)
        bench.reactor.advance(0.1)
    assert not link.transport.disconnecting


def test_message_that_cannot_be_handled_does_not_end_the_link(bench):
    # Guards against a message that ends all requests in flight on a link,
    # again after each new connection.
    link = bench.dial()

    def fail(*_):
        raise OverflowError

    received = bench.events.received
    bench.events.received = fail
    bench.deliver(link, messages.Load(BackendLoad()))
    bench.events.received = received
    bench.deliver(link, messages.Load(BackendLoad()))
    assert ('received', 'n2', 'Load') in bench.events.log
    assert not link.transport.disconnecting


def test_pause_of_this_process_is_not_the_silence_of_its_peers(bench):
    # Guards against a node that gives up all that runs at its peers when it
    # continues after a pause, before it reads what they have sent meanwhile.
    link = bench.dial()
    link.send(forward(1))
    bench.reactor.pump(repeat(0.1, 3))
    bench.reactor.advance(5 * LOST_AFTER_S)
    assert not link.transport.disconnecting
    assert ('suspected', 'n2') not in bench.events.log
    bench.reactor.pump(repeat(0.1, int(LOST_AFTER_S / 0.1) + 1))
    assert link.transport.disconnecting
