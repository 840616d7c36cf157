"""Tests of how nodes tell each other which requests crash backend servers."""

from dataclasses import replace

import pytest
from twisted.internet.defer import Deferred, succeed

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.backend_test import heartbeat
from bilberryrail.forwarding.bounds import MAX_FINGERPRINT, MAX_SUSPECTS
from bilberryrail.forwarding.crash_ledger import MAX_EVIDENCE
from bilberryrail.forwarding.fixtures_test import RULES, forward, peer
from bilberryrail.forwarding.messages import Hello, decode, encode
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendRun,
    Clearance,
    CrashRecord,
    Fingerprint,
    InstanceId,
)
from bilberryrail.gateway.crash_reports import MAX_ANNOUNCED
from bilberryrail.gateway.link import MAX_HELLO_BYTES
from bilberryrail.gateway.presence import wall_ms
from bilberryrail.gateway.process_test import process  # noqa: F401

CULPRIT = Fingerprint(b'culprit')


def crash(number, age_s=0):
    run = BackendRun(InstanceId(f'i{number}'), number + 1)
    return CrashRecord(run, wall_ms() - int(age_s * 1000) - 100, (CULPRIT,))


@pytest.fixture
def node(process):  # noqa: F811
    process.stored = []
    process.acknowledged = succeed(True)

    def store():
        process.stored.append(process.membership.own.crashes)
        return process.acknowledged

    process.presence.store_announcement = store
    return process


def test_crash_is_announced_and_stored(node):
    # Guards against a crash that only one node knows, and against evidence that
    # is lost when all processes are killed (issue 29).
    node.backend.heartbeat_received(heartbeat(), 0)
    node.backend.request_started(1, 'r1', 0, CULPRIT)
    node.backend.connection_refused()
    announced = node.membership.own.crashes
    assert [one.suspects for one in announced] == [(CULPRIT,)]
    assert node.stored == [announced]


def test_crashes_while_the_store_is_away_add_no_calls(node):
    # Guards against one more repeated call to the store for each crash while it
    # does not answer; the newest announcement is written when it does.
    node.acknowledged = Deferred()
    for number in (1, 2, 3):
        run = BackendRun(InstanceId(f'i{number}'))
        node.crash_reports.backend_crashed(run, (CULPRIT,))
    assert [len(crashes) for crashes in node.stored] == [1]
    away = node.acknowledged
    node.acknowledged = succeed(True)
    away.callback(True)
    assert [len(crashes) for crashes in node.stored] == [1, 3]


def test_crashes_of_other_nodes_count(node):
    # Guards against a request that crashes a backend server of each node in
    # turn before any of them refuses it.
    others = [
        replace(peer(f'n{number}'), crashes=(crash(number),))
        for number in (2, 3, 4)
    ]
    node.presence.merge_announcements(others)
    assert node.quarantine.ledger.is_quarantined(CULPRIT)


def test_waiting_request_is_refused_when_it_is_quarantined(node):
    # Guards against sending a request that waited while others crashed.
    node.backend.rules = RULES
    node.backend.heartbeat_received(heartbeat(), 0)
    node.backend.slots = 0
    for attempt in (1, 2):
        message = forward(attempt, fingerprint=CULPRIT)
        node.target.offer(NodeId('n2'), message)
    assert len(node.target.queue)
    node.crash_reports.learned(tuple(crash(number) for number in range(3)))
    assert not len(node.target.queue)


def test_restarted_node_announces_its_earlier_crashes_again(node):
    # Guards against evidence that is lost when the node that has observed it
    # restarts, for nodes that start after that.
    earlier = replace(
        peer('n1', started_ms=500),
        crashes=tuple(crash(number) for number in range(3)),
    )
    node.presence.merge_announcements([earlier])
    assert node.membership.own.crashes == earlier.crashes
    assert node.quarantine.ledger.is_quarantined(CULPRIT)


def test_linked_node_tells_a_restarted_one_what_is_quarantined(node):
    # Guards against a node that forgets the quarantine in a restart while the
    # store is away: its own crashes are in no announcement of others.
    node.crash_reports.learned(tuple(crash(number) for number in range(3)))
    hello = decode(encode(node.links.events.make_hello(NodeId('n2'))))
    assert isinstance(hello, Hello)
    assert len(hello.crashes) == 3


def test_clearance_is_announced(node):
    # Guards against a harmless request that stays refused on other nodes.
    clearance = Clearance(CULPRIT, wall_ms())
    node.quarantine.on_cleared(clearance)
    assert node.membership.own.clearances == (clearance,)


def test_announced_crashes_are_limited_and_expire(node):
    # Guards against announcements that grow with the age of the node.
    node.crash_reports.restored((crash(0, age_s=700),), ())
    assert not node.membership.own.crashes
    crashes = tuple(crash(number) for number in range(MAX_ANNOUNCED + 5))
    node.crash_reports.restored(crashes, ())
    assert node.membership.own.crashes == crashes[-MAX_ANNOUNCED:]


def test_largest_hello_can_be_read():
    # Guards against a link that cannot be opened after many crashes.
    suspects = tuple(
        Fingerprint(bytes((number,)) * MAX_FINGERPRINT)
        for number in range(MAX_SUSPECTS)
    )
    crashes = tuple(
        replace(crash(number), suspects=suspects, answered=suspects)
        for number in range(MAX_ANNOUNCED)
    )
    hello = Hello(
        replace(peer('n1'), crashes=crashes),
        NodeId('n2'),
        crashes=crashes * 2,
    )
    assert len(hello.crashes) >= MAX_EVIDENCE
    assert len(encode(hello)) < MAX_HELLO_BYTES
    assert decode(encode(hello)) == hello


def test_request_of_an_earlier_version_is_never_quarantined(node):
    # Guards against refusing all requests of nodes that state no fingerprint.
    node.backend.heartbeat_received(heartbeat(), 0)
    node.backend.request_started(1, 'r1', 0, NO_FINGERPRINT)
    node.backend.connection_refused()
    assert not node.membership.own.crashes
