"""Snapshots: a compressed state in parts that fit into log records."""

import zlib
from collections import defaultdict
from collections.abc import Iterator, Sequence

from result import Err, Ok, Result

from bilberryrail.control.errors import SnapshotError
from bilberryrail.core.codec import decode_state, encode_state
from bilberryrail.core.ids import RecordId
from bilberryrail.core.records import ClusterState, LogEntry, SnapshotPart

#: A state of 19,000 members encodes to about 5 MB; a larger one is refused so
#: that a forged record cannot exhaust the memory of every reader.
MAX_STATE_BYTES = 33_554_432


def make_parts(
    state: ClusterState,
    part_bytes: int,
    snapshot: RecordId,
) -> tuple[SnapshotPart, ...]:
    """Split a state into records.

    Parameters
    ----------
    state
        State to keep.
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
        return Err(SnapshotError('snapshot is truncated or too large'))
    decoded = decode_state(encoded)
    if isinstance(decoded, Err):
        return Err(SnapshotError(decoded.err_value.reason))
    if decoded.ok_value.offset != parts[0].up_to:
        return Err(SnapshotError('snapshot states another offset'))
    return Ok(decoded.ok_value)


def newest_state(entries: Sequence[LogEntry]) -> ClusterState | None:
    """Find the newest complete snapshot that replay can go on from.

    A snapshot that ends before the oldest entry would leave a gap, so it is
    not used; neither is one that is damaged.
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
