"""All records that are kept in the log or derived from it.

Records are frozen data classes. Passes over them are pure functions in other
modules. Durations are in seconds and sizes in bytes unless a name says
otherwise.
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
    """What one backend server of a service may bear.

    Attributes
    ----------
    slots
        Calls the backend server runs at the same time.
    connections
        Connections the backend server accepts.
    cold_slots
        Calls it bears at the same time right after a cold start.
    warm_up_s
        Time from a cold start until it bears all slots.
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
        Calls in flight that the service has to bear in all regions together;
        plans compare it with the slots that remain.
    deadline_s
        Deadline of calls that state none.
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

    An empty ``home_regions`` allows every region.
    """

    tenant: TenantId
    weight: float = 1.0
    home_regions: tuple[RegionId, ...] = ()


@dataclass(frozen=True, slots=True)
class AvailabilityZoneConfig:
    """One availability zone; ``out`` stops all new work into it."""

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
    """Adds an availability zone, takes it out or brings it back."""

    zone: AvailabilityZoneConfig


Edit = ServiceEdit | TenantEdit | AvailabilityZoneEdit


@dataclass(frozen=True, slots=True)
class Member:
    """A node and the backend server beside it, as announced.

    Attributes
    ----------
    host, port
        Address on which the node serves other nodes.
    http_port
        Port on the same host for callers.
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

    ``base_offset`` is the offset of the state the plan was made from.
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
    """Forgets a member that stopped refreshing its announcement.

    Valid only while the member's newest announcement has offset
    ``last_seen``, so a refresh that raced the eviction wins.
    """

    record_id: RecordId
    node: NodeId
    incarnation: Incarnation
    last_seen: Offset


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of an encoded cluster state that covers up to ``up_to``."""

    record_id: RecordId
    snapshot: RecordId
    up_to: Offset
    index: int
    count: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Unreadable:
    """Bytes in the log that this version cannot decode; replay skips them.

    They keep their offset, so that no reader waits for it, and are relayed as
    they are, so that a node of another version can read them.
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
    """A member as the replayed state holds it.

    ``last_seen`` is the offset of its newest ``Join``.
    """

    member: Member
    last_seen: Offset


class Verdict(Enum):
    """What replay decided about a change."""

    ACCEPTED = 'accepted'
    REJECTED = 'rejected'


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Verdict on one change, equal for all readers of the log."""

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
