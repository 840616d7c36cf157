"""Snapshots: a compressed state, split into parts that fit log records."""

import zlib
from collections import defaultdict
from collections.abc import Iterator, Sequence

from result import Err, Ok, Result

from bilberryrail.control.errors import SnapshotError
from bilberryrail.core.codec import decode_state, encode_state
from bilberryrail.core.ids import RecordId
from bilberryrail.core.records import ClusterState, LogEntry, SnapshotPart

#: Largest encoded state, in bytes. A state of 19,000 members encodes to about
#: 5 MB; the bound prevents a forged record from exhausting the memory of every
#: node.
MAX_STATE_BYTES = 33_554_432


def make_parts(
    state: ClusterState,
    part_bytes: int,
    snapshot: RecordId,
) -> tuple[SnapshotPart, ...]:
    """Split a state into the records of a snapshot.

    Parameters
    ----------
    state
        State to store.
    part_bytes
        Largest payload of one part, in bytes.
    snapshot
        Identifier that all parts share.
    """
    packed = zlib.compress(encode_state(state))
    starts = range(0, len(packed), part_bytes)
    return tuple(
        SnapshotPart(
            record_id=RecordId(f'{snapshot}/{index}'),
            snapshot=snapshot,
            up_to=state.offset,
            index=index,
            count=len(starts),
            payload=packed[start : start + part_bytes],
        )
        for index, start in enumerate(starts)
    )


def join_parts(
    parts: Sequence[SnapshotPart],
) -> Result[ClusterState, SnapshotError]:
    """Rebuild the state from all parts of one snapshot, in index order."""
    packed = b''.join(part.payload for part in parts)
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, MAX_STATE_BYTES)
    except zlib.error as error:
        return Err(SnapshotError(f'snapshot is not compressed data: {error}'))
    if not decompressor.eof:
        return Err(
            SnapshotError('snapshot is truncated or exceeds the size limit')
        )
    decoded = decode_state(encoded)
    if isinstance(decoded, Err):
        return Err(SnapshotError(decoded.err_value.reason))
    if decoded.ok_value.offset != parts[0].up_to:
        return Err(
            SnapshotError('offset of the state differs from that of its parts')
        )
    return Ok(decoded.ok_value)


def newest_state(entries: Sequence[LogEntry]) -> ClusterState | None:
    """Return the state of the newest complete snapshot, or None.

    A snapshot that would leave a gap before the oldest entry is ignored, and so
    is a damaged one.
    """
    if not entries:
        return None
    first = entries[0].offset
    for parts in _complete_snapshots(entries):
        if parts[0].up_to + 1 < first:
            continue
        joined = join_parts(parts)
        if isinstance(joined, Ok):
            return joined.ok_value
    return None


def _complete_snapshots(
    entries: Sequence[LogEntry],
) -> Iterator[list[SnapshotPart]]:
    """Yield the parts of each complete snapshot, newest first."""
    found: dict[RecordId, dict[int, SnapshotPart]] = defaultdict(dict)
    for entry in entries:
        if isinstance(entry.record, SnapshotPart):
            part = entry.record
            found[part.snapshot][part.index] = part
    complete = [
        [parts[index] for index in sorted(parts)]
        for parts in found.values()
        if _is_complete(parts)
    ]
    yield from sorted(complete, key=lambda parts: -parts[0].up_to)


def _is_complete(parts: dict[int, SnapshotPart]) -> bool:
    shapes = {(part.count, part.up_to) for part in parts.values()}
    if len(shapes) != 1:
        return False
    count, _ = shapes.pop()
    return set(parts) == set(range(count))
