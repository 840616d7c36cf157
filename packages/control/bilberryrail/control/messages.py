"""Events and actions of the control plane.

The shell turns what happens on the log client and on links between nodes into
events, and carries out the actions.
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
    """Nodes of one availability zone and how far they have applied the log.

    Attributes
    ----------
    lowest
        Lowest applied offset among the nodes counted.
    nodes
        Number of nodes counted.
    age_s
        Time since the oldest report that is part of this summary was made.
    """

    region: RegionId
    lowest: Offset
    nodes: int
    age_s: float


#: Summary of a subtree, a region or the whole system.
StatusReport = Mapping[AvailabilityZoneId, ZoneStatus]


# Events


@dataclass(frozen=True, slots=True)
class LogRead:
    """Answer to ``ReadLog``; ``end`` is the newest offset in the log."""

    entries: tuple[LogEntry, ...]
    end: Offset


@dataclass(frozen=True, slots=True)
class LogExpired:
    """The offset asked for is no longer kept; ``first`` is the oldest kept."""

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
    """An append gave no answer; the record may or may not be stored."""

    record_id: RecordId
    reason: str


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to another node is open; ``member`` is what its Hello stated."""

    member: Member


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A link to another node broke or could not be opened."""

    peer: NodeId
    reason: str


@dataclass(frozen=True, slots=True)
class SubscribeReceived:
    """A node asks for records after its applied offset.

    With ``heartbeats_only`` it gets those once, and then only the newest
    offset, because another source sends it the records that follow.
    """

    peer: NodeId
    applied: Offset
    heartbeats_only: bool = False


@dataclass(frozen=True, slots=True)
class RecordsReceived:
    """A parent sent records, and the newest offset that it knows of.

    ``unlogged`` holds announcements that could not yet be appended.
    """

    peer: NodeId
    entries: tuple[LogEntry, ...]
    current: Offset
    unlogged: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class StateReceived:
    """A parent sent its whole state because records had expired."""

    peer: NodeId
    state: ClusterState


@dataclass(frozen=True, slots=True)
class StatusReceived:
    """A child, or a reader of another region, reported applied offsets."""

    peer: NodeId
    report: StatusReport


@dataclass(frozen=True, slots=True)
class DrainingReceived:
    """A node said that it admits no new work."""

    peer: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class AppendRequested:
    """The operator endpoint asks to append a confirmed change."""

    record: Record


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process was told to shut down."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; handled at the latest at ``wakeup_at``."""


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
    """Read records from ``start`` on; waits for new ones if ``wait``."""

    start: Offset
    wait: bool


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the log once; never repeated by the shell."""

    record: Record


@dataclass(frozen=True, slots=True)
class OpenLink:
    """Keep a link to a node open until ``CloseLink``."""

    peer: NodeId
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class OpenSeedLink:
    """Open a link to an address whose node is not yet known."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link that nothing needs any more."""

    peer: NodeId


@dataclass(frozen=True, slots=True)
class SendSubscribe:
    """Ask a parent for records; see ``SubscribeReceived``."""

    peer: NodeId
    applied: Offset
    heartbeats_only: bool = False


@dataclass(frozen=True, slots=True)
class SendRecords:
    """Send records to a subscriber; see ``RecordsReceived``."""

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
    """Report applied offsets to a parent or to a reader elsewhere."""

    peer: NodeId
    report: StatusReport


@dataclass(frozen=True, slots=True)
class SendDraining:
    """Tell a node that this one admits no new work."""

    peer: NodeId


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One log line ``event=<name> key=value ...``."""

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
