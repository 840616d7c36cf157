"""Heartbeats, load reports, notices and health checks of backend servers."""

import math
from dataclasses import dataclass
from enum import Enum

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.records import BackendPhase, InstanceId


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A backend server's announcement of its own state.

    Attributes
    ----------
    slots
        Requests that it can run at the same time; zero if it is not known.
    born_ms
        Unix time of its start, in milliseconds; zero if it is not known.
    sequence
        Sequence number, which grows with each heartbeat of one run.
    cold_s
        Time for which it remains cold, in seconds.
    """

    instance: InstanceId
    service: ServiceId
    address: str
    phase: BackendPhase
    slots: int
    born_ms: int = 0
    sequence: int = 0
    cold_s: float = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A backend server's report of its load.

    Attributes
    ----------
    running, waiting
        Requests that run, and that wait in its own queue.
    slots
        Requests that it can run at the same time; zero if it is not known.
    slowdown
        Present duration of work, as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class NoticeSource(Enum):
    """What kind of answer a notice is part of."""

    ANSWER = 'answer'
    HEALTH_CHECK = 'health-check'


@dataclass(frozen=True, slots=True)
class Notice:
    """What a backend server states about itself in an answer.

    Attributes
    ----------
    rate_limit
        Requests per second that it accepts from all nodes together; infinite if
        it states no limit.
    is_leaving
        Whether it states that it leaves.
    """

    rate_limit: float = math.inf
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class HealthResult:
    """Result of a health check.

    Attributes
    ----------
    instance
        Instance that answered; None if it did not identify itself.
    cold_s
        Time for which it remains cold, in seconds; None if it did not report
        it.
    load
        Its load report; None if there was none.
    notice
        What the answer states besides; None if there was no answer.
    """

    is_healthy: bool
    instance: InstanceId | None = None
    cold_s: float | None = None
    load: LoadReport | None = None
    notice: Notice | None = None
