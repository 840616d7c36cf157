"""Free capacity of a target, and estimated queue waits."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.load import LoadReport, Reason
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.admission import Refusal
from bilberryrail.policy.backend_state import BackendState
from bilberryrail.policy.deadline_queue import DeadlineQueue
from bilberryrail.policy.settings import AdmissionSettings
from bilberryrail.policy.work import Work, WorkTable

#: Interval in seconds at which a queue is checked while the cold-start ramp
#: limits dispatch.
_RAMP_INTERVAL_S: Final = 0.02
#: Minimum retry-after time of a refused call, in seconds.
_MIN_RETRY_S: Final = 0.01


class Capacity:
    """Compares running and waiting calls with the backend server's limits.

    Attributes
    ----------
    limits
        Configured limits; zero until the configuration is known.
    draining
        Whether this node is shutting down.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.backend = BackendState(settings, Seconds(0))
        self.table = WorkTable()
        self.queue = DeadlineQueue()
        self.limits = BackendLimits(slots=0, connections=0)
        self.draining = False

    def load(self, now: Seconds) -> LoadReport:
        """Return the current load of this target."""
        return LoadReport(
            in_flight=len(self.table.running),
            limit=self.backend.limit(self.limits, now),
            queued=len(self.queue),
            latency_s=self.backend.limiter.smoothed_s,
            cold=self.backend.ramp.is_cold(self.limits, now),
            draining=self.draining or self.backend.draining,
        )

    def wakeup_at(self, now: Seconds) -> Seconds:
        """Return the time at which the target must be woken up.

        Reservations need no timer of their own: their expiry is checked at
        every use, and health checks are frequent enough to free their memory.
        """
        ramp_at = math.inf
        if len(self.queue) and self.backend.ramp.is_cold(self.limits, now):
            ramp_at = now + _RAMP_INTERVAL_S
        return Seconds(
            min(
                self.queue.next_deadline,
                self.backend.check_at,
                self.backend.stall_at(self.table, now),
                ramp_at,
            ),
        )

    def has_slot(self, now: Seconds) -> bool:
        """Return whether a call may be dispatched now."""
        running = len(self.table.running)
        return running < self.backend.limit(self.limits, now)

    def is_deadline_unreachable(self, work: Work, now: Seconds) -> bool:
        """Return whether a new call cannot meet its deadline."""
        if work.deadline <= now:
            return True
        if not self.table.running:
            # An idle backend server accepts any call. Otherwise a latency
            # estimate that is too high would never be replaced.
            return False
        wait_s: float = 0
        if not self.has_slot(now):
            ahead = self.queue.calls_ahead(work.tenant, work.deadline)
            wait_s = self._wait_s(ahead, now)
        fastest_s = self.backend.limiter.minimum_s
        return now + wait_s + fastest_s > work.deadline

    def is_cold_limited(self, now: Seconds) -> bool:
        """Return whether the cold-start ramp is the lowest limit."""
        ramp = self.backend.ramp.limit(self.limits, now)
        return ramp < self.backend.limiter.limit(self.limits)

    def enqueue(self, work: Work) -> Work | None:
        """Add a call to the queue; return the call that is evicted, if any."""
        return self.queue.push(work, self._max_queue_length, self.table.tenants)

    def deadline_refusal(self, now: Seconds) -> Refusal:
        """Return the refusal of a call that cannot meet its deadline."""
        return Refusal(Reason.DEADLINE, self._retry_after_s(now))

    def capacity_refusal(self, now: Seconds) -> Refusal:
        """Return the refusal of a call for which slots and queue are full."""
        reason = (
            Reason.QUEUE_FULL if self._max_queue_length else Reason.OVERLOADED
        )
        if self.is_cold_limited(now):
            reason = Reason.COLD_START
        return Refusal(reason, self._retry_after_s(now))

    @property
    def _max_queue_length(self) -> int:
        return int(self.settings.queue_per_slot * self.limits.slots)

    def _retry_after_s(self, now: Seconds) -> float:
        return max(_MIN_RETRY_S, self._wait_s(len(self.queue), now))

    def _wait_s(self, ahead: int, now: Seconds) -> float:
        limit = max(1, self.backend.limit(self.limits, now))
        return (ahead + 1) * self.backend.limiter.smoothed_s / limit
