"""Control traffic of an interior relay node on an ordinary day.

Simulates ten minutes with the default settings at the rates of section 1.7 of
the design page, and counts every message of the relay.
"""

import time
from collections.abc import Iterator
from itertools import product
from operator import itemgetter
from typing import Final

from bilberryrail.bench import slope_world as world
from bilberryrail.bench.slope_messages import (
    FRAMING_BYTES,
    RELAYED,
    change,
    refresh,
    restart,
)
from bilberryrail.control import messages
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import NodeId, Offset, Seconds
from bilberryrail.core.records import Leave, LogEntry, Member, Record
from bilberryrail.policy.engine import NodeEngine

#: Length of the simulation, in seconds.
SIMULATED_S: Final = 600
#: Position of the simulated node in the relay order.
_POSITION: Final = 5
_DAY_S: Final = 86_400
_CHANGES_A_DAY: Final = 24_000
_RESTARTS_A_DAY: Final = 7200
_TICKS_PER_S: Final = 5
_MS_PER_S: Final = 1000
#: Time from each heartbeat to the status reports of the children, in seconds.
_REPORT_DELAY_S: Final = 0.5
_NEVER: Final = Seconds(float('inf'))

#: Time in seconds, event, and its size in bytes on the wire.
Arrival = tuple[float, messages.ControlEvent, int]


def interior(_: int) -> dict[str, float]:
    """Simulate the node; the processor time is that of the engine alone."""
    state = world.make_state(world.MEMBERS)
    order = world.relay_order(state)
    engine = world.make_engine(state, order[_POSITION])
    arriving = _arriving(engine, order)
    before = time.process_time()
    sent = list(_sent(engine, arriving))
    spent = time.process_time() - before
    received = sum(map(itemgetter(2), arriving))
    return {
        'bytes received/s': received / SIMULATED_S,
        'bytes sent/s': sum(sent) / SIMULATED_S,
        'bytes/s': (received + sum(sent)) / SIMULATED_S,
        'messages sent/s': len(sent) / SIMULATED_S,
        'processor ms/s': spent / SIMULATED_S * _MS_PER_S,
    }


def _arriving(engine: NodeEngine, order: list[Member]) -> list[Arrival]:
    """List all events that the node receives."""
    children = _subscribe(engine, order)
    return [*_ticks(), *_reports(children), *_relayed(engine)]


def _sent(engine: NodeEngine, arriving: list[Arrival]) -> Iterator[int]:
    """Handle the events in order and yield the sizes of messages sent."""
    for at, event, *_ in sorted(arriving, key=itemgetter(0)):
        for action in engine.handle(event, world.START_S + at):
            if isinstance(action, RELAYED):
                yield len(world.frame_bytes(action)) + FRAMING_BYTES


def _subscribe(engine: NodeEngine, order: list[Member]) -> list[Member]:
    """Subscribe the children of the node and those of the next node.

    Returns the children of the node. The others get only heartbeats from it.
    """
    count = RelaySettings().children_per_parent
    start = _POSITION * count + 1
    children = order[start : start + 2 * count]
    subscribers = engine.plane.parts.relay.subscribers
    for index, child in enumerate(children):
        engine.handle(messages.LinkUp(child), world.START_S)
        asked = messages.SubscribeReceived(
            child.node,
            engine.plane.state.offset,
            heartbeats_only=index >= count,
        )
        engine.handle(asked, world.START_S)
        # The subscriptions never expire, because the simulation outlasts them
        # and contains no renewals.
        subscribers[child.node].renewed_at = _NEVER
    return children[:count]


def _ticks() -> Iterator[Arrival]:
    for step in range(SIMULATED_S * _TICKS_PER_S):
        yield step / _TICKS_PER_S, messages.Tick(), 0


def _reports(children: list[Member]) -> Iterator[Arrival]:
    """Yield a report on two availability zones per child and second."""
    zone = messages.ZoneStatus('north', 20_000, 8, 0.5)
    report = {'north-1': zone, 'north-2': zone}
    frame = world.frame_bytes(messages.SendStatus('n', report))
    for second, child in product(range(SIMULATED_S), children):
        event = messages.StatusReceived(child.node, report)
        yield second + _REPORT_DELAY_S, event, len(frame) + FRAMING_BYTES


def _relayed(engine: NodeEngine) -> Iterator[Arrival]:
    """Yield the records of the first parent and heartbeats of the second."""
    first, second = engine.plane.parts.sources.chosen
    offset = engine.plane.state.offset
    timed = [(float(number), None) for number in range(SIMULATED_S)]
    for at, record in sorted([*timed, *_records()], key=itemgetter(0)):
        if record is None:
            yield at, *_from_parent(second, (), offset)
            continue
        offset = Offset(offset + 1)
        yield at, *_from_parent(first, (LogEntry(offset, record),), offset)


def _from_parent(
    parent: NodeId,
    entries: tuple[LogEntry, ...],
    offset: Offset,
) -> tuple[messages.ControlEvent, int]:
    frame = world.frame_bytes(messages.SendRecords('n', entries, offset))
    event = messages.RecordsReceived(parent, entries, offset)
    return event, len(frame) + FRAMING_BYTES


def _records() -> list[tuple[float, Record | None]]:
    """List the records of the simulated period with their times."""
    periods = {
        'refresh': RelaySettings().refresh_interval_s / world.MEMBERS,
        'change': _DAY_S / _CHANGES_A_DAY,
        'restart': _DAY_S / _RESTARTS_A_DAY,
    }
    found: list[tuple[float, Record | None]] = []
    for kind, period in periods.items():
        for number in range(int(SIMULATED_S / period)):
            at = (number + 1) * period
            found.extend((at, made) for made in _make(kind, number))
    return found


def _make(kind: str, number: int) -> tuple[Record, ...]:
    if kind == 'refresh':
        return (refresh(number),)
    if kind == 'change':
        return (change(number),)
    member = world.make_member(number)
    leave = Leave(f'{number:032x}', member.node, member.incarnation)
    return (leave, restart(number))
