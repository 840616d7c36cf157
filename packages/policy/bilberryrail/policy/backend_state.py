"""State of a backend server as estimated by its target.

The backend server's reports may be outdated or wrong. They can therefore only
lower the concurrency, and the number of running calls is never taken from them.
"""

import math
from http import HTTPStatus
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.breaker import Breaker
from bilberryrail.policy.cold_start import ColdStart, ColdStartDetector
from bilberryrail.policy.events import BackendReport
from bilberryrail.policy.limiter import LatencyLimiter
from bilberryrail.policy.settings import AdmissionSettings
from bilberryrail.policy.work import Work, WorkTable

#: Consecutive failed health checks after which the backend server counts as
#: down. A single check may fail because the server is busy.
_FAILED_CHECKS: Final = 2
#: Consecutive failures of started calls that count as a restart. A single call
#: may fail for a reason of its own.
_FAILED_CALLS: Final = 2
#: Interval in seconds at which a stall is checked, so that the limit keeps
#: falling.
_STALL_INTERVAL_S: Final = 0.005


class BackendState:
    """Limits, availability and cold-start ramp of the backend server.

    Attributes
    ----------
    down
        Whether a connection or several health checks have failed, and no
        health check has succeeded since.
    draining
        Whether the backend server last reported that it is draining.
    """

    def __init__(self, settings: AdmissionSettings, now: Seconds) -> None:
        self.settings = settings
        self.down = False
        self.draining = False
        self.limiter = LatencyLimiter(settings)
        self.ramp = ColdStart(now)
        self.cold_start_detector = ColdStartDetector()
        self.breaker = Breaker(settings)
        self.check_at = now
        self._failed_checks = 0
        self._failed_calls = 0
        self._answered_at = now
        self._boot: str | None = None
        self._reported_cold = False
        self._zone_out = False

    def limit(self, limits: BackendLimits, now: Seconds) -> int:
        """Return the number of calls that may run at the same time now."""
        return min(
            self.limiter.limit(limits),
            self.ramp.limit(limits, now),
            self.breaker.limit(now),
        )

    def is_check_due(self, now: Seconds) -> bool:
        """Return whether a health check is due, and schedule the next one."""
        if now < self.check_at:
            return False
        self.check_at = Seconds(now + self.settings.health_interval_s)
        return True

    def update_zone(self, now: Seconds, *, out: bool) -> None:
        """Update the zone's state; restart the ramp when the zone is back."""
        if self._zone_out and not out:
            self.ramp.restart(now)
        self._zone_out = out

    def answered(
        self,
        work: Work,
        table: WorkTable,
        status: int,
        limits: BackendLimits,
        now: Seconds,
    ) -> None:
        """Update the state after an answer.

        Its call must still count as running. The latency of server errors is
        ignored, because they are often faster than successful answers.
        """
        self._failed_calls = 0
        waiting_s = table.waiting_s(self._answered_at, now)
        self._answered_at = now
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.limiter.call_rejected(limits, now)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.breaker.failed(now)
            return
        self.breaker.answered()
        latency_s = now - work.started_at
        is_slow = self.cold_start_detector.is_slow(latency_s)
        if self.cold_start_detector.answered(latency_s, work.in_flight, now):
            self.ramp.restart(now)
        elif not is_slow:
            self.ramp.answered()
        self.limiter.answered(waiting_s, work.in_flight, limits, now)

    def check_stall(
        self,
        table: WorkTable,
        limits: BackendLimits,
        now: Seconds,
    ) -> None:
        """Lower the limit if running calls wait too long for any answer."""
        waiting_s = table.waiting_s(self._answered_at, now)
        self.limiter.check_stall(waiting_s, len(table.running), limits, now)

    def stall_at(self, table: WorkTable, now: Seconds) -> float:
        """Return when running calls without an answer count as stalled."""
        in_flight = len(table.running)
        stall_threshold_s = self.limiter.stall_threshold_s(in_flight)
        if not in_flight or not stall_threshold_s:
            return math.inf
        left_s = stall_threshold_s - table.waiting_s(self._answered_at, now)
        return now + max(left_s / in_flight, _STALL_INTERVAL_S)

    def connection_failed(self, now: Seconds) -> None:
        """Mark the backend server as down after a failed connection."""
        self.down = True
        self.check_at = now
        self.ramp.restart(now)

    def call_failed(self, now: Seconds) -> None:
        """Record that a started call failed.

        A single failure only triggers a health check at once. After several
        in a row the backend server is assumed to have restarted.
        """
        self.check_at = now
        self.breaker.failed(now)
        self._failed_calls += 1
        if self._failed_calls >= _FAILED_CALLS:
            self.ramp.restart(now)

    def health_checked(
        self, report: BackendReport | None, now: Seconds
    ) -> None:
        """Update the state after a health check.

        ``report`` is None if the check failed.
        """
        if report is None:
            self._failed_checks += 1
            self.down = self.down or self._failed_checks >= _FAILED_CHECKS
            return
        self._failed_checks = 0
        if self.down:
            self.ramp.restart(now)
            self.down = False
        self.reported(report, now)

    def reported(self, report: BackendReport, now: Seconds) -> None:
        """Update the state after a report of the backend server.

        Only the first of several cold reports restarts the ramp, so that wrong
        reports cannot limit the concurrency forever.
        """
        is_reboot = self._boot not in {None, report.boot}
        became_cold = report.cold and not self._reported_cold
        if is_reboot or became_cold:
            self.ramp.restart(now)
        self._boot = report.boot
        self._reported_cold = report.cold
        self.draining = report.draining
