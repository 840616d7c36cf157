"""Costs of views, snapshots and catching up, and appends to the log."""

import random
import time
from typing import Final

from bilberryrail.bench import slope_world as world
from bilberryrail.bench.slope_messages import change, refresh
from bilberryrail.control import messages
from bilberryrail.control.plane import ControlPlane
from bilberryrail.control.settings import RelaySettings
from bilberryrail.control.snapshot import join_parts, make_parts
from bilberryrail.core.codec import (
    decode_record,
    decode_state,
    encode_record,
    encode_state,
)
from bilberryrail.core.records import LogEntry, Record
from bilberryrail.policy.view import ClusterView

_REPEATS: Final = 2
_US_PER_MS: Final = 1000
#: Number of records in one read, equal to ``LogSettings.read_limit``.
_READ_LIMIT: Final = 500


def view(members: int) -> dict[str, float]:
    """Build the view of the cluster that routing decisions use."""
    state = world.make_state(members)
    identity = world.identity_of(world.make_member(0))

    def build(_: int) -> ClusterView:
        return ClusterView(state, identity, {}, frozenset())

    return {'ms': _milliseconds(build)}


def snapshot(members: int) -> dict[str, float]:
    """Make a snapshot and load it."""
    state = world.make_state(members)
    part_bytes = RelaySettings().snapshot_part_bytes
    parts = make_parts(state, part_bytes, 'snapshot')
    encoded = encode_state(state)
    return {
        'encoded bytes': len(encoded),
        'compressed bytes': sum(len(part.payload) for part in parts),
        'parts': len(parts),
        'make ms': _milliseconds(
            lambda _: make_parts(state, part_bytes, 'snapshot'),
        ),
        'load ms': _milliseconds(lambda _: join_parts(parts)),
        'decode ms': _milliseconds(lambda _: decode_state(encoded)),
    }


def catch_up(records: int) -> dict[str, float]:
    """Read a log of joins, refreshes and changes from its start."""
    encoded = [encode_record(_logged(number)) for number in range(records)]
    plane = _fresh_plane(0)
    before = time.process_time()
    plane.handle(messages.Tick(), world.START_S)
    for start in range(0, records, _READ_LIMIT):
        batch = encoded[start : start + _READ_LIMIT]
        entries = tuple(
            LogEntry(start + index, decode_record(raw).unwrap())
            for index, raw in enumerate(batch)
        )
        read = messages.LogRead(entries, records - 1)
        plane.handle(read, world.START_S + start / _READ_LIMIT * world.STEP_S)
    spent = time.process_time() - before
    if not plane.caught_up:
        raise RuntimeError(f'plane has not caught up after {records} records')
    return {'s': spent, 'bytes': sum(map(len, encoded))}


def appends(nodes: int) -> dict[str, float]:
    """Count the records that nodes append to join, change and leave."""
    log: list[Record] = []
    counts = {'join': 0, 'change': 0, 'leave': 0}
    for number in range(nodes):
        plane = _fresh_plane(number)
        steps = {
            'join': messages.Tick(),
            'change': messages.AppendRequested(change(number)),
            'leave': messages.DrainRequested(),
        }
        for name, event in steps.items():
            counts[name] += _append(plane, event, log)
    return {f'{kind}: records': seen for kind, seen in counts.items()}


def _append(
    plane: ControlPlane,
    event: messages.ControlEvent,
    log: list[Record],
) -> int:
    """Handle an event and return how many records it adds to the log.

    The plane reads all the added records before this returns.
    """
    stored = len(log)
    waiting = list(plane.handle(event, world.START_S))
    while waiting:
        action = waiting.pop(0)
        match action:
            case messages.AppendRecord(record=record):
                log.append(record)
                acknowledged = messages.AppendAcknowledged(
                    record.record_id,
                    len(log) - 1,
                )
                waiting.extend(plane.handle(acknowledged, world.START_S))
            case messages.ReadLog(start=start) if start < len(log) or not start:
                waiting.extend(plane.handle(_read(log, start), world.START_S))
    last = plane.state.offset + 1
    plane.handle(_read(log, last), world.START_S)
    return len(log) - stored


def _read(log: list[Record], start: int) -> messages.LogRead:
    entries = tuple(
        LogEntry(start + index, record)
        for index, record in enumerate(log[start:])
    )
    return messages.LogRead(entries, len(log) - 1)


def _logged(number: int) -> Record:
    """Make the record for an offset; every tenth record is a change."""
    if number % 10 == 0:
        return change(number)
    return refresh(number % world.MEMBERS)


def _fresh_plane(number: int) -> ControlPlane:
    identity = world.identity_of(world.make_member(number))
    return ControlPlane(RelaySettings(), identity, number, random.Random(1))


def _milliseconds(operation: world.Callable[[int], object]) -> float:
    return world.median_us(operation, _REPEATS) / _US_PER_MS
