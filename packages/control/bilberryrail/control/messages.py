"""Events and actions of the control plane.

The I/O layer (package ``node``) turns results of the log client and messages on
links between nodes into events, and it carries out the actions.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    Incarnation,
    NodeId,
    Offset,
    RecordId,
    RegionId,
)
from bilberryrail.core.records import ClusterState, LogEntry, Member, Record


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """How far the nodes of one availability zone have applied the log.

    Attributes
    ----------
    lowest
        Lowest applied offset among the counted nodes.
    nodes
        Number of counted nodes.
    age_s
        Age of the oldest report in this summary, in seconds.
    """

    region: RegionId
    lowest: Offset
    nodes: int
    age_s: float


#: Status by availability zone of a subtree of the relay, of a region or of the
#: whole system.
StatusReport = Mapping[AvailabilityZoneId, ZoneStatus]


# Events


@dataclass(frozen=True, slots=True)
class LogRead:
    """Answer to ``ReadLog``; ``end`` is the newest offset in the log."""

    entries: tuple[LogEntry, ...]
    end: Offset


@dataclass(frozen=True, slots=True)
class LogExpired:
    """The requested offset has expired; ``first`` is the oldest one kept."""

    first: Offset


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """A read from the log failed or timed out."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendAcknowledged:
    """The log stored a record at ``offset``."""

    record_id: RecordId
    offset: Offset


@dataclass(frozen=True, slots=True)
class AppendUncertain:
    """The outcome of an append is unknown; the record may have been stored."""

    record_id: RecordId
    reason: str


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to another node is open; ``member`` comes from its Hello."""

    member: Member


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link to another node broke or could not be opened."""

    peer: NodeId
    reason: str


@dataclass(frozen=True, slots=True)
class SubscribeReceived:
    """A node subscribes to the records after its applied offset.

    With ``heartbeats_only`` it receives the missing records once and then only
    heartbeats with the newest offset, because another source sends it the
    records that follow.
    """

    peer: NodeId
    applied: Offset
    heartbeats_only: bool = False


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """A node sent records and the newest offset that it knows of.

    ``unlogged`` holds announcements that are not in the log yet.
    """

    peer: NodeId
    entries: tuple[LogEntry, ...]
    current: Offset
    unlogged: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class StateReceived:
    """A node sent its whole state because the records had expired."""

    peer: NodeId
    state: ClusterState


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """Another node sent a status report with applied offsets."""

    peer: NodeId
    report: StatusReport


@dataclass(frozen=True, slots=True)
class DrainingReceived:
    """A node reported that it is draining and admits no new calls."""

    peer: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class AppendRequested:
    """The operator endpoint asks to append a confirmed change."""

    record: Record


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process was asked to shut down."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due at ``wakeup_at`` at the latest."""


ControlEvent = (
    LogRead
    | LogExpired
    | LogUnavailable
    | AppendAcknowledged
    | AppendUncertain
    | LinkUp
    | LinkDown
    | SubscribeReceived
    | RecordsReceived
    | StateReceived
    | StatusReceived
    | DrainingReceived
    | AppendRequested
    | DrainRequested
    | Tick
)


# Actions


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read records from ``start``; wait for new ones if ``wait`` is set."""

    start: Offset
    wait: bool


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the log once; the I/O layer does not retry it."""

    record: Record


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Keep a link to a node open until ``CloseLink``."""

    peer: NodeId
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class OpenSeedLink:
    """Open a link to a seed address whose node id is not known yet."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link that the control plane no longer needs."""

    peer: NodeId


@dataclass(frozen=True, slots=True)
class SendSubscribe:
    """Subscribe to the records of a node; see ``SubscribeReceived``."""

    peer: NodeId
    applied: Offset
    heartbeats_only: bool = False


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send records to a node; see ``RecordsReceived``."""

    peer: NodeId
    entries: tuple[LogEntry, ...]
    current: Offset
    unlogged: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class SendState:
    """Send the whole state to a subscriber that is too far behind."""

    peer: NodeId
    state: ClusterState


@dataclass(frozen=True, slots=True)
class SendStatus:
    """Send a status report to a parent, a child or another log reader."""

    peer: NodeId
    report: StatusReport


@dataclass(frozen=True, slots=True)
class SendDraining:
    """Notify a node that this one is draining and admits no new calls."""

    peer: NodeId


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one log line of the form ``event=<name> key=value ...``."""

    name: str
    fields: Mapping[str, object] = field(default_factory=dict)


ControlAction = (
    ReadLog
    | AppendRecord
    | OpenLink
    | OpenSeedLink
    | CloseLink
    | SendSubscribe
    | SendRecords
    | SendState
    | SendStatus
    | SendDraining
    | LogEvent
)
