"""How long a backend server takes, usually and now."""

import math
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.records import RouteId

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

#: Time over which stated slowdowns are averaged.
_AVERAGE_S: Final = 3.0

#: Time for which a stated slowdown goes on; it changes several times a second.
SLOWDOWN_LASTS_S: Final = 0.15

#: Part of the longest usual duration up to which a request is short.
_SHORT_SHARE: Final = 2 / 3

#: Shortest duration of an answer that is learned, in seconds.
_LEAST_DURATION_S: Final = 0.001


def duration_s(usual_s: float, slowdown: float, average: float) -> float:
    """Return how long work takes that begins during a slowdown.

    Short work ends within the slowdown; the rest of longer work runs at the
    average pace.
    """
    within_s = SLOWDOWN_LASTS_S / slowdown
    if usual_s <= within_s:
        return usual_s * slowdown
    return SLOWDOWN_LASTS_S + (usual_s - within_s) * average


@dataclass(slots=True)
class Usual:
    """Usual duration of one kind of request, in seconds."""

    usual_s: float = 0
    answers: int = 0

    def learn(self, duration: float) -> None:
        """Take the duration of an answer."""
        self.answers += 1
        weight = max(_USUAL_WEIGHT, 1 / min(self.answers, _FIRST_ANSWERS))
        self.usual_s += weight * (duration - self.usual_s)


class Pace:
    """Usual duration of requests, and how it differs now.

    Durations are counted in work: the time without the slowdown that the
    backend server states.

    Attributes
    ----------
    overall
        Usual duration of all requests.
    by_route
        Usual duration of the requests of each route.
    """

    def __init__(self) -> None:
        self.overall = Usual()
        self.by_route: dict[RouteId, Usual] = {}
        self._pace = 1.0
        self._pace_at = Seconds(0)
        self._stated = 1.0
        self._stated_at = Seconds(-math.inf)
        self._average = 1.0
        self._work: float = 0
        self._work_at = Seconds(0)

    def reported(self, report: LoadReport, now: Seconds) -> None:
        """Take the slowdown that the backend server states."""
        self.work(now)
        self._stated = report.slowdown
        self._stated_at = now

    def is_report_fresh(self, now: Seconds) -> bool:
        """Tell whether the newest report describes the present."""
        return now - self._stated_at <= REPORT_AGE_S

    def restart(self) -> None:
        """Forget the pace of an earlier backend server."""
        self._pace = 1.0

    def work(self, now: Seconds) -> float:
        """Return the work that one request could have got done up to now."""
        passed = now - self._work_at
        if passed > 0:
            stated = self._average
            if self.is_report_fresh(now):
                stated = max(1.0, self._stated)
                weight = min(1.0, passed / _AVERAGE_S)
                self._average += weight * (stated - self._average)
            self._work += passed / stated
            self._work_at = now
        return self._work

    def learn(self, route: RouteId, duration: float, now: Seconds) -> None:
        """Learn from the work that a good answer took."""
        duration = max(duration, _LEAST_DURATION_S)
        self.overall.learn(duration)
        usual = self.by_route.setdefault(route, Usual())
        usual.learn(duration)
        ratio = min(duration / usual.usual_s, _MOST_RATIO)
        pace = self._present(now)
        self._pace = pace + _PACE_WEIGHT * (ratio - pace)
        self._pace_at = now

    def usual_s(self, route: RouteId | None = None) -> float:
        """Return the usual duration of a route, or of all requests."""
        usual = self.by_route.get(route) if route else None
        return (usual or self.overall).usual_s

    def is_short(self, route: RouteId) -> bool:
        """Tell whether a route's requests are short among those seen here."""
        longest_s = max(
            (usual.usual_s for usual in self.by_route.values()),
            default=0,
        )
        return self.usual_s(route) <= longest_s * _SHORT_SHARE

    def expected_s(
        self,
        route: RouteId | None,
        slowdown: float,
        now: Seconds,
    ) -> float:
        """Return the time to an answer of a request that is sent now."""
        average = self._average * self._present(now)
        return duration_s(self.usual_s(route), slowdown, average)

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
