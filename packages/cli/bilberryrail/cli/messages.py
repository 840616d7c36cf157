"""Answers of the operators' endpoint that the command reads.

Fields that the command does not know are ignored, so a newer node can serve
an older command. Plans are passed on as the bytes that were received.
"""

import msgspec


class Capacity(msgspec.Struct, frozen=True):
    """Whether a service bears its load after a change.

    Attributes
    ----------
    share
        Expected concurrency divided by the slots that remain.
    """

    service: str
    slots_before: int
    slots_after: int
    expected_concurrency: int
    share: float | None
    sufficient: bool


class Plan(msgspec.Struct, frozen=True):
    """What a confirmation would change, and when."""

    record_id: str
    base_offset: int
    edits: tuple[msgspec.Raw, ...]
    summary: tuple[str, ...] = ()
    capacity: tuple[Capacity, ...] = ()
    new_work_stops_within_s: float = 3
    in_force_within_s: float = 12

    @property
    def overloaded(self) -> tuple[Capacity, ...]:
        """Return the services whose remaining capacity is too small."""
        return tuple(row for row in self.capacity if not row.sufficient)


class ChangeVerdict(msgspec.Struct, frozen=True):
    """What replay decided; ``pending`` until the record is read back."""

    verdict: str
    offset: int | None = None
    reason: str | None = None


class Zone(msgspec.Struct, frozen=True):
    """One availability zone as the asked node knows it.

    Attributes
    ----------
    lowest
        Lowest applied offset among the ``nodes`` that were heard from.
    expected
        Nodes that are members.
    """

    region: str
    lowest: int | None
    nodes: int
    expected: int
    age_s: float | None = None
    out: bool = False


class Region(msgspec.Struct, frozen=True):
    """When a region was last heard from; None if never."""

    heard_s_ago: float | None = None


class Status(msgspec.Struct, frozen=True):
    """Applied offsets of the whole system."""

    node: str
    applied: int
    zones: dict[str, Zone]
    regions: dict[str, Region]
    log: object = None


class Rejection(msgspec.Struct, frozen=True):
    """Body of a 400 answer."""

    error: str
    field: str | None = None
