"""Tests of the tasks that follow the store and announce a node there."""

from itertools import repeat
from random import Random

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.operators import OperatorState, ZoneRecord
from bilberryrail.forwarding.records import BackendPhase, StorePosition
from bilberryrail.gateway.announcer import MEMBERS_INTERVAL_S, Announcer
from bilberryrail.gateway.follower import (
    RETRY_S,
    TOLD_GRACE_S,
    StoreFollower,
)
from bilberryrail.gateway.metrics import Metrics
from bilberryrail.gateway.poll_schedule import PollSchedule
from bilberryrail.gateway.store import OperatorRecords
from bilberryrail.gateway.store_health import StoreHealth


class FakeStore:
    """Answers all calls at once, except for reads of records."""

    def __init__(self):
        self.calls = []
        self.waiting = None
        self.wait_s = 0
        self.era = 0
        self.members = {'n2': peer('n2')}

    async def operator_state(self):
        self.calls.append('state')
        return OperatorSnapshot(4, None, (), self.era)

    async def operator_records(self, offset, wait_s):
        self.calls.append(('records', offset))
        self.wait_s = wait_s
        self.waiting = Deferred()
        return await self.waiting

    async def announce(self, own):
        self.calls.append('announce')
        self.members[own.node] = own
        await succeed(None)
        return self.era

    async def announcements(self):
        self.calls.append('announcements')
        return list(self.members.values())


def _ignore(event, **fields):
    """Discard a log line."""


class Bench:
    """A follower whose node may depend on other readers."""

    def __init__(self):
        self.clock = Clock()
        self.store = FakeStore()
        self.operators = OperatorState()
        self.must_read = False
        self.health = StoreHealth(Metrics(), _ignore)
        self.follower = StoreFollower(
            self.clock,
            Random(1),
            self.store,
            self.operators,
            self.health,
            PollSchedule(
                Membership(peer('n1')), lambda: int(self.clock.seconds() * 1000)
            ),
            lambda: self.must_read,
        )
        self.announcer = Announcer(
            self.clock,
            Random(1),
            self.store,
            self.operators,
            Membership(peer('n1')),
            self.health,
            lambda: self.must_read,
        )

    def start(self):
        self.follower.start()
        self.announcer.start()

    def run(self, seconds):
        self.clock.pump(repeat(0.1, int(seconds / 0.1)))


@pytest.fixture
def bench():
    return Bench()


def test_every_node_reads_at_its_start(bench):
    # Guards against a node that waits for readers which have not started yet.
    bench.start()
    reads = ['state', 'announcements']
    assert bench.store.calls == [*reads, 'announce', 'announcements']


def test_node_that_need_not_read_makes_no_calls(bench):
    # Guards against calls of the store that grow with the fleet.
    bench.start()
    bench.store.calls.clear()
    bench.run(3 * MEMBERS_INTERVAL_S)
    assert not bench.store.calls


def test_node_that_must_read_continues_at_its_offset(bench):
    # Guards against skipping records when another node takes over as reader.
    bench.start()
    bench.operators.apply(ZoneRecord(6, 'east', is_out=True))
    bench.must_read = True
    bench.run(1)
    assert ('records', 7) in bench.store.calls
    record = ZoneRecord(7, 'west', is_out=True)
    bench.store.waiting.callback(OperatorRecords([record], 8))
    assert bench.operators.zones_out == {'east', 'west'}


def test_records_of_another_era_are_not_applied(bench):
    # Guards against records of a restored store that are applied behind an
    # offset of the time before, so that those in between are missed.
    bench.must_read = True
    bench.start()
    bench.run(1)
    record = ZoneRecord(4, 'west', is_out=True)
    bench.store.era = 2
    bench.store.waiting.callback(OperatorRecords([record], 5, era=2))
    assert not bench.operators.zones_out
    assert bench.operators.position == StorePosition(2, 4)


def test_state_of_an_earlier_era_is_not_adopted(bench):
    # Guards against a delayed answer of the store from before its restore.
    bench.start()
    bench.operators.replace(OperatorSnapshot(2, None, (), era=2))
    bench.must_read = True
    bench.run(1)
    bench.store.waiting.callback(OperatorRecords([], 4))
    bench.run(1)
    assert bench.operators.position == StorePosition(2, 2)
    assert not bench.health.is_reachable


def test_record_of_the_earlier_process_is_read_before_it_is_replaced(bench):
    # Guards against a restart that replaces the stored departure of its backend
    # server before it has read it, and uses the server again.
    earlier = peer('n1', started_ms=500, phase=BackendPhase.DRAINING)
    bench.store.members['n1'] = earlier
    found = []
    bench.announcer.on_peers = found.extend
    bench.start()
    assert earlier in found


def test_polls_of_a_reader_end_at_its_turn(bench):
    # Guards against readers whose polls all end together, so that none of them
    # notices for 12 s that the connections to the store have fallen silent.
    bench.must_read = True
    membership = bench.follower.polls.membership
    membership.merge([peer(f'n{number}') for number in range(2, 6)])
    bench.start()
    # The turn of n1 is one second after the begin of each period of five.
    assert bench.store.wait_s == 1
    bench.run(1)
    bench.store.waiting.callback(OperatorRecords([], 4))
    assert bench.store.wait_s == pytest.approx(5, abs=0.01)
    bench.run(2)
    record = ZoneRecord(4, 'west', is_out=True)
    bench.store.waiting.callback(OperatorRecords([record], 5))
    assert bench.store.wait_s == pytest.approx(3, abs=0.01)


def told_by_a_peer(bench):
    """Let a node that waits for records learn a change from a peer."""
    bench.must_read = True
    bench.start()
    bench.run(1)
    bench.store.calls.clear()
    bench.operators.apply(ZoneRecord(4, 'west', is_out=True))
    bench.follower.peer_told()


def test_read_that_misses_a_told_change_is_made_again(bench):
    # Guards against a node that depends on others for up to 12 s because its
    # connection to the store stays open and carries nothing more.
    told_by_a_peer(bench)
    bench.run(TOLD_GRACE_S + RETRY_S * 2)
    assert bench.store.calls == [('records', 5)]
    assert bench.store.wait_s == 0


def test_read_that_ends_with_a_told_change_is_not_made_again(bench):
    # Guards against needless calls of the store after each change.
    told_by_a_peer(bench)
    record = ZoneRecord(4, 'west', is_out=True)
    bench.store.waiting.callback(OperatorRecords([record], 5))
    bench.run(TOLD_GRACE_S + RETRY_S * 2)
    assert bench.store.calls == [('records', 5)]
    assert bench.store.wait_s > 0
    assert bench.health.is_reachable
