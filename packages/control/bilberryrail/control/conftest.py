"""Simulated network of control planes with a simulated clock."""

import heapq
import random
from dataclasses import dataclass, field
from functools import partial

import pytest

from bilberryrail.control import messages
from bilberryrail.control.plane import ControlPlane
from bilberryrail.control.settings import (
    NodeIdentity,
    RelaySettings,
    SeedPeer,
)
from bilberryrail.core.ids import Incarnation, NodeId, Offset, Seconds
from bilberryrail.core.records import (
    LogEntry,
)

DELAY_S = 0.001
POLL_S = 0.5
ARRIVAL_S = 0.1
SETTINGS = RelaySettings(
    readers_per_region=2,
    children_per_parent=3,
    refresh_interval_s=20,
    seeds=(SeedPeer('n0', 1), SeedPeer('n1', 1)),
)


@dataclass
class FakeLog:
    """Fake log service with outages, lost answers and expired records."""

    records: list = field(default_factory=list)
    first: int = 0
    up: bool = True
    unreachable: set = field(default_factory=set)
    lose_answers: int = 0

    def is_reachable_from(self, node: NodeId) -> bool:
        """Return whether a node can reach the log."""
        return self.up and node not in self.unreachable

    @property
    def end(self) -> Offset:
        """Newest offset."""
        return Offset(len(self.records) - 1)

    def append(self, record) -> Offset:
        """Store a record."""
        self.records.append(record)
        return self.end

    def read(self, start: int):
        """Answer a read with at most 100 records."""
        if start < self.first:
            return messages.LogExpired(Offset(self.first))
        entries = tuple(
            LogEntry(Offset(offset), self.records[offset])
            for offset in range(start, min(start + 100, len(self.records)))
        )
        return messages.LogRead(entries, self.end)


@dataclass
class Delivery:
    """An event in flight; ``source`` is None if it crosses no link."""

    target: NodeId
    plane: ControlPlane
    source: NodeId | None
    event: object


class Transport:
    """Links between nodes, and events in flight."""

    def __init__(self) -> None:
        self.now = Seconds(1000)
        self.planes: dict[NodeId, ControlPlane] = {}
        self.frozen: set[NodeId] = set()
        self.partitioned = False
        self._openers: dict[frozenset, set] = {}
        self._linked: set[frozenset] = set()
        self._queue: list = []
        self._held: list[Delivery] = []
        self._sequence = 0

    def partition(self, partitioned: bool) -> None:
        """Disconnect or reconnect all links between regions."""
        self.partitioned = partitioned
        for pair in tuple(self._linked):
            if not self._may_link(pair):
                self._unlink(pair, 'partitioned')

    def _deliver_held(self) -> None:
        held = tuple(self._held)
        self._held.clear()
        for delivery in held:
            self._deliver(delivery)

    def _next_at(self) -> float:
        wakeups = [
            plane.wakeup_at
            for node, plane in self.planes.items()
            if node not in self.frozen
        ]
        queued = [self._queue[0][0]] if self._queue else []
        return min([*wakeups, *queued], default=float('inf'))

    def _run_queue(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            self._deliver(heapq.heappop(self._queue)[-1])

    def _deliver(self, delivery: Delivery) -> None:
        pair = frozenset((delivery.source, delivery.target))
        if self.planes.get(delivery.target) is not delivery.plane:
            return
        if delivery.target in self.frozen:
            self._held.append(delivery)
        elif isinstance(delivery.event, partial):
            delivery.event()
        elif delivery.source is None or pair in self._linked:
            self._handle(delivery.target, delivery.event)

    def _post(self, target, event, source=None, delay=DELAY_S) -> None:
        plane = self.planes.get(target)
        if plane is not None:
            self._sequence += 1
            delivery = Delivery(target, plane, source, event)
            item = (self.now + delay, self._sequence, delivery)
            heapq.heappush(self._queue, item)

    def _may_link(self, pair: frozenset) -> bool:
        planes = [self.planes.get(node) for node in pair]
        if None in planes or pair & self.frozen:
            return False
        regions = {plane.parts.own.region for plane in planes}
        return len(regions) == 1 or not self.partitioned

    def _open(self, node: NodeId, peer: NodeId) -> None:
        pair = frozenset((node, peer))
        self._openers.setdefault(pair, set()).add(node)
        if not self._may_link(pair):
            self._post(node, messages.LinkDown(peer, 'unreachable'))

    def _close(self, node: NodeId, peer: NodeId) -> None:
        pair = frozenset((node, peer))
        self._openers[pair].discard(node)
        if not self._openers[pair]:
            self._unlink(pair, 'closed')

    def _connect(self) -> None:
        for pair, openers in self._openers.items():
            if openers and pair not in self._linked and self._may_link(pair):
                self._linked.add(pair)
                left, right = sorted(pair)
                for node, peer in ((left, right), (right, left)):
                    own = self.planes[peer].parts.own
                    self._post(node, messages.LinkUp(own))

    def _unlink(self, pair: frozenset, reason: str) -> None:
        if pair in self._linked:
            self._linked.discard(pair)
            left, right = sorted(pair)
            self._post(left, messages.LinkDown(right, reason))
            self._post(right, messages.LinkDown(left, reason))


class Network(Transport):
    """Delivers the actions of control planes as events to others."""

    def __init__(self, settings: RelaySettings = SETTINGS) -> None:
        super().__init__()
        self.settings = settings
        self.log = FakeLog()
        self.random = random.Random(5)
        self.log_events: list[tuple[NodeId, str]] = []

    def start(self, *names: str, region: str = 'a') -> None:
        """Start nodes, each with a new incarnation."""
        for name in names:
            identity = NodeIdentity(
                node=NodeId(name),
                service='bookings',
                zone=f'{region}{sum(name.encode()) % 2}',
                region=region,
                host=name,
                port=1,
                http_port=2,
            )
            incarnation = Incarnation(self.random.getrandbits(64))
            rng = random.Random(incarnation)
            self.planes[NodeId(name)] = ControlPlane(
                self.settings,
                identity,
                incarnation,
                rng,
            )

    def kill(self, name: str) -> None:
        """Remove a node abruptly, as in a crash."""
        self.planes.pop(NodeId(name))
        for pair, openers in self._openers.items():
            if name in pair:
                openers.discard(name)
                self._unlink(pair, 'killed')

    def run(self, seconds: float) -> None:
        """Advance the clock and deliver events that fall due."""
        # A little longer than whole rounds, so that records appended in the
        # last round have arrived when the test continues.
        end = self.now + seconds + ARRIVAL_S
        self._deliver_held()
        while self.now < end:
            self._connect()
            step = min(self.now + 0.25, end)
            while self._next_at() <= step:
                self.now = max(self.now, self._next_at())
                self._run_queue()
                self._run_wakeups()
            self.now = step

    def hand_event(self, name: str, event) -> None:
        """Let a node handle an event at once."""
        self._handle(NodeId(name), event)

    def append(self, *records) -> None:
        """Store records directly in the log."""
        for record in records:
            self.log.append(record)

    def offsets(self) -> set[int]:
        """Return the set of the applied offsets of all nodes."""
        return {plane.state.offset for plane in self.planes.values()}

    def events(self, name: str) -> list[NodeId]:
        """List the nodes that logged an event, one item per log line."""
        return [node for node, event in self.log_events if event == name]

    def readers(self, region: str = 'a') -> list[NodeId]:
        """List the log readers of a region."""
        return sorted(
            node
            for node, plane in self.planes.items()
            if plane.parts.placement.is_reader
            and plane.parts.own.region == region
        )

    def _run_wakeups(self) -> None:
        for node, plane in tuple(self.planes.items()):
            if plane.wakeup_at <= self.now and node not in self.frozen:
                self._handle(node, messages.Tick())

    def _handle(self, node: NodeId, event) -> None:
        for action in self.planes[node].handle(event, self.now):
            self._apply_local_action(node, action)
            self._send(node, action)

    def _apply_local_action(self, node: NodeId, action) -> None:
        match action:
            case messages.ReadLog(start=start, wait=wait):
                self._poll(node, start, self.now + POLL_S * wait)
            case messages.AppendRecord(record=record):
                self._post(node, self._append(node, record))
            case messages.OpenLink(peer=peer):
                self._open(node, peer)
            case messages.OpenSeedLink(host=host):
                if host != node:
                    self._open(node, NodeId(host))
            case messages.CloseLink(peer=peer):
                self._close(node, peer)
            case messages.LogEvent(name=name):
                self.log_events.append((node, name))

    def _send(self, node: NodeId, action) -> None:
        match action:
            case messages.SendSubscribe(peer, applied, heartbeats_only):
                event = messages.SubscribeReceived(
                    node, applied, heartbeats_only
                )
                self._post(peer, event, node)
            case messages.SendRecords(peer, entries, current, unlogged):
                event = messages.RecordsReceived(
                    node, entries, current, unlogged
                )
                self._post(peer, event, node)
            case messages.SendState(peer=peer, state=state):
                self._post(peer, messages.StateReceived(node, state), node)
            case messages.SendStatus(peer=peer, report=report):
                self._post(peer, messages.StatusReceived(node, report), node)
            case messages.SendDraining(peer=peer):
                incarnation = self.planes[node].parts.own.incarnation
                event = messages.DrainingReceived(node, incarnation)
                self._post(peer, event, node)

    def _poll(self, node: NodeId, start: int, deadline: float) -> None:
        waits = self.log.is_reachable_from(node) and start > self.log.end
        if waits and self.now < deadline:
            poll = partial(self._poll, node, start, deadline)
            self._post(node, poll, delay=POLL_S / 10)
        else:
            self._post(node, self._read(node, start))

    def _read(self, node: NodeId, start: int):
        if self.log.is_reachable_from(node):
            return self.log.read(start)
        return messages.LogUnavailable('connection refused')

    def _append(self, node: NodeId, record):
        record_id = record.record_id
        if self.log.is_reachable_from(node):
            offset = self.log.append(record)
            if self.log.lose_answers == 0:
                return messages.AppendAcknowledged(record_id, offset)
            self.log.lose_answers -= 1
        return messages.AppendUncertain(record_id, 'no answer')


@pytest.fixture
def make_network() -> type[Network]:
    """Return the class of networks, for tests that start their own nodes."""
    return Network


@pytest.fixture
def network() -> Network:
    """Two regions with ten nodes each, all caught up and joined."""
    made = Network()
    made.start(*[f'n{number}' for number in range(10)])
    made.start(*[f'n{number}' for number in range(10, 20)], region='b')
    made.run(15)
    return made
