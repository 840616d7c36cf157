"""Concurrency limit of a target that adapts to the latency of its calls."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.settings import AdmissionSettings

#: Weight of a new answer in the smoothed latency. With exponential service
#: times it keeps the standard deviation near 10 % of the mean, so that noise
#: alone stays well below ``latency_tolerance``.
_SMOOTHING_WEIGHT: Final = 0.02
#: Time constants, in seconds, with which the minimum follows the smoothed
#: latency down and up. After a lasting increase, the higher latency counts as
#: normal once the second time constant has passed.
_MINIMUM_FALL_S: Final = 1.0
_MINIMUM_RISE_S: Final = 30.0
_DECREASE_FACTOR: Final = 0.7
#: Minimum time between two decreases, in seconds, so that one burst of late
#: answers lowers the limit only once.
_MIN_DECREASE_INTERVAL_S: Final = 0.005
#: Number of calls added to those in flight when the time without any answer
#: that counts as a stall is computed. With exponential service times the
#: probability of a false alarm is below 1e-6 for each answer, even if only few
#: calls run.
_STALL_MARGIN_CALLS: Final = 8


def hard_limit(limits: BackendLimits) -> int:
    """Return the maximum number of concurrent calls under any condition."""
    return min(limits.slots, limits.connections)


class LatencyLimiter:
    """Concurrency limit with additive increase and multiplicative decrease.

    Attributes
    ----------
    smoothed_s
        Exponentially weighted average of the latency in seconds; 0 before the
        first answer.
    minimum_s
        Minimum of the smoothed latency in seconds. It follows a lasting
        increase slowly.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.smoothed_s: float = 0
        self.minimum_s: float = 0
        self._answers = 0
        self._limit = math.inf
        self._decreased_at = -math.inf
        self._answered_at = Seconds(0)

    def limit(self, limits: BackendLimits) -> int:
        """Return the limit within the configured bounds."""
        ceiling = hard_limit(limits)
        floor = min(self.settings.minimum_limit, ceiling)
        return int(max(floor, min(self._limit, ceiling)))

    def answered(
        self,
        waiting_s: float,
        in_flight: int,
        limits: BackendLimits,
        now: Seconds,
    ) -> None:
        """Update the limit after an answer.

        Parameters
        ----------
        waiting_s
            Time in seconds since the last answer of any call, summed over
            the running calls. Its mean equals the mean latency (Little's
            law). After a slowdown it rises with the first answers, whereas
            the latency of these answers is still short.
        in_flight
            Calls that were running, including this one.
        limits
            Configured limits of the backend server.
        now
            Time of the answer.
        """
        self._update_averages(waiting_s, now)
        if self.smoothed_s > self._max_normal_s:
            self._decrease(limits, now)
        elif in_flight >= self.limit(limits):
            current = min(self._limit, hard_limit(limits))
            self._limit = current + 1 / max(current, 1)

    def check_stall(
        self,
        waiting_s: float,
        in_flight: int,
        limits: BackendLimits,
        now: Seconds,
    ) -> None:
        """Lower the limit if running calls have no answer for too long.

        A stalled backend server sends no answers from which the latency could
        be measured.

        Parameters
        ----------
        waiting_s
            As ``waiting_s`` of ``answered``, up to now.
        """
        if 0 < self.stall_threshold_s(in_flight) < waiting_s:
            self._decrease(limits, now)

    def call_rejected(self, limits: BackendLimits, now: Seconds) -> None:
        """Lower the limit after a rejection by an overloaded backend server."""
        self._decrease(limits, now)

    def stall_threshold_s(self, in_flight: int) -> float:
        """Return the ``waiting_s`` above which calls count as stalled."""
        return (in_flight + _STALL_MARGIN_CALLS) * self._max_normal_s

    @property
    def _max_normal_s(self) -> float:
        return self.settings.latency_tolerance * self.minimum_s

    def _update_averages(self, waiting_s: float, now: Seconds) -> None:
        self._answers += 1
        share = max(_SMOOTHING_WEIGHT, 1 / self._answers)
        self.smoothed_s += share * (waiting_s - self.smoothed_s)
        if share > _SMOOTHING_WEIGHT:
            # The first answers are averaged with equal weights, because a
            # single answer may be far from the mean.
            self.minimum_s = self.smoothed_s
        difference = self.smoothed_s - self.minimum_s
        constant = _MINIMUM_FALL_S if difference < 0 else _MINIMUM_RISE_S
        elapsed = max(0, now - self._answered_at)
        self.minimum_s += difference * -math.expm1(-elapsed / constant)
        self._answered_at = now

    def _decrease(self, limits: BackendLimits, now: Seconds) -> None:
        interval = max(_MIN_DECREASE_INTERVAL_S, self.minimum_s)
        if now - self._decreased_at < interval:
            return
        self._decreased_at = now
        self._limit = max(
            min(self._limit, hard_limit(limits)) * _DECREASE_FACTOR,
            min(self.settings.minimum_limit, hard_limit(limits)),
        )
