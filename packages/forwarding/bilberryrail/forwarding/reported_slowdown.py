"""How slow a backend server says its host is, and for how long that holds.

Other work on a host comes and goes, so the host is slow in episodes. A report
of the backend server only describes the moment at which it was written. How
long it remains useful depends on the usual duration of such episodes, which
differs between deployments and is learned here.
"""

import math
from typing import Final

from bilberryrail.core.ids import Seconds

#: Reported slowdown from which a host counts as slow. Below it, a request takes
#: little longer than usual.
SLOW_THRESHOLD: Final = 1.5

#: Duration of the slow and of the normal state that is assumed before one has
#: been observed, in seconds.
INITIAL_DURATION_S: Final = 0.3

#: Half-life of observed durations, in seconds of observation.
_MEMORY_S: Final = 20.0

#: Longest time between two reports that is counted as time in one state, in
#: seconds.
_MAX_GAP_S: Final = 0.25

#: Time over which reported slowdowns are averaged, in seconds.
_AVERAGE_S: Final = 10.0

#: Largest age of a fresh report, as a share of the time in which reports lose
#: their meaning.
_FRESH_SHARE: Final = 0.2

#: Average slowdown from which a host is considered to be shared with other
#: work.
_MIN_SHARED_AVERAGE: Final = 1.1

#: Multiple of the usual duration of a slow episode up to which its end is
#: expected.
_MAX_EPISODES: Final = 2.0

#: Duration of a health check that is assumed at first, in seconds.
_INITIAL_HEALTH_CHECK_S: Final = 0.005

#: Weight of the newest health check in their usual duration.
_HEALTH_CHECK_WEIGHT: Final = 0.1


class _StateDuration:
    """How long a state of the host lasts, from the time spent in it.

    Attributes
    ----------
    time_s
        Time spent in the state, with older observations weighted less.
    ends
        Number of times that the state ended, weighted alike.
    """

    def __init__(self) -> None:
        self.time_s: float = INITIAL_DURATION_S
        self.ends: float = 1

    @property
    def usual_s(self) -> float:
        """Usual time until the state ends, in seconds."""
        return self.time_s / self.ends

    def observed(self, passed_s: float, *, has_ended: bool) -> None:
        """Count the time between two reports; the first had this state."""
        kept = math.exp2(-passed_s / _MEMORY_S)
        self.time_s = self.time_s * kept + passed_s
        self.ends = max(self.ends * kept, passed_s / _MEMORY_S) + has_ended


class ReportedSlowdown:
    """The slowdown that a backend server reports for work on its host.

    Attributes
    ----------
    average
        Moving average of the reported slowdowns.
    since
        When the present slow or normal state was first reported.
    health_check_s
        Usual duration of a health check, in seconds. A health check returns a
        current report.
    """

    def __init__(self) -> None:
        self.average = 1.0
        self.since = Seconds(-math.inf)
        self.health_check_s = _INITIAL_HEALTH_CHECK_S
        self._reported = 1.0
        self._reported_at = Seconds(-math.inf)
        self._normal = _StateDuration()
        self._slow = _StateDuration()

    def report_received(self, slowdown: float, now: Seconds) -> None:
        """Apply a reported slowdown."""
        gap_s = now - self._reported_at
        was_slow = self._reported >= SLOW_THRESHOLD
        has_changed = was_slow != (slowdown >= SLOW_THRESHOLD)
        if gap_s <= _MAX_GAP_S:
            duration = self._slow if was_slow else self._normal
            duration.observed(gap_s, has_ended=has_changed)
        if has_changed or gap_s > _MAX_GAP_S:
            self.since = now
        weight = min(1.0, min(gap_s, _MAX_GAP_S) / _AVERAGE_S)
        self.average += weight * (max(1.0, slowdown) - self.average)
        self._reported = slowdown
        self._reported_at = now

    def health_check_answered(self, took_s: float) -> None:
        """Include the duration of a health check in the usual one."""
        self.health_check_s += _HEALTH_CHECK_WEIGHT * (
            took_s - self.health_check_s
        )

    @property
    def episode_s(self) -> float:
        """Usual duration of a slow episode, in seconds."""
        return self._slow.usual_s

    @property
    def memory_s(self) -> float:
        """Time in which a report loses its meaning, in seconds."""
        rate = 1 / self._normal.usual_s + 1 / self._slow.usual_s
        return 1 / rate

    @property
    def is_shared(self) -> bool:
        """Whether the host is slow often enough for checks before requests."""
        return self.average >= _MIN_SHARED_AVERAGE

    def age_s(self, now: Seconds) -> float:
        """Return the age of the newest report, in seconds."""
        return max(0, now - self._reported_at)

    def is_fresh(self, now: Seconds) -> bool:
        """Return whether the newest report describes the present."""
        return self.age_s(now) <= self.memory_s * _FRESH_SHARE

    def is_slow(self, now: Seconds) -> bool:
        """Return whether the newest report is fresh and shows a slow host."""
        return self.is_fresh(now) and self._reported >= SLOW_THRESHOLD

    def remaining_slow_s(self, now: Seconds) -> float:
        """Return for how long the host is likely to stay slow; may be zero.

        An episode that has lasted much longer than usual may continue for a
        long time. Its end is not expected, and zero is returned.
        """
        if not self.is_slow(now):
            return 0
        is_usual = now - self.since <= self.episode_s * _MAX_EPISODES
        return self.episode_s if is_usual else 0

    def current(self, now: Seconds) -> float:
        """Return the slowdown to expect now.

        The older the newest report is, the closer the result is to the average.
        """
        age_s = self.age_s(now)
        if math.isinf(age_s):
            return self.average
        weight = math.exp(-age_s / self.memory_s)
        return self.average + (self._reported - self.average) * weight
