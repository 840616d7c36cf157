"""Gradual increase of a backend server's concurrency after a cold start."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.limiter import hard_limit

#: Successful answers required for each slot that the ramp adds. With this
#: value a loaded backend server is limited only by time, whereas an idle one
#: does not count as warm before it has answered calls.
_ANSWERS_PER_SLOT: Final = 4
#: Latency, as a multiple of the normal one, above which an answer is slow and
#: may indicate a cold start.
_SLOW_RATIO: Final = 4.0
#: Consecutive slow answers that count as a cold start. With exponential service
#: times one answer in 55 is that slow, and five in a row have a probability of
#: one in 5e8.
_SLOW_ANSWERS: Final = 5
#: Concurrency, as a multiple of the usual one, up to which slow answers count.
#: At a higher concurrency, slow answers may be caused by the load.
_SAME_CONCURRENCY: Final = 1.5
#: Number of answers after which the normal latency is known.
_FIRST_ANSWERS: Final = 50
#: Time constant in seconds of the moving averages of latency and concurrency.
_NORMAL_S: Final = 10.0


class ColdStart:
    """Concurrency limit that rises after a cold start.

    Attributes
    ----------
    answers
        Successful answers since the cold start.
    """

    def __init__(self, now: Seconds) -> None:
        self.started_at = now
        self.answers = 0

    def restart(self, now: Seconds) -> None:
        """Restart the ramp from the cold slots."""
        self.started_at = now
        self.answers = 0

    def answered(self) -> None:
        """Count a successful answer of normal latency."""
        self.answers += 1

    def limit(self, limits: BackendLimits, now: Seconds) -> int:
        """Return the number of calls that may run at the same time now."""
        ceiling = hard_limit(limits)
        cold = max(1, min(limits.cold_slots, ceiling))
        opened = max(0, ceiling - cold)
        by_time = 1.0
        if limits.warm_up_s > 0:
            by_time = (now - self.started_at) / limits.warm_up_s
        by_answers = self.answers // _ANSWERS_PER_SLOT
        return min(ceiling, cold + min(by_answers, int(opened * by_time)))

    def is_cold(self, limits: BackendLimits, now: Seconds) -> bool:
        """Return whether the ramp has not yet reached all slots."""
        return self.limit(limits, now) < hard_limit(limits)


class ColdStartDetector:
    """Detects a cold start that the backend server did not report.

    Attributes
    ----------
    normal_s
        Moving average of the latency in seconds; 0 before the first answer.
    concurrency
        Moving average of the calls in flight.
    """

    def __init__(self) -> None:
        self.normal_s: float = 0
        self.concurrency: float = 0
        self._answers = 0
        self._slow_in_row = 0
        self._answered_at = Seconds(0)

    def is_slow(self, latency_s: float) -> bool:
        """Return whether a latency is several times the normal one."""
        is_known = self._answers >= _FIRST_ANSWERS
        return is_known and latency_s > self.normal_s * _SLOW_RATIO

    def answered(
        self,
        latency_s: float,
        in_flight: int,
        now: Seconds,
    ) -> bool:
        """Update the averages; return whether a cold start is likely.

        ``in_flight`` is the number of calls running when the answered call
        was dispatched.
        """
        usual = max(1, self.concurrency * _SAME_CONCURRENCY)
        is_sign = self.is_slow(latency_s) and in_flight <= usual
        self._slow_in_row = self._slow_in_row + 1 if is_sign else 0
        self._update(latency_s, in_flight, now)
        if self._slow_in_row < _SLOW_ANSWERS:
            return False
        self._slow_in_row = 0
        return True

    def _update(self, latency_s: float, in_flight: int, now: Seconds) -> None:
        self._answers += 1
        elapsed = max(0, now - self._answered_at)
        share = -math.expm1(-elapsed / _NORMAL_S)
        if self._answers <= _FIRST_ANSWERS:
            # The first answers are averaged with equal weights, because a
            # single answer may be far from the mean.
            share = 1 / self._answers
        self.normal_s += share * (latency_s - self.normal_s)
        self.concurrency += share * (in_flight - self.concurrency)
        self._answered_at = now
