"""Bytes and processor time of records, messages and relay rounds.

Sizes are those of encoded protobuf frames, without the length prefix of 4 bytes
that the link adds to each frame and without TCP/IP headers.
"""

from dataclasses import replace
from typing import Final

from bilberryrail.bench import slope_world as world
from bilberryrail.control import messages
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.codec import encode_record
from bilberryrail.core.load import LoadReport
from bilberryrail.core.records import (
    Change,
    Evict,
    Join,
    Leave,
    LogEntry,
    Member,
    Record,
    ServiceEdit,
)
from bilberryrail.policy import actions, events
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.wire import peer_pb2
from bilberryrail.wire.frames import decode_frame

#: Number of records in each batch of a measurement.
_RECORDS: Final = 15
_OPERATIONS: Final = 200
_BODY_BYTES: Final = 1_048_576
#: Position of the measured node in the relay order. The node is first parent of
#: the nodes from ``_FIRST_CHILD`` on, and second parent of the next ones.
_INTERIOR_POSITION: Final = 5
_CHILDREN_PER_PARENT: Final = RelaySettings().children_per_parent
_FIRST_CHILD: Final = _INTERIOR_POSITION * _CHILDREN_PER_PARENT + 1
_LOAD: Final = LoadReport(3, 20, 1, 0.0123)
_ID: Final = '5f0c3e0f7d6b4a52a4ff32d09b1c77e1'

#: Messages of the relay.
RELAYED: Final = (
    messages.SendRecords,
    messages.SendStatus,
    messages.SendSubscribe,
)
#: Bytes of the length prefix of each frame.
FRAMING_BYTES: Final = 4


def refresh(number: int) -> Join:
    """Make the record that refreshes the announcement of a member."""
    return Join(f'{number:032x}', world.make_member(number))


def restart(number: int) -> Join:
    """Make the record that announces a new incarnation of a member."""
    return Join(f'{number:032x}', _restarted(number))


def change(number: int) -> Change:
    """Make the record of an operator's change of one service."""
    edit = ServiceEdit(world.make_service(number % world.SERVICES))
    base = world.MEMBERS + world.SERVICES
    return Change(f'{number:032x}', base, 'board', (edit,))


def records_in_frame(count: int) -> dict[str, float]:
    """Measure messages with ``count`` records of one kind each."""
    member = world.make_member(7)
    kinds: dict[str, Record] = {
        'refresh': refresh(7),
        'change': change(7),
        'leave': Leave(_ID, member.node, member.incarnation),
        'evict': Evict(_ID, member.node, member.incarnation, 20_000),
    }
    sizes = {
        f'{kind}: bytes': float(len(_records_frame(record, count)))
        for kind, record in kinds.items()
    }
    sizes['refresh: bytes in the log'] = len(encode_record(kinds['refresh']))
    frame = _records_frame(kinds['refresh'], count)
    sizes['refresh: decode µs'] = world.median_us(
        lambda _: decode_frame(_parse(frame), 'n', _BODY_BYTES),
        _OPERATIONS,
    )
    return sizes


def unlogged_in_frame(count: int) -> dict[str, float]:
    """Measure a message with ``count`` unlogged announcements."""
    found = tuple(world.make_member(number) for number in range(count))
    frame = world.frame_bytes(messages.SendRecords('n', (), 20_000, found))
    return {'bytes': len(frame)}


def status_report(zones: int) -> dict[str, float]:
    """Measure a status report on a number of availability zones."""
    report = {
        f'north-{number}': messages.ZoneStatus('north', 20_000, 3167, 0.5)
        for number in range(zones)
    }
    action = messages.SendStatus('n', report)
    frame = world.frame_bytes(action)
    return {
        'bytes': len(frame),
        'encode µs': world.median_us(
            lambda _: world.frame_bytes(action),
            _OPERATIONS,
        ),
        'decode µs': world.median_us(
            lambda _: decode_frame(_parse(frame), 'n', _BODY_BYTES),
            _OPERATIONS,
        ),
    }


def probe(members: int) -> dict[str, float]:
    """Measure a probe, its reply and their cost at the target."""
    engine = _interior(members)
    probe_frame = world.frame_bytes(actions.SendProbe('n', 70_000))
    reply_frame = world.frame_bytes(actions.SendProbeReply('n', 70_000, _LOAD))

    def answer(number: int) -> None:
        event = events.ProbeReceived('n', number)
        now = world.START_S + number * world.STEP_S / 10
        for action in engine.handle(event, now):
            if isinstance(action, actions.SendProbeReply):
                world.frame_bytes(action)

    return {
        'probe bytes': len(probe_frame),
        'reply bytes': len(reply_frame),
        'target µs (decide, encode)': world.median_us(answer, _OPERATIONS),
        'decode µs': world.median_us(
            lambda _: decode_frame(_parse(reply_frame), 'n', _BODY_BYTES),
            _OPERATIONS,
        ),
    }


def record_by_members(members: int) -> dict[str, float]:
    """Measure one record at a node without children, by cluster size."""
    return {
        'refresh µs': _record_cost(members, 0, refresh),
        'restart µs': _record_cost(members, 0, restart),
        'change µs': _record_cost(members, 0, change),
    }


def record_by_children(children: int) -> dict[str, float]:
    """Measure one record at a node with children in the full cluster."""
    return {
        'refresh µs': _record_cost(world.MEMBERS, children, refresh),
        'bytes sent': _bytes_sent(children),
    }


def relay_round(children: int) -> dict[str, float]:
    """Measure relay rounds of a node with children, without new records."""
    engine = _interior(world.MEMBERS, children)
    sent: list[int] = []

    def one_round(number: int) -> None:
        now = world.START_S + (number + 1) / 5
        current = engine.plane.state.offset
        parent = engine.plane.parts.sources.first
        events_now = [messages.RecordsReceived(parent, (), current)]
        if number % 5 == 0:
            events_now += _reports(engine)
        events_now.append(messages.Tick())
        for event in events_now:
            for action in engine.handle(event, now):
                if isinstance(action, RELAYED):
                    sent.append(len(world.frame_bytes(action)))

    spent = world.median_us(one_round, 10) * 5
    rounds = 7 * 10 / 5
    return {
        'µs per second': spent,
        'bytes sent per second': sum(sent) / rounds,
        'messages sent per second': len(sent) / rounds,
    }


def _reports(engine: NodeEngine) -> list[messages.StatusReceived]:
    zones = ('north-1', 'north-2')
    report = {
        zone: messages.ZoneStatus('north', 20_000, 8, 0.5) for zone in zones
    }
    peers = tuple(engine.plane.parts.relay.subscribers)[:_CHILDREN_PER_PARENT]
    return [messages.StatusReceived(peer, report) for peer in peers]


def _record_cost(members: int, children: int, make: object) -> float:
    engine = _interior(members, children)
    first = engine.plane.state.offset + 1
    parent = engine.plane.parts.sources.first

    def apply_record(number: int) -> None:
        entry = LogEntry(first + number, make(number))
        event = messages.RecordsReceived(parent, (entry,), entry.offset)
        now = world.START_S + number * world.STEP_S
        for action in engine.handle(event, now):
            if isinstance(action, messages.SendRecords):
                world.frame_bytes(action)

    return world.median_us(apply_record, _RECORDS)


def _bytes_sent(children: int) -> float:
    engine = _interior(world.MEMBERS, children)
    entry = LogEntry(engine.plane.state.offset + 1, refresh(9))
    parent = engine.plane.parts.sources.first
    event = messages.RecordsReceived(parent, (entry,), entry.offset)
    return sum(
        len(world.frame_bytes(action))
        for action in engine.handle(event, world.START_S)
        if isinstance(action, messages.SendRecords)
    )


def _interior(members: int, children: int = 0) -> NodeEngine:
    state = world.make_state(members)
    order = world.relay_order(state)
    engine = world.make_engine(state, order[_INTERIOR_POSITION])
    subscribers = order[_FIRST_CHILD : _FIRST_CHILD + children]
    for number, child in enumerate(subscribers):
        engine.handle(messages.LinkUp(child), world.START_S)
        asked = messages.SubscribeReceived(
            child.node,
            state.offset,
            heartbeats_only=number >= _CHILDREN_PER_PARENT,
        )
        engine.handle(asked, world.START_S)
    return engine


def _restarted(number: int) -> Member:
    member = world.make_member(number)
    return replace(member, incarnation=number + 1)


def _records_frame(record: Record, count: int) -> bytes:
    entries = tuple(LogEntry(20_000 + step, record) for step in range(count))
    return world.frame_bytes(messages.SendRecords('n', entries, 20_000))


def _parse(encoded: bytes) -> peer_pb2.Frame:
    return peer_pb2.Frame.FromString(encoded)
