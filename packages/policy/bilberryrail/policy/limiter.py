"""Concurrency limit of a target that follows the latency of its calls."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.settings import AdmissionSettings

#: Share of a new answer in the smoothed latency. With exponential service
#: times it keeps the standard deviation near 10 % of the mean, so that noise
#: alone stays well below ``latency_tolerance``.
_SMOOTHING_WEIGHT: Final = 0.02
#: Time constants with which the minimum follows the smoothed latency down
#: and up. A lasting change of latency becomes the new normal after the
#: second one.
_MINIMUM_FALL_S: Final = 1.0
_MINIMUM_RISE_S: Final = 30.0
_DECREASE_FACTOR: Final = 0.7
#: Shortest time between two decreases, so that one burst of late answers
#: counts once.
_MIN_DECREASE_INTERVAL_S: Final = 0.005
#: Calls beyond those running whose time must pass without any answer before
#: that counts as a stall. With exponential service times the probability of
#: a false alarm is below 1e-6 for each answer, however few calls run.
_STALL_MARGIN_CALLS: Final = 8


def hard_limit(limits: BackendLimits) -> int:
    """Return the number of calls that must never be exceeded."""
    return min(limits.slots, limits.connections)


class LatencyLimiter:
    """Adaptive limit: additive increase, multiplicative decrease.

    Attributes
    ----------
    smoothed_s
        Smoothed latency in seconds; 0 before the first answer.
    minimum_s
        Slowly renewed minimum of the smoothed latency in seconds.
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
        """Learn from an answer.

        Parameters
        ----------
        waited_s
            Time that running calls have spent since the last answer of any
            call, summed over the calls, in seconds. Its mean is the mean
            latency (Little's law), and it rises with the first answers
            after a slowdown, whereas the latency of those is still short.
        in_flight
            Calls that were running, this one included.
        limits
            Configured limits of the backend server.
        now
            Instant of the answer.
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
        """Learn from running calls that have no answer yet.

        A backend server that stalls sends no answers to learn from.

        Parameters
        ----------
        waiting_s
            As ``waited_s`` of ``answered``, up to now.
        """
        if 0 < self.stall_threshold_s(in_flight) < waiting_s:
            self._decrease(limits, now)

    def call_rejected(self, limits: BackendLimits, now: Seconds) -> None:
        """Learn that the backend server refused a call as overloaded."""
        self._decrease(limits, now)

    def stall_threshold_s(self, in_flight: int) -> float:
        """Return the ``waiting_s`` that counts as a stall, in seconds."""
        return (in_flight + _STALL_MARGIN_CALLS) * self._max_normal_s

    @property
    def _max_normal_s(self) -> float:
        return self.settings.latency_tolerance * self.minimum_s

    def _update_averages(self, waiting_s: float, now: Seconds) -> None:
        self._answers += 1
        share = max(_SMOOTHING_WEIGHT, 1 / self._answers)
        self.smoothed_s += share * (waiting_s - self.smoothed_s)
        if share > _SMOOTHING_WEIGHT:
            # The mean of the first answers; a single one may be far off.
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
