"""How long a backend server takes, usually and now."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport

#: Weight of the newest answer in the usual duration.
_USUAL_WEIGHT: Final = 0.03

#: Answers whose plain mean is the usual duration at first.
_FIRST_ANSWERS: Final = 20

#: Weight of the newest answer in the present pace.
_PACE_WEIGHT: Final = 0.2

#: Time in which the present pace returns to the usual one without answers.
_PACE_MEMORY_S: Final = 2.0

#: Largest ratio of one answer to the usual duration that counts.
_MOST_RATIO: Final = 20.0

#: Least slowdown that is believed; a backend server is rarely faster.
_LEAST_SLOWDOWN: Final = 0.2

#: Age up to which a load report describes the present.
REPORT_AGE_S: Final = 0.3

#: Shortest duration of an answer that is learned, in seconds.
_LEAST_DURATION_S: Final = 0.001


class Pace:
    """Usual duration of requests, and how it differs now.

    Attributes
    ----------
    usual_s
        Usual time to an answer, without the slowdown that was stated.
    """

    def __init__(self) -> None:
        self.usual_s: float = 0
        self._answers = 0
        self._pace = 1.0
        self._pace_at = Seconds(0)
        self._stated = 1.0
        self._stated_at = Seconds(-math.inf)

    def reported(self, report: LoadReport, now: Seconds) -> None:
        """Take the slowdown that the backend server states."""
        self._stated = report.slowdown
        self._stated_at = now

    def is_report_fresh(self, now: Seconds) -> bool:
        """Tell whether the newest report describes the present."""
        return now - self._stated_at <= REPORT_AGE_S

    def restart(self) -> None:
        """Forget the pace of an earlier backend server."""
        self._pace = 1.0

    def learn(self, duration_s: float, now: Seconds) -> None:
        """Learn from the time that a good answer took."""
        duration = duration_s / max(1.0, self._stated)
        duration = max(duration, _LEAST_DURATION_S)
        self._answers += 1
        weight = max(_USUAL_WEIGHT, 1 / min(self._answers, _FIRST_ANSWERS))
        self.usual_s += weight * (duration - self.usual_s)
        ratio = min(duration / self.usual_s, _MOST_RATIO)
        pace = self._present(now)
        self._pace = pace + _PACE_WEIGHT * (ratio - pace)
        self._pace_at = now

    def slowdown(self, now: Seconds) -> float:
        """Return the duration of work now, relative to the usual one."""
        age = max(0, now - self._stated_at)
        stated = 1 + (self._stated - 1) * math.exp(-age / REPORT_AGE_S)
        return max(_LEAST_SLOWDOWN, stated * self._present(now))

    def _present(self, now: Seconds) -> float:
        age = max(0, now - self._pace_at)
        return 1 + (self._pace - 1) * math.exp(-age / _PACE_MEMORY_S)


#: Weight of the newest outcome in the share of errors.
_ERROR_WEIGHT: Final = 0.1

#: Time in which the share of errors falls without requests, so that a
#: backend server that was avoided is tried again.
_ERROR_MEMORY_S: Final = 2.0


class ErrorShare:
    """Share of recent requests that failed, from 0 to 1."""

    def __init__(self) -> None:
        self._share: float = 0
        self._at = Seconds(0)

    def at(self, now: Seconds) -> float:
        """Return the share now."""
        age = max(0, now - self._at)
        self._share *= math.exp(-age / _ERROR_MEMORY_S)
        self._at = now
        return self._share

    def answered(self, now: Seconds) -> None:
        """Count a good answer."""
        self._share = self.at(now) * (1 - _ERROR_WEIGHT)

    def failed(self, now: Seconds) -> None:
        """Count a failure."""
        share = self.at(now)
        self._share = share + _ERROR_WEIGHT * (1 - share)
