"""Which requests may wait at a target, and for how long."""

from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.records import Refusal
from bilberryrail.forwarding.settings import AdmissionSettings
from bilberryrail.forwarding.target_capacity import TargetCapacity
from bilberryrail.forwarding.work_queue import Work, WorkQueue

#: Share of the time between arrival and deadline for which a late request waits
#: for a free slot. A longer wait rarely ends in an answer, and it keeps the
#: caller from retrying.
_LATE_WAIT_SHARE: Final = 0.25

#: Requests that the queue always has space for, however low the concurrency
#: limit is.
_MIN_QUEUE_LIMIT: Final = 4

#: Longest time for which a request waits for the result of a health check, in
#: seconds. An answer on the same host takes a few milliseconds.
MAX_HEALTH_CHECK_WAIT_S: Final = 0.025

#: Largest health check duration for which a request waits, as a share of the
#: request's usual duration.
_HEALTH_CHECK_SHARE: Final = 0.1

#: Longest pause of one request, as a multiple of the usual duration of a slow
#: episode.
_MAX_PAUSE_EPISODES: Final = 2.0


@dataclass(frozen=True, slots=True)
class QueueDecision:
    """Whether a request may wait in the queue.

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
    """Admits requests so that as many as possible meet their target latency.

    In an overload, a queue ordered by age answers every request slightly too
    late. Here, a request that will miss its target latency goes after those
    that can still meet theirs, and is refused while its caller still has time
    to retry.
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
        """Return the expected time to an answer once a slot is free.

        This includes the pause for a slow host, if pausing is faster than
        running at once.
        """
        started_now_s = self.backend.expected_s(now, work.message.route)
        pause_s = self.backend.service_time.reported_slowdown.remaining_slow_s(
            now
        )
        if not pause_s:
            return started_now_s
        return min(started_now_s, pause_s + self._normal_run_s(work, now))

    def is_better_paused(self, work: Work, now: Seconds) -> bool:
        """Return whether pausing a request is faster than sending it now.

        The speed of the host when a request starts largely decides how long the
        request runs. If the host may have become slow since the last report,
        waiting for a health check costs less time than a slow run. If the host
        is in a slow episode that is likely to be short, waiting for its end
        also costs less time.
        """
        if self._awaits_health_check(work, now):
            return True
        slow_s = self.backend.service_time.reported_slowdown.remaining_slow_s(
            now
        )
        if not slow_s or _paused_s(work, now) >= slow_s * _MAX_PAUSE_EPISODES:
            return False
        started_now_s = self.backend.expected_s(now, work.message.route)
        return started_now_s > slow_s + self._normal_run_s(work, now)

    def wait_s(self, work: Work, now: Seconds) -> float:
        """Return the expected time until a slot is free for a request."""
        ahead = self.queue.count_ahead(work)
        return self.capacity.expected_wait_s(ahead, now)

    def is_too_slow(self, work: Work, now: Seconds) -> bool:
        """Return whether another target would answer sooner than a free slot.

        While a health check of the host is worth waiting for, its result
        decides, so the answer is False until then.
        """
        max_answer_s = work.message.max_answer_s
        if not max_answer_s or self._awaits_health_check(work, now):
            return False
        return self.run_s(work, now) > max_answer_s

    def decide(self, work: Work, now: Seconds) -> QueueDecision:
        """Decide whether a request may wait; mark it as late if it is."""
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
        """Remove and return late requests that have waited long enough.

        Queued requests that have become late are moved behind the others first.
        """
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
        """Return whether an answer at a time misses the target latency.

        Short requests never count as late: they delay others little, and they
        are often nested calls of requests that are already running.
        """
        if answer_at <= work.target_latency_at:
            return False
        return not self.backend.service_time.is_short(work.message.route)

    def _awaits_health_check(self, work: Work, now: Seconds) -> bool:
        """Return whether a request should wait for a health check.

        That is so if the last report is out of date, the host is shared, and
        the check is short compared to the request.
        """
        times = self.backend.service_time
        if (
            times.reported_slowdown.is_fresh(now)
            or not times.reported_slowdown.is_shared
        ):
            return False
        max_check_s = times.usual_s(work.message.route) * _HEALTH_CHECK_SHARE
        return times.reported_slowdown.health_check_s < max_check_s and (
            _paused_s(work, now) < MAX_HEALTH_CHECK_WAIT_S
        )

    def _normal_run_s(self, work: Work, now: Seconds) -> float:
        """Return how long a request runs while its host is not slow."""
        times = self.backend.service_time
        return times.usual_s(work.message.route) * times.residual_slowdown(now)


def _late_wait_ends_at(work: Work) -> Seconds:
    """Return when a late request has waited long enough."""
    time_s = work.expires_at - work.arrived_at
    return Seconds(work.arrived_at + time_s * _LATE_WAIT_SHARE)


def _paused_s(work: Work, now: Seconds) -> float:
    """Return for how long a request has been paused."""
    return 0 if work.paused_at is None else now - work.paused_at
