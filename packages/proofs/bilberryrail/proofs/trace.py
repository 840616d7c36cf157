"""Trace of a run: what happened, as immutable notes in chronological order.

Checkers read only these notes and never the state of an engine, so that a
faulty engine cannot hide its own fault.
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
    """Kind of action that a node carries out on behalf of a tenant."""

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
    """A caller closed its connection before its submission had ended."""

    at: float
    submission: int


@dataclass(frozen=True, slots=True)
class SubmissionEnded:
    """A submission ended for its caller.

    Attributes
    ----------
    outcome
        None if the connection was lost or a reservation was granted.
    answer_of
        Number of the job that the body of the answer belongs to.
    """

    at: float
    submission: int
    outcome: Outcome | None = None
    reason: Reason | None = None
    answer_of: int | None = None


@dataclass(frozen=True, slots=True)
class Executed:
    """A backend server began to execute a job.

    Attributes
    ----------
    in_flight
        Calls in flight at the backend server, this one included.
    concurrency_limit
        Number of calls that the backend server can run now without overload.
    knows_boot
        Whether the node had any evidence of the backend server's latest start.
    applied
        Offset up to which the node has applied the log.
    stated_offset
        Lowest of the newest offsets that the log and the peers have stated to
        the node since its start; None if they have stated none.
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
    """A node did something for a tenant, with effect in a region."""

    at: float
    use: Use
    node: NodeId
    region: RegionId
    tenant: TenantId


@dataclass(frozen=True, slots=True)
class MessageSent:
    """A node sent a probe, or an attempt or reservation request.

    ``size`` is the size of the probe in bytes; it is 0 for the other messages,
    which only add to the number of calls that the probe budget depends on.
    """

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
    """The log stored a change that is accepted."""

    at: float
    offset: Offset


@dataclass(frozen=True, slots=True)
class LogReachability:
    """A node gained or lost the ability to learn what the log holds."""

    at: float
    node: NodeId
    reachable: bool


@dataclass(frozen=True, slots=True)
class FinalConfiguration:
    """Configuration of a live node at the end of a run.

    ``matches_log`` is whether it equals the replay of the log up to ``offset``.
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
    """A node was asked to drain, or its backend server began to drain.

    ``incarnation`` is None if it is the backend server that drains.
    """

    at: float
    node: NodeId
    incarnation: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class Stopped:
    """A draining node exited.

    ``running`` and ``open_calls`` count the calls left at that moment; they
    are above 0 only if the node exited too early.
    """

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
