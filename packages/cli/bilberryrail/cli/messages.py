"""Answers of the operator endpoint, as the command line decodes them.

Unknown fields are ignored, so that an older command line works with a newer
node. A plan is sent back as the bytes that were received.
"""

import msgspec


class Capacity(msgspec.Struct, frozen=True):
    """Capacity of a service before and after a change.

    Attributes
    ----------
    share
        Expected concurrency divided by ``slots_after``; None if the node
        gives none.
    sufficient
        Whether the remaining slots are enough for the expected load.
    """

    service: str
    slots_before: int
    slots_after: int
    expected_concurrency: int
    share: float | None
    sufficient: bool


class Plan(msgspec.Struct, frozen=True):
    """A planned change, its capacity check and when it takes effect.

    Attributes
    ----------
    record_id
        Id of the record that is appended to the log on confirmation.
    base_offset
        Offset of the log from which the plan was made.
    edits
        Changes to the configuration, passed on undecoded.
    summary
        One line of text for each change.
    new_work_stops_within_s
        Time within which a zone that is taken out receives no new work, in
        seconds.
    in_force_within_s
        Time within which the change is in force on all nodes, in seconds.
    """

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
    """Verdict of log replay on a change.

    Attributes
    ----------
    verdict
        ``accepted``, ``rejected``, or ``pending`` until the record of the
        change is read back from the log.
    offset
        Offset of the record in the log.
    reason
        Why the change was rejected.
    """

    verdict: str
    offset: int | None = None
    reason: str | None = None


class Zone(msgspec.Struct, frozen=True):
    """One availability zone as the answering node knows it.

    Attributes
    ----------
    lowest
        Lowest applied offset among the nodes that reported.
    nodes
        Number of nodes that reported.
    expected
        Number of nodes that are members.
    age_s
        Age of the report, in seconds.
    out
        Whether the zone is taken out of service.
    """

    region: str
    lowest: int | None
    nodes: int
    expected: int
    age_s: float | None = None
    out: bool = False


class Region(msgspec.Struct, frozen=True):
    """Contact with a region.

    Attributes
    ----------
    heard_s_ago
        Seconds since the last report from the region; None if there was
        none.
    """

    heard_s_ago: float | None = None


class Status(msgspec.Struct, frozen=True):
    """Applied offsets of the whole system, as one node knows them.

    Attributes
    ----------
    node
        Node that answers.
    applied
        Offset up to which that node has applied the log.
    log
        ``up`` if the node can reach the log, else ``down``.
    """

    node: str
    applied: int
    zones: dict[str, Zone]
    regions: dict[str, Region]
    log: object = None


class Rejection(msgspec.Struct, frozen=True):
    """Body of an error answer.

    Attributes
    ----------
    field
        Field of the intent that is wrong; None if it is none in particular.
    """

    error: str
    field: str | None = None
