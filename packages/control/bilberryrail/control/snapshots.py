"""Which log reader appends a snapshot, and when."""

from bilberryrail.control.directory import Directory, hash_of
from bilberryrail.core.ids import Offset


def is_chosen(directory: Directory, before: Offset, after: Offset) -> bool:
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
