"""Decision on which log reader appends a snapshot, and when."""

from typing import Final

from bilberryrail.control.directory import Directory, hash_of
from bilberryrail.core.ids import NO_OFFSET, Offset, Seconds
from bilberryrail.core.records import LogEntry, SnapshotPart

#: Fraction of the interval by which each further reader waits longer, so that
#: it appends a snapshot only if the readers before it have failed to.
_STAGGER: Final = 0.1


class SnapshotTimer:
    """Decides when a snapshot is due because none was appended for too long.

    A small site may have too few records to reach the next multiple of
    ``snapshot_every_records`` before its log drops the last snapshot. A new
    node without peers could then not start.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self._waiting_since: Seconds | None = None
        self._last_part = NO_OFFSET

    def observe(self, entry: LogEntry, now: Seconds) -> None:
        """Restart the wait if an entry is part of a snapshot."""
        if isinstance(entry.record, SnapshotPart):
            self._waiting_since = now
            self._last_part = entry.offset

    def is_due(self, offset: Offset, now: Seconds) -> bool:
        """Return whether a snapshot is due at this reader; if so, restart.

        The wait begins with the first record after the last snapshot.
        """
        if self._waiting_since is None or offset <= self._last_part:
            self._waiting_since = now
            return False
        wait_s = self.directory.settings.snapshot_interval_s
        wait_s *= 1 + _STAGGER * self._turn()
        if now - self._waiting_since < wait_s:
            return False
        self._waiting_since = now
        return True

    def _turn(self) -> int:
        own = self.directory.identity.region
        regions = sorted({own, *self.directory.other_regions()})
        readers = self.directory.settings.readers_per_region
        return regions.index(own) * readers + self.directory.position()


def is_responsible(directory: Directory, before: Offset, after: Offset) -> bool:
    """Return whether this reader has to append a snapshot at ``after``.

    A snapshot is due whenever the offset passes a multiple of
    ``snapshot_every_records``. The hash of the number of that multiple chooses
    the region and the reader. If views differ, two readers or none may append
    it.
    """
    every = directory.settings.snapshot_every_records
    boundary = (after + 1) // every
    if (before + 1) // every == boundary:
        return False
    own = directory.identity.region
    regions = sorted({own, *directory.other_regions()})
    boundary_hash = hash_of(f'snapshot/{boundary}')
    if regions[boundary_hash % len(regions)] != own:
        return False
    count = max(len(directory.readers(own)), 1)
    return (boundary_hash // len(regions)) % count == directory.position()
