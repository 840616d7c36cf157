"""How long a backend server takes, usually and now."""

import math
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.records import RouteId
from bilberryrail.forwarding.reported_slowdown import ReportedSlowdown

#: Weight of the newest answer in the usual duration.
_USUAL_WEIGHT: Final = 0.03

#: Answers whose plain mean is the usual duration at first.
_WARM_UP_ANSWERS: Final = 20

#: Weight of the newest answer in the present residual.
_RESIDUAL_WEIGHT: Final = 0.2

#: Time in which the present residual returns to the usual one without answers.
_RESIDUAL_MEMORY_S: Final = 2.0

#: Largest ratio of one answer to the usual duration that counts.
_MAX_RATIO: Final = 20.0

#: Least slowdown that is believed; a backend server is rarely faster.
_MIN_SLOWDOWN: Final = 0.2

#: Age up to which a load report describes the requests beside ours.
REPORT_AGE_S: Final = 0.3

#: Weight of the newest answer in what the slowdown at its start decides.
_START_WEIGHT: Final = 0.1

#: Difference between the slowdown at the start and the average one from which
#: an answer shows what the start decides.
_MIN_CONTRAST: Final = 1.0

#: Part of the longest usual duration up to which a request is short.
_SHORT_SHARE: Final = 2 / 3

#: Shortest duration of an answer that is learned, in seconds.
_MIN_DURATION_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class Start:
    """What was known about the host when a run began.

    Attributes
    ----------
    factor
        Slowdown that was expected for the run.
    reported
        Slowdown that the backend server reported.
    is_known
        Whether the reported slowdown described the moment of the start.
    """

    factor: float = 1.0
    reported: float = 1.0
    is_known: bool = True


@dataclass(slots=True)
class UsualDuration:
    """UsualDuration duration of one kind of request, in seconds.

    Attributes
    ----------
    start_share
        How much of a run the slowdown at its start decides, from 0 to 1. The
        rest of the run goes at the average residual.
    """

    usual_s: float = 0
    answers: int = 0
    start_share: float = 1.0

    def learn(self, duration: float) -> None:
        """Take the duration of an answer."""
        self.answers += 1
        weight = max(_USUAL_WEIGHT, 1 / min(self.answers, _WARM_UP_ANSWERS))
        self.usual_s += weight * (duration - self.usual_s)

    def learn_start(self, slowdown: float, start: Start, mean: float) -> None:
        """Take the slowdown of a run that began far from the average."""
        contrast = start.reported - mean
        if not start.is_known or abs(contrast) < _MIN_CONTRAST:
            return
        share = min(1.0, max(0, (slowdown - mean) / contrast))
        self.start_share += _START_WEIGHT * (share - self.start_share)


class ServiceTimeEstimator:
    """UsualDuration duration of requests, and how it differs now.

    Durations are counted without the slowdown that the backend server states.

    Attributes
    ----------
    overall
        UsualDuration duration of all requests.
    by_route
        UsualDuration duration of the requests of each route.
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
        """Take the slowdown that the backend server states."""
        self.reported_slowdown.report_received(report.slowdown, now)

    def is_report_fresh(self, now: Seconds) -> bool:
        """Tell whether the newest report describes the present."""
        return self.reported_slowdown.age_s(now) <= REPORT_AGE_S

    def restart(self) -> None:
        """Forget the residual of an earlier backend server."""
        self._residual = 1.0

    def run_started(self, route: RouteId, now: Seconds) -> Start:
        """Note what is known about the host when a run begins."""
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
        """Learn from the time that a good answer took."""
        start = start or Start()
        usual = self.by_route.setdefault(route, UsualDuration())
        is_early = usual.answers < _WARM_UP_ANSWERS
        if not (start.is_known or is_early):
            # The host may have been fast or slow.
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
        """Tell whether a route's requests are short among those seen here."""
        longest_s = max(
            (usual.usual_s for usual in self.by_route.values()),
            default=0,
        )
        return self.usual_s(route) <= longest_s * _SHORT_SHARE

    def slowdown(self, now: Seconds, route: RouteId | None = None) -> float:
        """Return the slowdown of a run that begins now."""
        return max(
            _MIN_SLOWDOWN,
            self._reported_factor(route, now) * self.residual_slowdown(now),
        )

    def residual_slowdown(self, now: Seconds) -> float:
        """Return the slowdown beside the one that is reported."""
        age = max(0, now - self._residual_at)
        return 1 + (self._residual - 1) * math.exp(-age / _RESIDUAL_MEMORY_S)

    def _reported_factor(self, route: RouteId | None, now: Seconds) -> float:
        """Return the reported slowdown, as far as it decides a run."""
        usual = self.by_route.get(route) if route else None
        share = usual.start_share if usual else 1.0
        mean = self.reported_slowdown.average
        return mean + (self.reported_slowdown.current(now) - mean) * share


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
