"""What a target believes about its backend server.

Reports may lag or mislead, so they can only make the target more careful;
the number of running calls is never taken from them.
"""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.cold_start import ColdStart, ColdStartSigns
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
_SERVER_ERROR: Final = 500


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
        self.signs = ColdStartSigns()
        self.check_at = now
        self._failed_checks = 0
        self._failed_calls = 0
        self._boot: str | None = None
        self._reported_cold = False
        self._zone_out = False

    def limit(self, limits: BackendLimits, now: Seconds) -> int:
        """Return the calls that may run now."""
        return min(self.limiter.limit(limits), self.ramp.limit(limits, now))

    def is_check_due(self, now: Seconds) -> bool:
        """Tell whether to ask for health now, and set the next instant."""
        if now < self.check_at:
            return False
        self.check_at = Seconds(now + self.settings.health_interval_s)
        return True

    def zone_seen(self, now: Seconds, *, out: bool) -> None:
        """Note the state of this node's availability zone."""
        if self._zone_out and not out:
            self.ramp.restart(now)
        self._zone_out = out

    def answered(
        self,
        work: Work,
        status: int,
        limits: BackendLimits,
        now: Seconds,
    ) -> None:
        """Learn from the answer to a call."""
        self._failed_calls = 0
        latency_s = now - work.started_at
        is_slow = self.signs.is_slow(latency_s)
        if self.signs.answered(latency_s, work.in_flight, now):
            self.ramp.restart(now)
        elif status < _SERVER_ERROR and not is_slow:
            self.ramp.answered()
        self.limiter.answered(latency_s, work.in_flight, limits, now)

    def aged(
        self,
        table: WorkTable,
        limits: BackendLimits,
        now: Seconds,
    ) -> None:
        """Learn from the age of running calls."""
        in_flight = len(table.running)
        self.limiter.aged(table.mean_age_s(now), in_flight, limits, now)

    def suspicious_at(self, table: WorkTable, now: Seconds) -> float:
        """Return when the age of running calls should be looked at next."""
        suspicious_s = self.limiter.suspicious_age_s
        if not table.running or not suspicious_s:
            return math.inf
        wait_s = suspicious_s - table.mean_age_s(now)
        return now + max(wait_s, self.limiter.minimum_s)

    def connection_failed(self, now: Seconds) -> None:
        """Note that the backend server accepted no connection."""
        self.down = True
        self.ramp.restart(now)

    def call_failed(self, now: Seconds) -> None:
        """Note that a started call failed.

        One failure only brings the next health check forward; several in a
        row are a sign that the backend server restarted.
        """
        self.check_at = now
        self._failed_calls += 1
        if self._failed_calls >= _FAILED_CALLS:
            self.ramp.restart(now)

    def health(self, report: BackendReport | None, now: Seconds) -> None:
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
