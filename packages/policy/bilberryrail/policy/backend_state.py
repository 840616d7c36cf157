"""What a target believes about its backend server.

Reports may lag or mislead, so they can only make the target more careful;
the number of running calls is never taken from them.
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

#: Health checks in a row that must fail before the backend server counts as
#: down; a busy server can miss one.
_FAILED_CHECKS: Final = 2
#: Started calls in a row that must fail to count as a restart; a single one
#: may have failed for a reason of its own.
_FAILED_CALLS: Final = 2
#: Interval at which a stall is looked at, so that the limit keeps falling.
_STALL_INTERVAL_S: Final = 0.005


class BackendState:
    """Limits, availability and cold-start ramp of the backend server.

    Attributes
    ----------
    down
        Set by a failed connection or failed health checks, until a health
        check succeeds.
    draining
        Whether the backend server's last report said that it drains.
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
        """Return the calls that may run now."""
        return min(
            self.limiter.limit(limits),
            self.ramp.limit(limits, now),
            self.breaker.limit(now),
        )

    def is_check_due(self, now: Seconds) -> bool:
        """Tell whether to ask for health now, and set the next instant."""
        if now < self.check_at:
            return False
        self.check_at = Seconds(now + self.settings.health_interval_s)
        return True

    def update_zone(self, now: Seconds, *, out: bool) -> None:
        """Note the state of this node's availability zone."""
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
        """Learn from the answer to a call, which still counts as running.

        Server errors are often faster than real answers, so they do not
        count as latency.
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
        """Learn from the time that running calls wait for any answer."""
        waiting_s = table.waiting_s(self._answered_at, now)
        self.limiter.check_stall(waiting_s, len(table.running), limits, now)

    def stall_at(self, table: WorkTable, now: Seconds) -> float:
        """Return when running calls without an answer will be a stall."""
        in_flight = len(table.running)
        stall_threshold_s = self.limiter.stall_threshold_s(in_flight)
        if not in_flight or not stall_threshold_s:
            return math.inf
        left_s = stall_threshold_s - table.waiting_s(self._answered_at, now)
        return now + max(left_s / in_flight, _STALL_INTERVAL_S)

    def connection_failed(self, now: Seconds) -> None:
        """Note that the backend server accepted no connection."""
        self.down = True
        self.check_at = now
        self.ramp.restart(now)

    def call_failed(self, now: Seconds) -> None:
        """Note that a started call failed.

        One failure only brings the next health check forward; several in a
        row are a sign that the backend server restarted.
        """
        self.check_at = now
        self.breaker.failed(now)
        self._failed_calls += 1
        if self._failed_calls >= _FAILED_CALLS:
            self.ramp.restart(now)

    def health_checked(
        self, report: BackendReport | None, now: Seconds
    ) -> None:
        """Learn from a health check."""
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
        """Learn from a report of the backend server.

        A report that stays cold does not restart the ramp again, so a
        misleading one cannot hold it back for good.
        """
        is_reboot = self._boot not in {None, report.boot}
        became_cold = report.cold and not self._reported_cold
        if is_reboot or became_cold:
            self.ramp.restart(now)
        self._boot = report.boot
        self._reported_cold = report.cold
        self.draining = report.draining
