"""Actions about calls that the engine asks the shell to carry out.

Actions of the control plane are in ``bilberryrail.control.messages``;
``Action`` is the union of both. A message to this node itself
(``peer == identity.node``) is handled by the shell without a socket.
"""

from dataclasses import dataclass

from bilberryrail.control.messages import ControlAction
from bilberryrail.core.ids import AttemptId, CallId, NodeId, ServiceId, TenantId
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.policy.events import CallLimits, DispatchId, Token

# Ingress to caller


@dataclass(frozen=True, slots=True)
class CompleteCall:
    """Send the answer of an attempt to the caller."""

    call: CallId
    peer: NodeId
    attempt: AttemptId
    status: int


@dataclass(frozen=True, slots=True)
class RejectCall:
    """Refuse a call and give the caller the reason.

    ``retry_after_s`` is the time after which the caller may retry.
    """

    call: CallId
    outcome: Outcome
    reason: Reason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class GrantReservation:
    """Send a reservation token to the caller."""

    call: CallId
    token: Token


# Ingress to target


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a call to a target; the shell adds the body of ``call``."""

    peer: NodeId
    attempt: AttemptId
    call: CallId
    service: ServiceId
    tenant: TenantId
    limits: CallLimits
    token: Token | None = None


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Cancel an attempt at its target."""

    peer: NodeId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class SendReservation:
    """Ask a target for a reservation."""

    peer: NodeId
    attempt: AttemptId
    service: ServiceId
    tenant: TenantId
    limits: CallLimits


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Ask a target for a load report."""

    peer: NodeId
    probe: int


# Target to ingress


@dataclass(frozen=True, slots=True)
class SendAnswer:
    """Send the backend server's answer to the ingress."""

    peer: NodeId
    attempt: AttemptId
    dispatch: DispatchId
    status: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class SendKeptAnswer:
    """Send the kept answer of a reservation to the ingress."""

    peer: NodeId
    attempt: AttemptId
    sequence: int
    status: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class SendRefusal:
    """Send a refusal or failure to the ingress instead of an answer."""

    peer: NodeId
    attempt: AttemptId
    outcome: Outcome
    reason: Reason
    retry_after_s: float
    load: LoadReport


@dataclass(frozen=True, slots=True)
class SendToken:
    """Send an issued token to the ingress."""

    peer: NodeId
    attempt: AttemptId
    token: Token
    load: LoadReport


@dataclass(frozen=True, slots=True)
class SendProbeReply:
    """Answer a probe."""

    peer: NodeId
    probe: int
    load: LoadReport


# Target to backend server


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a call to the backend server; the shell adds the body."""

    dispatch: DispatchId
    peer: NodeId
    attempt: AttemptId
    remaining_s: float


@dataclass(frozen=True, slots=True)
class AbortDispatch:
    """Cancel a call at the backend server."""

    dispatch: DispatchId


@dataclass(frozen=True, slots=True)
class KeepAnswer:
    """Keep the answer of a dispatch for a reservation."""

    sequence: int
    dispatch: DispatchId


@dataclass(frozen=True, slots=True)
class DropAnswer:
    """Drop the kept answer of a reservation."""

    sequence: int


@dataclass(frozen=True, slots=True)
class DropBody:
    """Drop the body of an attempt that will not be dispatched."""

    peer: NodeId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Start a health check of the backend server."""


@dataclass(frozen=True, slots=True)
class DrainInput:
    """Read all input that waits in sockets, then send ``InputDrained``."""


@dataclass(frozen=True, slots=True)
class Stop:
    """Exit the process; draining has finished."""


Action = (
    ControlAction
    | CompleteCall
    | RejectCall
    | GrantReservation
    | SendAttempt
    | SendCancel
    | SendReservation
    | SendProbe
    | SendAnswer
    | SendKeptAnswer
    | SendRefusal
    | SendToken
    | SendProbeReply
    | Dispatch
    | AbortDispatch
    | KeepAnswer
    | DropAnswer
    | DropBody
    | CheckHealth
    | DrainInput
    | Stop
)
