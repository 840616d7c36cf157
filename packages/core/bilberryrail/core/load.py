"""Load reports and outcomes that nodes exchange about calls."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class LoadReport:
    """State of a target at one moment, as its node knows it.

    Attributes
    ----------
    in_flight
        Calls running at the backend server.
    limit
        Calls the target admits at the same time now.
    queued
        Calls waiting for admission.
    latency_s
        Smoothed time the backend server takes for a call.
    cold
        Whether the target is on its cold-start ramp.
    draining
        Whether the target refuses new work for good.
    """

    in_flight: int
    limit: int
    queued: int
    latency_s: float
    cold: bool = False
    draining: bool = False


class Outcome(Enum):
    """What a caller learns about its call."""

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
