"""What happened in a run, as immutable notes in the order of their time.

Checkers read only these notes, never the state of an engine, so that a fault
of an engine cannot hide itself.
"""

from dataclasses import dataclass
from enum import Enum

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    Incarnation,
    NodeId,
    Offset,
    RegionId,
    TenantId,
)
from bilberryrail.core.load import Outcome, Reason


class Use(Enum):
    """What a node does on behalf of a tenant."""

    ATTEMPT = 'attempt'
    RESERVATION = 'reservation'
    PROBE = 'probe'
    RUN = 'run'
    LOG = 'log'
    KEEP = 'keep'


@dataclass(frozen=True, slots=True)
class Submitted:
    """A caller submitted a job; one job may be submitted several times.

    ``token`` is None for reservations and for idempotent calls.
    """

    at: float
    submission: int
    job: int
    idempotent: bool
    token: str | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """A caller gave up a submission before it had ended."""

    at: float
    submission: int


@dataclass(frozen=True, slots=True)
class SubmissionEnded:
    """How a submission ended for its caller.

    Attributes
    ----------
    outcome
        None if the connection was lost, or if a token was granted.
    answer_of
        Job that the body of the answer belongs to.
    """

    at: float
    submission: int
    outcome: Outcome | None = None
    reason: Reason | None = None
    answer_of: int | None = None


@dataclass(frozen=True, slots=True)
class Executed:
    """A backend server began to run a job.

    Attributes
    ----------
    in_flight
        Calls at the backend server, this one included.
    bears
        Calls it bears at this moment.
    knows_boot
        Whether the node had any sign of the backend server's current start.
    applied, stated
        Offset applied by the node, and the lowest newest offset that it was
        told since its own start; None if it was told none.
    """

    at: float
    node: NodeId
    incarnation: Incarnation
    zone: AvailabilityZoneId
    submission: int | None
    in_flight: int
    concurrency_limit: int
    knows_boot: bool
    applied: Offset
    stated_offset: Offset | None


@dataclass(frozen=True, slots=True)
class Used:
    """Something was sent, probed, logged or kept for a tenant in a region."""

    at: float
    use: Use
    node: NodeId
    region: RegionId
    tenant: TenantId


@dataclass(frozen=True, slots=True)
class MessageSent:
    """A node sent a probe of ``size`` bytes, or an attempt of size 0."""

    at: float
    node: NodeId
    incarnation: Incarnation
    size: int


@dataclass(frozen=True, slots=True)
class Applied:
    """A node has applied the log up to an offset."""

    at: float
    node: NodeId
    incarnation: Incarnation
    offset: Offset


@dataclass(frozen=True, slots=True)
class Accepted:
    """The log holds an accepted change; this is when it took effect."""

    at: float
    offset: Offset


@dataclass(frozen=True, slots=True)
class LogReachability:
    """A node became able or unable to learn what the log holds."""

    at: float
    node: NodeId
    reachable: bool


@dataclass(frozen=True, slots=True)
class FinalConfiguration:
    """Configuration of a live node at the end of a run.

    ``agrees`` tells whether it equals the replay of the log up to ``offset``.
    """

    at: float
    node: NodeId
    offset: Offset
    matches_log: bool


@dataclass(frozen=True, slots=True)
class ZoneSet:
    """An accepted change took an availability zone out or brought it back."""

    at: float
    zone: AvailabilityZoneId
    out: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """A node was told to drain, or its backend server began to drain.

    ``incarnation`` is None if the backend server leaves.
    """

    at: float
    node: NodeId
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class Stopped:
    """A draining node exited, with work left if it did so too early."""

    at: float
    node: NodeId
    running: int
    open_calls: int


Note = (
    Submitted
    | CallerLeft
    | SubmissionEnded
    | Executed
    | Used
    | MessageSent
    | Applied
    | Accepted
    | LogReachability
    | FinalConfiguration
    | ZoneSet
    | Leaving
    | Stopped
)
