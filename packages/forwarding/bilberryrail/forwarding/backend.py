"""What a node knows about the backend server beside it."""

import math
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.cold import ColdLimiter
from bilberryrail.forwarding.records import (
    BackendLoad,
    BackendPhase,
    InstanceId,
    ServiceRules,
)
from bilberryrail.forwarding.settings import AdmissionSettings

#: Weight of the newest answer in the usual duration.
_USUAL_WEIGHT: Final = 0.03

#: Answers whose plain mean is the usual duration at first.
_FIRST_ANSWERS: Final = 20

#: Weight of the newest answer in the present pace.
_PACE_WEIGHT: Final = 0.2

#: Time in which the present pace returns to the usual one without answers.
_PACE_MEMORY_S: Final = 2.0

#: Weight of the newest outcome in the share of errors.
_ERROR_WEIGHT: Final = 0.1

#: Time in which the share of errors falls without requests, so that a
#: backend server that was avoided is tried again.
_ERROR_MEMORY_S: Final = 2.0

#: Multiple of the usual duration from which a running request without an
#: answer tells that the backend server is slow.
_STALL_FACTOR: Final = 3.0

#: Age up to which a load report says how much runs beside our requests.
_REPORT_AGE_S: Final = 0.3

#: Failed health checks in a row after which a backend server is ill.
_FAILED_CHECKS: Final = 2

#: Time for which an answer proves that an ill backend server is well.
_PROOF_S: Final = 0.5

#: Interval at which an ill backend server gets a request as a trial.
_TRIAL_INTERVAL_S: Final = 0.25

#: Most instances that are remembered as gone.
_MOST_GONE: Final = 64


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a backend server announces about itself.

    Attributes
    ----------
    born_ms
        Unix time of its start in milliseconds; zero if it is not known.
    sequence
        Grows with each heartbeat of one start.
    cold_s
        Time for which it stays cold.
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
    """What a backend server says about its load.

    Attributes
    ----------
    slowdown
        Duration of work now, as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class HealthResult:
    """Result of a health check.

    Attributes
    ----------
    instance
        Instance that answered; None if it did not name itself.
    cold_s
        Time for which it stays cold; None if it did not say.
    """

    is_well: bool
    instance: InstanceId | None = None
    cold_s: float | None = None
    load: LoadReport | None = None


class Backend:
    """State of the backend server, from heartbeats, health and answers.

    Attributes
    ----------
    gone
        Instances that have said that they leave; they get no new requests.
    down
        Whether it accepts no connections.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.instance: InstanceId | None = None
        self.service: ServiceId | None = None
        self.phase = BackendPhase.ABSENT
        self.slots = 0
        self.born_ms = 0
        self.sequence = -1
        self.gone: dict[InstanceId, int] = {}
        self.down = False
        self.cold = ColdLimiter()
        self.rules: ServiceRules | None = None
        self.running: dict[int, Seconds] = {}
        self.usual_s = 0.0
        self._answers = 0
        self._pace = 1.0
        self._pace_at = Seconds(0)
        self._error_share = 0.0
        self._error_at = Seconds(0)
        self._slowdown = 1.0
        self._slowdown_at = Seconds(-math.inf)
        self._beside_us = 0
        self._failed_checks = 0
        self._warm_at = Seconds(-math.inf)
        self._proved_at = Seconds(-math.inf)
        self._tried_at = Seconds(-math.inf)

    def heard(self, beat: Heartbeat, now: Seconds) -> bool:
        """Take a heartbeat; tell whether it was newer than what is known.

        A heartbeat that was delayed may arrive after another instance has
        taken the address.
        """
        if beat.born_ms < self.born_ms:
            return False
        is_same = beat.instance == self.instance
        is_restart = beat.born_ms > self.born_ms
        if is_same and not is_restart and beat.sequence <= self.sequence:
            return False
        if not is_same or is_restart:
            self._replaced(beat.instance, beat.born_ms)
        self.sequence = beat.sequence
        self.service = beat.service
        self.slots = beat.slots or self.slots
        if self._is_gone(beat.instance):
            self.phase = BackendPhase.DRAINING
        else:
            self.phase = beat.phase
        if beat.phase is BackendPhase.DRAINING:
            self.left(beat.instance)
        if beat.cold_s > 0:
            self.cold.turned_cold(beat.cold_s, now)
        return True

    def left(self, instance: InstanceId) -> None:
        """Give an instance no new requests: it has said that it leaves."""
        born_ms = self.born_ms if instance == self.instance else 0
        self.gone[instance] = max(born_ms, self.gone.get(instance, 0))
        while len(self.gone) > _MOST_GONE:
            self.gone.pop(next(iter(self.gone)))
        if instance == self.instance:
            self.phase = BackendPhase.DRAINING

    def checked(self, result: HealthResult, now: Seconds) -> None:
        """Learn from a health check."""
        if result.instance and result.instance != self.instance:
            # Its first heartbeat may still be on its way.
            self._replaced(result.instance, self.born_ms)
            if result.is_well and not self._is_gone(result.instance):
                self.phase = BackendPhase.READY
        if result.load is not None:
            self.reported(result.load, now)
        if result.cold_s is not None:
            self._say_cold(result.cold_s, now)
        if result.is_well:
            self.down = False
            self._failed_checks = 0
        else:
            self._failed_checks += 1

    def _say_cold(self, cold_s: float, now: Seconds) -> None:
        if cold_s > 0:
            self.cold.turned_cold(cold_s, now)
        else:
            self.cold.turned_warm()
            self._warm_at = now

    def reported(self, report: LoadReport, now: Seconds) -> None:
        """Learn from a load report."""
        self._slowdown = report.slowdown
        self._slowdown_at = now
        self.slots = report.slots or self.slots
        self._beside_us = max(0, report.running - len(self.running))

    def connect_failed(self) -> None:
        """Note that the backend server accepted no connection."""
        self.down = True

    def started(self, number: int, now: Seconds) -> None:
        """Note a request that is sent to the backend server."""
        self.running[number] = now
        self.cold.note(now)
        self._tried_at = now

    def ended(self, number: int) -> float | None:
        """Forget a request; return when it was sent, if it was running."""
        return self.running.pop(number, None)

    def answered(self, number: int, now: Seconds) -> None:
        """Learn from a good answer, whose request has still to be ended."""
        self._proved_at = now
        self._settle_errors(now)
        self._error_share *= 1 - _ERROR_WEIGHT
        sent_at = self.running.get(number)
        if sent_at is None:
            return
        duration = (now - sent_at) / max(1.0, self._slowdown)
        self._learn(max(duration, 0.001), now)

    def failed(self, now: Seconds) -> None:
        """Learn from a request that failed at the backend server."""
        self._settle_errors(now)
        self._error_share += _ERROR_WEIGHT * (1 - self._error_share)

    def is_usable(self, now: Seconds) -> bool:
        """Tell whether new requests may be sent at all."""
        if self.phase is not BackendPhase.READY or self.down:
            return False
        if self._failed_checks < _FAILED_CHECKS:
            return True
        if now - self._proved_at < _PROOF_S:
            return True
        return now - self._tried_at >= _TRIAL_INTERVAL_S

    def limit(self) -> int:
        """Return how many requests may run at the same time."""
        limit = max(1, int(self.slots * self.settings.slot_share))
        if self.rules is not None:
            limit = min(limit, self.rules.max_connections)
        return limit

    def occupancy(self, now: Seconds) -> int:
        """Return the requests at the backend server."""
        if now - self._slowdown_at > _REPORT_AGE_S:
            return len(self.running)
        return len(self.running) + self._beside_us

    def cold_limit(self, now: Seconds) -> float:
        """Return the requests a second that may be sent; may be infinite.

        A backend server may turn cold unannounced, so the bound stays in force
        until a fresh health check says that it is warm.
        """
        is_known_warm = now - self._warm_at < self.settings.health_fresh_s
        if is_known_warm and not self.cold.is_cold(now):
            return math.inf
        if self.rules is None:
            return math.inf
        factor, slack = self.settings.cold_factor, self.settings.cold_slack
        return self.rules.cold_requests_per_s * factor + slack

    def slowdown(self, now: Seconds) -> float:
        """Return the duration of work now, relative to the usual one."""
        fresh = math.exp(-max(0, now - self._slowdown_at) / _REPORT_AGE_S)
        stated = 1 + (self._slowdown - 1) * fresh
        age = max(0, now - self._pace_at)
        pace = 1 + (self._pace - 1) * math.exp(-age / _PACE_MEMORY_S)
        return max(0.2, stated * pace, self._stall(now))

    def load(self, now: Seconds, waiting: int) -> BackendLoad:
        """Summarize the load for other nodes."""
        self._settle_errors(now)
        return BackendLoad(
            running=self.occupancy(now),
            waiting=waiting,
            limit=self.limit() if self.is_usable(now) else 0,
            slowdown=round(self.slowdown(now), 2),
            service_s=round(self.usual_s, 4),
            error_share=round(self._error_share, 3),
        )

    def expected_s(self, now: Seconds) -> float:
        """Return the time to an answer of a request sent now."""
        return self.usual_s * self.slowdown(now)

    def _replaced(self, instance: InstanceId, born_ms: int) -> None:
        self.instance = instance
        self.born_ms = born_ms
        self.sequence = -1
        self.phase = BackendPhase.ABSENT
        self._warm_at = Seconds(-math.inf)
        self._error_share = 0.0
        self._pace = 1.0
        self._failed_checks = 0

    def _is_gone(self, instance: InstanceId) -> bool:
        """Tell whether this start of an instance has said that it leaves."""
        left_ms = self.gone.get(instance)
        if left_ms is None:
            return False
        return self.born_ms <= left_ms or not left_ms

    def _learn(self, duration: float, now: Seconds) -> None:
        self._answers += 1
        weight = max(_USUAL_WEIGHT, 1 / min(self._answers, _FIRST_ANSWERS))
        self.usual_s += weight * (duration - self.usual_s)
        ratio = min(duration / self.usual_s, 20.0)
        age = max(0, now - self._pace_at)
        pace = 1 + (self._pace - 1) * math.exp(-age / _PACE_MEMORY_S)
        self._pace = pace + _PACE_WEIGHT * (ratio - pace)
        self._pace_at = now

    def _settle_errors(self, now: Seconds) -> None:
        age = max(0, now - self._error_at)
        self._error_share *= math.exp(-age / _ERROR_MEMORY_S)
        self._error_at = now

    def _stall(self, now: Seconds) -> float:
        """Judge the pace by the oldest request that still runs."""
        if not self.running or not self.usual_s:
            return 0
        oldest = next(iter(self.running.values()))
        ratio = (now - oldest) / self.usual_s
        return ratio / 2 if ratio > _STALL_FACTOR else 0
