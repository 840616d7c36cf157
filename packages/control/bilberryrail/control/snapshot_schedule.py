"""Which log reader appends a snapshot, and when."""

from typing import Final

from bilberryrail.control.directory import Directory, hash_of
from bilberryrail.core.ids import NO_OFFSET, Offset, Seconds
from bilberryrail.core.records import LogEntry, SnapshotPart

#: Share of the interval by which each further reader waits longer, so that it
#: only stands in for readers before it that are away.
_STAGGER: Final = 0.1


class SnapshotTimer:
    """Tells when a snapshot is due because none came for a long time.

    A small site has too few records to reach the next multiple of
    ``snapshot_every_records`` before its log drops the last snapshot; a fresh
    node without peers could then not start.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self._waiting_since: Seconds | None = None
        self._last_part = NO_OFFSET

    def observe(self, entry: LogEntry, now: Seconds) -> None:
        """Note a part of a snapshot in the log."""
        if isinstance(entry.record, SnapshotPart):
            self._waiting_since = now
            self._last_part = entry.offset

    def is_due(self, offset: Offset, now: Seconds) -> bool:
        """Tell whether this reader appends a snapshot now, and start over.

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
    """Tell whether this reader appends a snapshot of the state at ``after``.

    One is due whenever the offset passes a multiple of
    ``snapshot_every_records``. The hash of that multiple chooses the region
    and the reader; if views differ, two readers or none may append it.
    """
    every = directory.settings.snapshot_every_records
    boundary = (after + 1) // every
    if (before + 1) // every == boundary:
        return False
    own = directory.identity.region
    regions = sorted({own, *directory.other_regions()})
    draw = hash_of(f'snapshot/{boundary}')
    if regions[draw % len(regions)] != own:
        return False
    count = max(len(directory.readers(own)), 1)
    return (draw // len(regions)) % count == directory.position()
