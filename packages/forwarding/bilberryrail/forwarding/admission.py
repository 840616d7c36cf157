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
_LATE_SHARE: Final = 0.25

#: Most requests kept in the queue for a limit, whatever the limit is.
_LEAST_QUEUE: Final = 4

#: Longest wait for a look at the host; an answer on the same host takes a few
#: milliseconds.
MOST_LOOK_S: Final = 0.025

#: Part of a run that a look at the host may take.
_LOOK_SHARE: Final = 0.1

#: Usual episodes of slowness for which one request is held back.
_MOST_PAUSES: Final = 2.0


@dataclass(frozen=True, slots=True)
class QueueVerdict:
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

    def busy_s(self, work: Work, now: Seconds) -> float:
        """Return how long a free slot will take to answer a request."""
        at_once_s = self.backend.expected_s(now, work.message.route)
        pause_s = self.backend.service_time.reported_slowdown.rest_s(now)
        if not pause_s:
            return at_once_s
        return min(at_once_s, pause_s + self._calm_s(work, now))

    def is_premature(self, work: Work, now: Seconds) -> bool:
        """Tell whether a request had better not be sent right now.

        The host's speed at its start decides how long it runs. If the host
        may have turned slow since the last report, a look costs less than a
        slow run; if it is slow for a moment, waiting does.
        """
        if self._waits_for_look(work, now):
            return True
        rest_s = self.backend.service_time.reported_slowdown.rest_s(now)
        if not rest_s or _paused_s(work, now) >= rest_s * _MOST_PAUSES:
            return False
        at_once_s = self.backend.expected_s(now, work.message.route)
        return at_once_s > rest_s + self._calm_s(work, now)

    def wait_s(self, work: Work, now: Seconds) -> float:
        """Return how long a request will wait for a slot."""
        ahead = self.queue.ahead_of(work)
        return self.capacity.expected_wait_s(ahead, now)

    def is_too_slow(self, work: Work, now: Seconds) -> bool:
        """Tell whether another target would answer sooner than a free slot.

        That is known only after a look at the host, if a look pays.
        """
        bound_s = work.message.bound_s
        if not bound_s or self._waits_for_look(work, now):
            return False
        return self.busy_s(work, now) > bound_s

    def judge(self, work: Work, now: Seconds) -> QueueVerdict:
        """Say whether a request may wait here; mark it if it is late."""
        wait_s = self.wait_s(work, now)
        needed_s = wait_s + self.busy_s(work, now)
        bound_s = work.message.bound_s
        if bound_s and needed_s > bound_s:
            return QueueVerdict(wait_s, Refusal.BUSY)
        per_slot = self.settings.queue_per_slot
        most = max(_LEAST_QUEUE, self.backend.limit() * per_slot)
        if now + needed_s > work.expires_at or len(self.queue) >= most:
            return QueueVerdict(wait_s, Refusal.LATE)
        if self._misses_aim(work, Seconds(now + needed_s)):
            work.is_late = True
            wait_s = self.wait_s(work, now)
            if now + wait_s > _late_until(work):
                return QueueVerdict(wait_s, Refusal.LATE)
        return QueueVerdict(wait_s)

    def turn_away(self, now: Seconds) -> list[Work]:
        """Move late requests back; remove those that have waited enough."""
        removed = []
        for work in tuple(self.queue):
            self._mark_late(work, now)
            if work.is_late and now > _late_until(work):
                self.queue.cancel(work)
                removed.append(work)
        return removed

    def _mark_late(self, work: Work, now: Seconds) -> None:
        if not work.is_late:
            answer_at = Seconds(now + self.busy_s(work, now))
            if self._misses_aim(work, answer_at):
                work.is_late = True
                self.queue.push(work)

    def _misses_aim(self, work: Work, answer_at: Seconds) -> bool:
        """Tell whether an answer comes too late to be worth most.

        Short requests are served all the same: they delay others little, and
        are often calls of requests that run.
        """
        if answer_at <= work.is_worth_most_until:
            return False
        return not self.backend.service_time.is_short(work.message.route)

    def _waits_for_look(self, work: Work, now: Seconds) -> bool:
        """Tell whether a look at the host is due and short against a run."""
        service_time = self.backend.service_time
        if (
            service_time.reported_slowdown.is_fresh(now)
            or not service_time.reported_slowdown.is_shared
        ):
            return False
        most_s = service_time.usual_s(work.message.route) * _LOOK_SHARE
        return service_time.reported_slowdown.health_check_s < most_s and (
            _paused_s(work, now) < MOST_LOOK_S
        )

    def _calm_s(self, work: Work, now: Seconds) -> float:
        """Return how long a request runs on a host that is not slow."""
        service_time = self.backend.service_time
        return service_time.usual_s(work.message.route) * service_time.unstated(
            now
        )


def _late_until(work: Work) -> Seconds:
    """Return when a late request has waited long enough."""
    time_s = work.expires_at - work.arrived_at
    return Seconds(work.arrived_at + time_s * _LATE_SHARE)


def _paused_s(work: Work, now: Seconds) -> float:
    """Return for how long a request has been held back."""
    return 0 if work.paused_at is None else now - work.paused_at
