"""How long a backend server takes for requests, usually and at present."""

import math
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.records import RouteId
from bilberryrail.forwarding.reported_slowdown import ReportedSlowdown

#: Weight of the newest answer in the usual duration, which is an exponentially
#: weighted moving average.
_USUAL_WEIGHT: Final = 0.03

#: Number of first answers whose arithmetic mean is the usual duration.
_WARM_UP_ANSWERS: Final = 20

#: Weight of the newest answer in the residual slowdown.
_RESIDUAL_WEIGHT: Final = 0.2

#: Time constant with which the residual slowdown returns to 1 without answers,
#: in seconds.
_RESIDUAL_MEMORY_S: Final = 2.0

#: Largest ratio of one answer's duration to the usual one that is taken into
#: account; higher ones count as this.
_MAX_RATIO: Final = 20.0

#: Lower bound of the estimated slowdown; a backend server is rarely faster.
_MIN_SLOWDOWN: Final = 0.2

#: Age up to which a load report describes the requests that did not come
#: through this node, in seconds.
REPORT_AGE_S: Final = 0.3

#: Weight of the newest answer in the start share.
_START_WEIGHT: Final = 0.1

#: Smallest difference between the slowdown at the start and the average
#: slowdown for which the answer is used to learn the start share.
_MIN_CONTRAST: Final = 1.0

#: Largest usual duration of a short request, as a share of the longest usual
#: duration of any route.
_SHORT_SHARE: Final = 2 / 3

#: Shortest duration of an answer that is learned, in seconds; shorter ones
#: count as this.
_MIN_DURATION_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class Start:
    """What was known about the host when a request started.

    Attributes
    ----------
    factor
        Slowdown that was expected for the request.
    reported
        Slowdown that the backend server reported.
    is_known
        Whether the reported slowdown was current when the request started.
    """

    factor: float = 1.0
    reported: float = 1.0
    is_known: bool = True


@dataclass(slots=True)
class UsualDuration:
    """Usual duration of one kind of request, in seconds.

    Attributes
    ----------
    usual_s
        Exponentially weighted average of the durations.
    answers
        Number of answers that have been learned.
    start_share
        Share of the duration that depends on the slowdown at the start, from 0
        to 1. The rest depends on the average slowdown.
    """

    usual_s: float = 0
    answers: int = 0
    start_share: float = 1.0

    def learn(self, duration: float) -> None:
        """Include the duration of an answer in the average."""
        self.answers += 1
        weight = max(_USUAL_WEIGHT, 1 / min(self.answers, _WARM_UP_ANSWERS))
        self.usual_s += weight * (duration - self.usual_s)

    def learn_start(self, slowdown: float, start: Start, mean: float) -> None:
        """Learn the start share from a start far from the average slowdown."""
        contrast = start.reported - mean
        if not start.is_known or abs(contrast) < _MIN_CONTRAST:
            return
        share = min(1.0, max(0, (slowdown - mean) / contrast))
        self.start_share += _START_WEIGHT * (share - self.start_share)


class ServiceTimeEstimator:
    """Usual duration of requests, and the present deviation from it.

    Durations are learned without the slowdown that the backend server reports.
    What remains of the deviation is the residual slowdown.

    Attributes
    ----------
    overall
        Usual duration of all requests.
    by_route
        Usual duration of the requests of each route.
    reported_slowdown
        Slowdown that the backend server reports.
    """

    def __init__(self) -> None:
        self.overall = UsualDuration()
        self.by_route: dict[RouteId, UsualDuration] = {}
        self.reported_slowdown = ReportedSlowdown()
        self._residual = 1.0
        self._residual_at = Seconds(0)

    def load_reported(self, report: LoadReport, now: Seconds) -> None:
        """Apply the slowdown in a load report of the backend server."""
        self.reported_slowdown.report_received(report.slowdown, now)

    def is_report_fresh(self, now: Seconds) -> bool:
        """Return whether the newest load report describes the present."""
        return self.reported_slowdown.age_s(now) <= REPORT_AGE_S

    def restart(self) -> None:
        """Forget the residual slowdown of an earlier backend server."""
        self._residual = 1.0

    def run_started(self, route: RouteId, now: Seconds) -> Start:
        """Return what is known about the host when a request starts."""
        slowdown = self.reported_slowdown
        return Start(
            self._reported_factor(route, now),
            slowdown.current(now),
            slowdown.is_fresh(now) or not slowdown.is_shared,
        )

    def learn(
        self,
        route: RouteId,
        duration: float,
        now: Seconds,
        start: Start | None = None,
    ) -> None:
        """Learn from the duration of a successful answer, in seconds."""
        start = start or Start()
        usual = self.by_route.setdefault(route, UsualDuration())
        is_early = usual.answers < _WARM_UP_ANSWERS
        if not (start.is_known or is_early):
            # The host may have been slow, so the duration shows nothing.
            return
        duration = max(duration, _MIN_DURATION_S)
        if not is_early:
            slowdown = duration / usual.usual_s
            usual.learn_start(slowdown, start, self.reported_slowdown.average)
        normal_s = duration / start.factor
        self.overall.learn(normal_s)
        usual.learn(normal_s)
        ratio = min(normal_s / usual.usual_s, _MAX_RATIO)
        residual = self.residual_slowdown(now)
        self._residual = residual + _RESIDUAL_WEIGHT * (ratio - residual)
        self._residual_at = now

    def usual_s(self, route: RouteId | None = None) -> float:
        """Return the usual duration of a route, or of all requests."""
        usual = self.by_route.get(route) if route else None
        return (usual or self.overall).usual_s

    def is_short(self, route: RouteId) -> bool:
        """Return whether a route's requests are short compared to others."""
        longest_s = max(
            (usual.usual_s for usual in self.by_route.values()),
            default=0,
        )
        return self.usual_s(route) <= longest_s * _SHORT_SHARE

    def slowdown(self, now: Seconds, route: RouteId | None = None) -> float:
        """Return the expected slowdown of a request that starts now."""
        return max(
            _MIN_SLOWDOWN,
            self._reported_factor(route, now) * self.residual_slowdown(now),
        )

    def residual_slowdown(self, now: Seconds) -> float:
        """Return the slowdown that the reported slowdown does not explain."""
        age = max(0, now - self._residual_at)
        return 1 + (self._residual - 1) * math.exp(-age / _RESIDUAL_MEMORY_S)

    def _reported_factor(self, route: RouteId | None, now: Seconds) -> float:
        """Return the effect of the reported slowdown on a route's duration."""
        usual = self.by_route.get(route) if route else None
        share = usual.start_share if usual else 1.0
        mean = self.reported_slowdown.average
        return mean + (self.reported_slowdown.current(now) - mean) * share


#: Weight of the newest outcome in the share of errors.
_ERROR_WEIGHT: Final = 0.1

#: Time constant with which the share of errors falls without requests, in
#: seconds, so that a backend server that was avoided is tried again.
_ERROR_MEMORY_S: Final = 2.0


class ErrorShare:
    """Share of recent requests that failed, from 0 to 1."""

    def __init__(self) -> None:
        self._share: float = 0
        self._updated_at = Seconds(0)

    def at(self, now: Seconds) -> float:
        """Return the share at a time."""
        age = max(0, now - self._updated_at)
        self._share *= math.exp(-age / _ERROR_MEMORY_S)
        self._updated_at = now
        return self._share

    def answered(self, now: Seconds) -> None:
        """Count a successful answer."""
        self._share = self.at(now) * (1 - _ERROR_WEIGHT)

    def failed(self, now: Seconds) -> None:
        """Count a failure."""
        share = self.at(now)
        self._share = share + _ERROR_WEIGHT * (1 - share)
