"""Tests of what nodes tell each other when a link opens."""

from types import SimpleNamespace

import pytest

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.backend_test import heartbeat
from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.messages import Hello, decode, encode
from bilberryrail.forwarding.records import (
    BackendPhase,
    BackendRun,
    InstanceId,
)
from bilberryrail.forwarding.run_statements import KnownRun
from bilberryrail.forwarding.target_test import Bench as TargetBench
from bilberryrail.gateway.message_router import LinkEventHandler, RolePorts
from bilberryrail.gateway.presence_test import Bench as PresenceBench

RUN = BackendRun(InstanceId('i1'), born_ms=100)


class Bench:
    """The handler of node n1, whose backend server is ready."""

    def __init__(self):
        own = PresenceBench()
        target = TargetBench()
        self.backend = target.backend
        self.presence = own.presence
        self.presence.backend = self.backend
        self.stored = own.stored
        ports = RolePorts(NodeId('n1'), None)
        ports.target = target.target
        self.events = LinkEventHandler(
            target.clock, ports, None, self.presence, None, None
        )
        self.presence.refresh()

    def receive(self, known):
        sent = Hello(peer('n2'), NodeId('n1'), known=known)
        link = SimpleNamespace(peer=peer('n2'))
        self.events.received(link, decode(encode(sent)))


@pytest.fixture
def bench():
    return Bench()


def test_restarted_node_is_told_a_stated_limit(bench):
    # Guards against a node that sends requests without a limit until the first
    # answer after its restart.
    bench.receive(KnownRun(RUN, rate_limit=7.5))
    assert bench.backend.statements.known_rate_limit == 7.5


def test_restarted_node_is_told_a_departure(bench):
    # Guards against a restart that makes a backend server that has left ready
    # again while the store cannot be read.
    bench.receive(KnownRun(RUN, has_departed=True))
    assert bench.presence.membership.own.phase is BackendPhase.DRAINING
    assert bench.stored


def test_peer_without_knowledge_changes_nothing(bench):
    # Guards against a limit or departure that nobody has stated.
    bench.receive(None)
    bench.receive(KnownRun(BackendRun(InstanceId('i0')), has_departed=True))
    assert bench.presence.membership.own.phase is BackendPhase.READY


def test_hello_names_what_is_known_of_the_expected_node(bench):
    # Guards against knowledge that is sent to a node that it does not concern.
    runs = bench.presence.candidates.runs
    runs.limit_reported(peer('n2'), 5)
    assert bench.events.make_hello(NodeId('n2')).known.rate_limit == 5
    assert bench.events.make_hello(NodeId('n3')).known is None


def test_departure_before_the_identification_is_kept():
    # Guards against a departure that is told before the first heartbeat.
    bench = TargetBench()
    left = BackendRun(InstanceId('i2'), born_ms=300)
    bench.backend.recall(
        KnownRun(left, has_departed=True), bench.clock.seconds()
    )
    bench.backend.heartbeat_received(
        heartbeat('i2', born=300), bench.clock.seconds()
    )
    assert bench.backend.phase is BackendPhase.DRAINING
