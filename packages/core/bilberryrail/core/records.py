"""Records of the log, and the cluster state that is derived from them.

Records are frozen data classes without methods; the functions that work on
them are pure and belong to other modules. Durations are in seconds and sizes
in bytes unless a name says otherwise.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from bilberryrail.core.ids import (
    NO_OFFSET,
    AvailabilityZoneId,
    Incarnation,
    NodeId,
    Offset,
    RecordId,
    RegionId,
    Scope,
    ServiceId,
    TenantId,
)


@dataclass(frozen=True, slots=True)
class BackendLimits:
    """Capacity of one backend server of a service.

    Attributes
    ----------
    slots
        Calls that the backend server can run at the same time.
    connections
        Connections that the backend server accepts at the same time.
    cold_slots
        Calls that it can run at the same time right after a cold start.
    warm_up_s
        Time from a cold start until it can use all slots.
    """

    slots: int
    connections: int
    cold_slots: int = 1
    warm_up_s: float = 10.0


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """One service and the regions it is served from.

    Attributes
    ----------
    expected_concurrency
        Calls that are expected in flight at the same time in all regions
        together; a plan compares it with the slots that remain after the
        change.
    deadline_s
        Time limit of calls that do not state a deadline.
    """

    service: ServiceId
    idempotent: bool
    regions: tuple[RegionId, ...]
    limits: BackendLimits
    expected_concurrency: int = 0
    deadline_s: float = 1.0


@dataclass(frozen=True, slots=True)
class TenantConfig:
    """One tenant, its share of capacity and its home regions.

    ``weight`` sets the share of capacity relative to other tenants. An empty
    ``home_regions`` allows every region.
    """

    tenant: TenantId
    weight: float = 1.0
    home_regions: tuple[RegionId, ...] = ()


@dataclass(frozen=True, slots=True)
class AvailabilityZoneConfig:
    """One availability zone; while it is ``out`` it gets no new calls."""

    zone: AvailabilityZoneId
    region: RegionId
    out: bool = False


@dataclass(frozen=True, slots=True)
class ServiceEdit:
    """Sets the configuration of one service."""

    service: ServiceConfig


@dataclass(frozen=True, slots=True)
class TenantEdit:
    """Sets the configuration of one tenant."""

    tenant: TenantConfig


@dataclass(frozen=True, slots=True)
class AvailabilityZoneEdit:
    """Adds an availability zone, takes it out of service or returns it."""

    zone: AvailabilityZoneConfig


Edit = ServiceEdit | TenantEdit | AvailabilityZoneEdit


@dataclass(frozen=True, slots=True)
class Member:
    """A node and the backend server beside it, as the node announces them.

    Attributes
    ----------
    host, port
        Address on which the node accepts links from other nodes.
    http_port
        Port on the same host on which the node accepts calls.
    """

    node: NodeId
    incarnation: Incarnation
    service: ServiceId
    zone: AvailabilityZoneId
    region: RegionId
    host: str
    port: int
    http_port: int


@dataclass(frozen=True, slots=True)
class Change:
    """A plan that an operator confirmed.

    ``base_offset`` is the offset of the state from which the plan was made.
    """

    record_id: RecordId
    base_offset: Offset
    author: str
    edits: tuple[Edit, ...]


@dataclass(frozen=True, slots=True)
class Join:
    """Announces a member, or refreshes its announcement."""

    record_id: RecordId
    member: Member


@dataclass(frozen=True, slots=True)
class Leave:
    """Withdraws the announcement of an incarnation that shuts down."""

    record_id: RecordId
    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Evict:
    """Removes a member that has stopped refreshing its announcement.

    It takes effect only if the member's newest announcement has the offset
    ``last_seen``, so that a refresh that reached the log before the eviction
    keeps the member.
    """

    record_id: RecordId
    node: NodeId
    incarnation: Incarnation
    last_seen: Offset


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a snapshot, which is an encoded cluster state.

    Attributes
    ----------
    snapshot
        Id that all parts of the snapshot share.
    up_to
        Offset of the last record that the state includes.
    index, count
        Position of this part, from 0, and number of parts.
    """

    record_id: RecordId
    snapshot: RecordId
    up_to: Offset
    index: int
    count: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Bytes in the log that this version cannot decode; replay skips them.

    They keep their offset, so that no reader waits for a record there, and are
    relayed unchanged, so that a node of another version can decode them.
    """

    payload: bytes


Record = Change | Join | Leave | Evict | SnapshotPart | Unreadable


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A record at its offset in the log."""

    offset: Offset
    record: Record


@dataclass(frozen=True, slots=True)
class Announcement:
    """A member in the cluster state.

    ``last_seen`` is the offset of the member's newest ``Join``.
    """

    member: Member
    last_seen: Offset


class Verdict(Enum):
    """Whether replay applied a change."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Verdict on one change; all nodes that replay the log reach the same."""

    record_id: RecordId
    offset: Offset
    verdict: Verdict
    reason: str = ''


@dataclass(frozen=True, slots=True)
class ClusterState:
    """Configuration and membership after applying the log up to an offset.

    Attributes
    ----------
    touched
        Offset of the last accepted change for each scope.
    outcomes
        Verdicts on recent changes, oldest first.
    """

    offset: Offset = NO_OFFSET
    services: Mapping[ServiceId, ServiceConfig] = field(default_factory=dict)
    tenants: Mapping[TenantId, TenantConfig] = field(default_factory=dict)
    zones: Mapping[AvailabilityZoneId, AvailabilityZoneConfig] = field(
        default_factory=dict,
    )
    members: Mapping[NodeId, Announcement] = field(default_factory=dict)
    touched: Mapping[Scope, Offset] = field(default_factory=dict)
    outcomes: Mapping[RecordId, ChangeOutcome] = field(default_factory=dict)
