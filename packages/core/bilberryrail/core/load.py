"""Load reports of targets, and outcomes of calls."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a target at one moment, as its node reports it.

    Attributes
    ----------
    in_flight
        Calls running at the backend server.
    limit
        Current concurrency limit: calls that the target runs at the same time.
    queued
        Calls waiting for admission.
    latency_s
        Moving average of the time that the backend server takes for a call.
    cold
        Whether the target still raises its limit after a cold start.
    draining
        Whether the target refuses all new calls because its node or its backend
        server shuts down.
    """

    in_flight: int
    limit: int
    queued: int
    latency_s: float
    cold: bool = False
    draining: bool = False


class Outcome(Enum):
    """How a call ended, as its caller is told."""

    COMPLETED = 'completed'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'


class Reason(Enum):
    """Why a call was refused or failed."""

    OVERLOADED = 'overloaded'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    COLD_START = 'cold-start'
    DRAINING = 'draining'
    ZONE_OUT = 'availability-zone-out'
    BACKEND_DOWN = 'backend-server-down'
    BACKEND_FAILED = 'backend-server-failed'
    CATCHING_UP = 'catching-up'
    STALE_VIEW = 'stale-view'
    NO_TARGET = 'no-target'
    HOME_REGION = 'home-region'
    LINK_LOST = 'link-lost'
    CANCELLED = 'cancelled'
    WRONG_SERVICE = 'wrong-service'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_TENANT = 'unknown-tenant'
    UNKNOWN_PARENT = 'unknown-parent'
    RESERVATION_REQUIRED = 'reservation-required'
    RESERVATION_INVALID = 'reservation-invalid'
    RESERVATION_EXPIRED = 'reservation-expired'
    OTHER_INCARNATION = 'other-incarnation'
    ANSWER_NOT_KEPT = 'answer-not-kept'
    TOO_LARGE = 'too-large'
    INCOMPLETE_ANSWER = 'incomplete-answer'
    MALFORMED_REQUEST = 'malformed-request'
