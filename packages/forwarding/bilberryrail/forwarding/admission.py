"""Which requests wait at a target, and for how long."""

from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.records import Refusal
from bilberryrail.forwarding.settings import AdmissionSettings
from bilberryrail.forwarding.target_capacity import TargetCapacity
from bilberryrail.forwarding.work_queue import Work, WorkQueue

#: Part of its time for which a late request waits for a free slot. Longer
#: waits are rarely rewarded, and keep the caller from coming back.
_LATE_WAIT_SHARE: Final = 0.25

#: Most requests kept in the queue for a limit, whatever the limit is.
_MIN_QUEUE_LIMIT: Final = 4

#: Longest wait for a look at the host; an answer on the same host takes a few
#: milliseconds.
MAX_HEALTH_CHECK_WAIT_S: Final = 0.025

#: Part of a run that a look at the host may take.
_HEALTH_CHECK_SHARE: Final = 0.1

#: Usual episodes of slowness for which one request is held back.
_MAX_PAUSE_EPISODES: Final = 2.0


@dataclass(frozen=True, slots=True)
class QueueDecision:
    """Whether a request may wait.

    Attributes
    ----------
    wait_s
        Expected time until a slot is free for it, in seconds.
    refusal
        Why it may not wait; None if it may.
    """

    wait_s: float
    refusal: Refusal | None = None


class Admission:
    """Keeps a queue that answers as many requests in time as it can.

    In an overload a queue ordered by age answers everything just too late.
    Here a request that will miss its aim goes after those that will not, and
    is refused while its caller still has time to come back.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        capacity: TargetCapacity,
        queue: WorkQueue,
    ) -> None:
        self.settings = settings
        self.capacity = capacity
        self.queue = queue
        self.backend = capacity.backend

    def run_s(self, work: Work, now: Seconds) -> float:
        """Return how long a free slot will take to answer a request."""
        started_now_s = self.backend.expected_s(now, work.message.route)
        pause_s = self.backend.service_time.reported_slowdown.remaining_slow_s(
            now
        )
        if not pause_s:
            return started_now_s
        return min(started_now_s, pause_s + self._normal_run_s(work, now))

    def is_better_paused(self, work: Work, now: Seconds) -> bool:
        """Tell whether a request had better not be sent right now.

        The host's speed at its start decides how long it runs. If the host
        may have turned slow since the last report, a look costs less than a
        slow run; if it is slow for a moment, waiting does.
        """
        if self._awaits_health_check(work, now):
            return True
        remaining_slow_s = (
            self.backend.service_time.reported_slowdown.remaining_slow_s(now)
        )
        if (
            not remaining_slow_s
            or _paused_s(work, now) >= remaining_slow_s * _MAX_PAUSE_EPISODES
        ):
            return False
        started_now_s = self.backend.expected_s(now, work.message.route)
        return started_now_s > remaining_slow_s + self._normal_run_s(work, now)

    def wait_s(self, work: Work, now: Seconds) -> float:
        """Return how long a request will wait for a slot."""
        ahead = self.queue.count_ahead(work)
        return self.capacity.expected_wait_s(ahead, now)

    def is_too_slow(self, work: Work, now: Seconds) -> bool:
        """Tell whether another target would answer sooner than a free slot.

        That is known only after a look at the host, if a look pays.
        """
        max_answer_s = work.message.max_answer_s
        if not max_answer_s or self._awaits_health_check(work, now):
            return False
        return self.run_s(work, now) > max_answer_s

    def decide(self, work: Work, now: Seconds) -> QueueDecision:
        """Say whether a request may wait here; mark it if it is late."""
        wait_s = self.wait_s(work, now)
        needed_s = wait_s + self.run_s(work, now)
        max_answer_s = work.message.max_answer_s
        if max_answer_s and needed_s > max_answer_s:
            return QueueDecision(wait_s, Refusal.BUSY)
        per_slot = self.settings.queue_per_slot
        max_queued = max(_MIN_QUEUE_LIMIT, self.backend.limit() * per_slot)
        if now + needed_s > work.expires_at or len(self.queue) >= max_queued:
            return QueueDecision(wait_s, Refusal.LATE)
        if self._misses_target_latency(work, Seconds(now + needed_s)):
            work.is_late = True
            wait_s = self.wait_s(work, now)
            if now + wait_s > _late_wait_ends_at(work):
                return QueueDecision(wait_s, Refusal.LATE)
        return QueueDecision(wait_s)

    def expire_late(self, now: Seconds) -> list[Work]:
        """Move late requests back; remove those that have waited enough."""
        removed = []
        for work in tuple(self.queue):
            self._mark_late(work, now)
            if work.is_late and now > _late_wait_ends_at(work):
                self.queue.cancel(work)
                removed.append(work)
        return removed

    def _mark_late(self, work: Work, now: Seconds) -> None:
        if not work.is_late:
            answer_at = Seconds(now + self.run_s(work, now))
            if self._misses_target_latency(work, answer_at):
                work.is_late = True
                self.queue.push(work)

    def _misses_target_latency(self, work: Work, answer_at: Seconds) -> bool:
        """Tell whether an answer comes too late to be worth max_queued.

        Short requests are served all the same: they delay others little, and
        are often calls of requests that run.
        """
        if answer_at <= work.target_latency_at:
            return False
        return not self.backend.service_time.is_short(work.message.route)

    def _awaits_health_check(self, work: Work, now: Seconds) -> bool:
        """Tell whether a look at the host is due and short against a run."""
        service_time = self.backend.service_time
        if (
            service_time.reported_slowdown.is_fresh(now)
            or not service_time.reported_slowdown.is_shared
        ):
            return False
        max_check_s = (
            service_time.usual_s(work.message.route) * _HEALTH_CHECK_SHARE
        )
        return service_time.reported_slowdown.health_check_s < max_check_s and (
            _paused_s(work, now) < MAX_HEALTH_CHECK_WAIT_S
        )

    def _normal_run_s(self, work: Work, now: Seconds) -> float:
        """Return how long a request runs on a host that is not slow."""
        service_time = self.backend.service_time
        return service_time.usual_s(
            work.message.route
        ) * service_time.residual_slowdown(now)


def _late_wait_ends_at(work: Work) -> Seconds:
    """Return when a late request has waited long enough."""
    time_s = work.expires_at - work.arrived_at
    return Seconds(work.arrived_at + time_s * _LATE_WAIT_SHARE)


def _paused_s(work: Work, now: Seconds) -> float:
    """Return for how long a request has been held back."""
    return 0 if work.paused_at is None else now - work.paused_at
