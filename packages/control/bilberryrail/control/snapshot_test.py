"""Guards against snapshots that lose, truncate or corrupt state."""

import dataclasses

import pytest

from bilberryrail.control.snapshot import make_parts, newest_state
from bilberryrail.core.records import (
    Announcement,
    ClusterState,
    Join,
    LogEntry,
    Member,
)

PART_BYTES = 1024


def state_at(offset, members=200):
    return ClusterState(
        offset=offset,
        members={
            f'n{index}': Announcement(
                Member(f'n{index}', index**5, 's', 'z', 'r', 'h', 1, 2),
                index,
            )
            for index in range(members)
        },
    )


def entries_of(parts, start):
    return [LogEntry(start + index, part) for index, part in enumerate(parts)]


def test_parts_rebuild_the_state():
    """A reader that starts from a snapshot must reach the same state."""
    state = state_at(500)
    parts = make_parts(state, PART_BYTES, 'snap')
    assert len(parts) > 1
    assert newest_state(entries_of(parts, 501)) == state


def test_incomplete_snapshot_is_not_used():
    """A writer may crash between two parts."""
    older = entries_of(make_parts(state_at(500), PART_BYTES, 'old'), 501)
    newer = make_parts(state_at(600), PART_BYTES, 'new')[:-1]
    found = newest_state(older + entries_of(newer, 601))
    assert found.offset == 500


def test_snapshot_before_a_gap_is_not_used():
    """The records between the snapshot and the oldest entry have expired."""
    parts = make_parts(state_at(500), PART_BYTES, 'snap')
    assert newest_state(entries_of(parts, 700)) is None


@pytest.mark.parametrize('damage', ['payload', 'up_to'])
def test_damaged_snapshot_is_not_used(damage):
    """A forged or damaged part must not stop or mislead a reader."""
    first, *rest = make_parts(state_at(500), PART_BYTES, 'snap')
    if damage == 'payload':
        first = dataclasses.replace(first, payload=b'\x00' * PART_BYTES)
        parts = [first, *rest]
    else:
        parts = [
            dataclasses.replace(part, up_to=900) for part in (first, *rest)
        ]
    assert newest_state(entries_of(parts, 501)) is None


def test_log_without_a_snapshot_gives_no_state():
    """A log that holds no snapshot yet is replayed from its start."""
    member = next(iter(state_at(0, 1).members.values())).member
    assert newest_state([LogEntry(0, Join('j', member))]) is None
