"""Events about calls that the engine handles.

Bodies stay in the shell, indexed by call at the ingress and by peer and
attempt at the target. Events of the control plane are in
``bilberryrail.control.messages``; ``Event`` is the union of both.
"""

from dataclasses import dataclass
from typing import NewType

from bilberryrail.control.messages import ControlEvent
from bilberryrail.core.ids import (
    AttemptId,
    CallId,
    NodeId,
    RegionId,
    ServiceId,
    TenantId,
)
from bilberryrail.core.load import LoadReport, Outcome, Reason

#: Identifies one call running at this node's backend server. The backend
#: server sends it back as the parent of its nested calls.
DispatchId = NewType('DispatchId', int)
#: Encoded reservation; only the incarnation that it names can verify it.
Token = NewType('Token', str)


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of a call tree, which never grow from a call to its nested calls.

    Attributes
    ----------
    remaining_s
        Time left until the deadline when the event is handled.
    retry_budget
        Retries and hedges left for the subtree.
    home_regions
        Regions that may serve it; empty allows every region.
    """

    remaining_s: float
    retry_budget: int
    home_regions: tuple[RegionId, ...] = ()


# From callers


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller sent a call; ``parent`` is the dispatch that nests it."""

    call: CallId
    service: ServiceId
    tenant: TenantId
    size: int
    deadline_s: float | None = None
    token: Token | None = None
    parent: DispatchId | None = None


@dataclass(frozen=True, slots=True)
class ReservationAsked:
    """A caller asks for a reservation."""

    call: CallId
    service: ServiceId
    tenant: TenantId
    deadline_s: float | None = None
    parent: DispatchId | None = None


@dataclass(frozen=True, slots=True)
class CallerGone:
    """A caller closed its connection before it had an answer."""

    call: CallId


# From other nodes, at the target


@dataclass(frozen=True, slots=True)
class AttemptReceived:
    """An ingress node sent an attempt.

    The shell has already subtracted the time that the message waited in this
    process from ``limits.remaining_s``; the engine subtracts the length of a
    pause.
    """

    peer: NodeId
    attempt: AttemptId
    service: ServiceId
    tenant: TenantId
    limits: CallLimits
    size: int
    token: Token | None = None


@dataclass(frozen=True, slots=True)
class CancelReceived:
    """An ingress node cancelled an attempt."""

    peer: NodeId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ReservationReceived:
    """An ingress node asks for a reservation at this incarnation."""

    peer: NodeId
    attempt: AttemptId
    service: ServiceId
    tenant: TenantId
    limits: CallLimits


@dataclass(frozen=True, slots=True)
class ProbeReceived:
    """An ingress node asks for a load report."""

    peer: NodeId
    probe: int


# From other nodes, at the ingress


@dataclass(frozen=True, slots=True)
class AnswerReceived:
    """A target sent a complete answer, checked for length and CRC.

    ``status`` is the backend server's HTTP status.
    """

    peer: NodeId
    attempt: AttemptId
    status: int
    size: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class RefusalReceived:
    """A target refused an attempt, or failed while running it.

    ``outcome`` is ``NOT_RUN``, ``UNKNOWN`` or ``INVALID``.
    """

    peer: NodeId
    attempt: AttemptId
    outcome: Outcome
    reason: Reason
    retry_after_s: float
    load: LoadReport


@dataclass(frozen=True, slots=True)
class ReservationGranted:
    """A target issued a token."""

    peer: NodeId
    attempt: AttemptId
    token: Token
    load: LoadReport


@dataclass(frozen=True, slots=True)
class ProbeReplied:
    """A target answered a probe."""

    peer: NodeId
    probe: int
    load: LoadReport


# From the backend server


@dataclass(frozen=True, slots=True)
class BackendReport:
    """State reported by a backend server; it may be outdated or wrong.

    Attributes
    ----------
    boot
        Changes whenever the backend server restarts.
    """

    in_flight: int
    cold: bool
    draining: bool
    boot: str


@dataclass(frozen=True, slots=True)
class BackendAnswered:
    """The backend server sent a complete answer."""

    dispatch: DispatchId
    status: int
    size: int
    report: BackendReport | None = None


@dataclass(frozen=True, slots=True)
class BackendFailed:
    """A dispatch failed.

    ``started`` is false only if no byte of the call reached the backend
    server, so that the call certainly did not run.
    """

    dispatch: DispatchId
    started: bool
    reason: str


@dataclass(frozen=True, slots=True)
class BackendHealth:
    """A health check ended; ``report`` is None if it failed."""

    report: BackendReport | None


@dataclass(frozen=True, slots=True)
class InputDrained:
    """All input that arrived during a pause has been handled."""


Event = (
    ControlEvent
    | CallArrived
    | ReservationAsked
    | CallerGone
    | AttemptReceived
    | CancelReceived
    | ReservationReceived
    | ProbeReceived
    | AnswerReceived
    | RefusalReceived
    | ReservationGranted
    | ProbeReplied
    | BackendAnswered
    | BackendFailed
    | BackendHealth
    | InputDrained
)
