"""How slow a backend server says its host is, and for how long that holds.

Other work on a host comes and goes in episodes. A report of the backend
server shows only the moment at which it was written, so its use depends on
how long such episodes usually last, which differs between deployments and is
learned here.
"""

import math
from typing import Final

from bilberryrail.core.ids import Seconds

#: Stated slowdown from which a host counts as slow. Below, a run takes little
#: longer than usual.
SLOW_FROM: Final = 1.5

#: Time in a state that is assumed before one has been observed, in seconds.
INITIAL_DURATION_S: Final = 0.3

#: Observed time after which what was learned counts half.
_MEMORY_S: Final = 20.0

#: Longest time between two reports that shows whether the state has changed.
_MAX_GAP_S: Final = 0.25

#: Time over which slowdown slowdowns are averaged.
_AVERAGE_S: Final = 10.0

#: Part of the time in which reports lose their meaning up to which one
#: describes the current.
_FRESH_SHARE: Final = 0.2

#: Least average slowdown from which a host is taken to be shared.
_MIN_SHARED_AVERAGE: Final = 1.1

#: Multiple of the usual episode up to which its end is expected.
_MAX_EPISODES: Final = 2.0

#: Time of a health check that is assumed at first, in seconds.
_INITIAL_HEALTH_CHECK_S: Final = 0.005

#: Weight of the newest health check in their usual time.
_HEALTH_CHECK_WEIGHT: Final = 0.1


class _StateDuration:
    """How long a state lasts: the time spent in it, by its ends."""

    def __init__(self) -> None:
        self.time_s: float = INITIAL_DURATION_S
        self.ends: float = 1

    @property
    def usual_s(self) -> float:
        """Usual time until the state ends."""
        return self.time_s / self.ends

    def observed(self, passed_s: float, *, has_ended: bool) -> None:
        """Take the time between two reports that began in the state."""
        kept = math.exp2(-passed_s / _MEMORY_S)
        self.time_s = self.time_s * kept + passed_s
        self.ends = max(self.ends * kept, passed_s / _MEMORY_S) + has_ended


class ReportedSlowdown:
    """The slowdown that a backend server states for work on its host.

    Attributes
    ----------
    average
        Usual slowdown, over the time.
    since
        When the current episode or calm was first observed.
    health_check_s
        Usual time of a health check, which shows the current.
    """

    def __init__(self) -> None:
        self.average = 1.0
        self.since = Seconds(-math.inf)
        self.health_check_s = _INITIAL_HEALTH_CHECK_S
        self._reported = 1.0
        self._at = Seconds(-math.inf)
        self._calm = _StateDuration()
        self._episodes = _StateDuration()

    def report_received(self, slowdown: float, now: Seconds) -> None:
        """Take a report."""
        gap_s = now - self._at
        was_slow = self._reported >= SLOW_FROM
        has_changed = was_slow != (slowdown >= SLOW_FROM)
        if gap_s <= _MAX_GAP_S:
            duration = self._episodes if was_slow else self._calm
            duration.observed(gap_s, has_ended=has_changed)
        if has_changed or gap_s > _MAX_GAP_S:
            self.since = now
        weight = min(1.0, min(gap_s, _MAX_GAP_S) / _AVERAGE_S)
        self.average += weight * (max(1.0, slowdown) - self.average)
        self._reported = slowdown
        self._at = now

    def health_check_answered(self, took_s: float) -> None:
        """Take the time of a health check."""
        self.health_check_s += _HEALTH_CHECK_WEIGHT * (
            took_s - self.health_check_s
        )

    @property
    def episode_s(self) -> float:
        """Usual time for which the host duration slow."""
        return self._episodes.usual_s

    @property
    def memory_s(self) -> float:
        """Time in which a report loses its meaning."""
        rate = 1 / self._calm.usual_s + 1 / self._episodes.usual_s
        return 1 / rate

    @property
    def is_shared(self) -> bool:
        """Whether the host has been slow often enough to look before a run."""
        return self.average >= _MIN_SHARED_AVERAGE

    def age_s(self, now: Seconds) -> float:
        """Return the time since the newest report."""
        return max(0, now - self._at)

    def is_fresh(self, now: Seconds) -> bool:
        """Tell whether the newest report describes the current."""
        return self.age_s(now) <= self.memory_s * _FRESH_SHARE

    def is_slow(self, now: Seconds) -> bool:
        """Tell whether the host has just been reported to be slow."""
        return self.is_fresh(now) and self._reported >= SLOW_FROM

    def remaining_slow_s(self, now: Seconds) -> float:
        """Return for how long the host is likely to stay slow; may be zero.

        An episode that outlasts the usual ones may go on for much longer, so
        its end is not expected.
        """
        if not self.is_slow(now):
            return 0
        is_usual = now - self.since <= self.episode_s * _MAX_EPISODES
        return self.episode_s if is_usual else 0

    def current(self, now: Seconds) -> float:
        """Return the slowdown to expect now."""
        age_s = self.age_s(now)
        if math.isinf(age_s):
            return self.average
        weight = math.exp(-age_s / self.memory_s)
        return self.average + (self._reported - self.average) * weight
