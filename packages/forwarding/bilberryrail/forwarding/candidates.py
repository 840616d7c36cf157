"""Targets as a node knows them, and how long they are expected to take."""

import math
from dataclasses import dataclass, field
from typing import Final, TypeVar

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.records import BackendLoad, Peer, RouteId

#: Time to an answer that is assumed while no target of a service has reported
#: one.
_UNKNOWN_SERVICE_S: Final = 0.05

#: Weight of the newest report in the usual time of a service or a route.
_SERVICE_WEIGHT: Final = 0.1

#: Weight of the newest report in the usual slowdown of a target.
_USUAL_WEIGHT: Final = 0.05

#: Slowdown assumed for a target whose reports are too old.
_INITIAL_SLOWDOWN: Final = 1.3

#: Multiple of its time to an answer that a failed request costs the caller.
_ERROR_COST_FACTOR: Final = 8.0

#: Slowdown by the other requests of a backend server below its limit, at the
#: limit.
_FULL_LOAD_SLOWDOWN: Final = 0.3

#: Time for which a report that a target takes nothing keeps requests away. It
#: refuses at once if that is still so.
CLOSED_MEMORY_S: Final = 0.5

#: Weight of a report from which it describes the present.
_MIN_FRESH_WEIGHT: Final = 0.8

_Key = TypeVar('_Key')


@dataclass(slots=True)
class Candidate:
    """A target as this node knows it.

    Attributes
    ----------
    sent
        Requests sent since the newest report.
    in_flight
        Requests without an outcome.
    avoid_until
        Until when it is avoided after a failure.
    """

    peer: Peer
    load: BackendLoad = field(default_factory=BackendLoad)
    load_at: Seconds = Seconds(-math.inf)
    usual_slowdown: float = _INITIAL_SLOWDOWN
    sent: int = 0
    in_flight: int = 0
    avoid_until: Seconds = Seconds(-math.inf)

    @property
    def limit(self) -> int:
        """Requests that may run at the same time."""
        return max(1, self.load.limit)

    def is_closed(self, now: Seconds) -> bool:
        """Tell whether it has just reported that it takes nothing."""
        is_fresh = now - self.load_at < CLOSED_MEMORY_S
        return is_fresh and not self.load.limit

    def load_reported(self, load: BackendLoad, now: Seconds) -> None:
        """Take a load report."""
        if load.limit:
            change = load.slowdown - self.usual_slowdown
            self.usual_slowdown += _USUAL_WEIGHT * change
        self.load = load
        self.load_at = now
        self.sent = 0


class Estimates:
    """Expected times to an answer.

    Attributes
    ----------
    memory_s
        Time in which a report about the present speed loses its meaning.
    service_s, route_s
        Usual time to an answer of each service and of each route.
    """

    def __init__(self, memory_s: float) -> None:
        self.memory_s = memory_s
        self.service_s: dict[ServiceId, float] = {}
        self.route_s: dict[RouteId, float] = {}

    def service_time_reported(self, service: ServiceId, usual_s: float) -> None:
        """Take a target's usual time for the requests of a service."""
        _average(self.service_s, service, usual_s)

    def route_time_reported(self, route: RouteId, usual_s: float) -> None:
        """Take a target's usual time for the requests of a route."""
        _average(self.route_s, route, usual_s)

    def usual_s(self, service: ServiceId, route: RouteId) -> float:
        """Return the usual time to an answer to a route's request."""
        return self.route_s.get(route) or self._service_s(service)

    def expected_s(
        self,
        candidate: Candidate,
        route: RouteId,
        now: Seconds,
    ) -> float:
        """Estimate the time to an answer for one more request."""
        load = candidate.load
        slowdown = self._slowdown(candidate, now)
        usual_s = load.service_s or self._service_s(candidate.peer.service)
        running_s = _running_s(self.route_s.get(route, usual_s), slowdown, load)
        share = min(1, self._occupancy(candidate, now) / candidate.limit)
        expected_s = usual_s * slowdown * self._queue_rounds(candidate, now)
        expected_s += running_s * (1 + _FULL_LOAD_SLOWDOWN * share)
        return expected_s * (1 + load.error_share * _ERROR_COST_FACTOR)

    def is_fresh(self, candidate: Candidate, now: Seconds) -> bool:
        """Tell whether the newest report describes the present."""
        return self._report_weight(candidate, now) >= _MIN_FRESH_WEIGHT

    def at_current_speed_s(
        self,
        candidate: Candidate,
        route: RouteId,
        now: Seconds,
    ) -> float:
        """Estimate the time to an answer at the target's present speed."""
        usual_s = self.usual_s(candidate.peer.service, route)
        slowdown = self._slowdown(candidate, now)
        waiting_s = usual_s * slowdown * self._queue_rounds(candidate, now)
        return waiting_s + _running_s(usual_s, slowdown, candidate.load)

    def _service_s(self, service: ServiceId) -> float:
        """Return the usual time of a service.

        It stands in for targets that have reported none; a guess that is too
        short would send all requests to targets that nobody has heard of.
        """
        return self.service_s.get(service, _UNKNOWN_SERVICE_S)

    def _slowdown(self, candidate: Candidate, now: Seconds) -> float:
        """Return the slowdown that a target reported, as far as it is new."""
        usual = candidate.usual_slowdown
        change = candidate.load.slowdown - usual
        return usual + change * self._report_weight(candidate, now)

    def _occupancy(self, candidate: Candidate, now: Seconds) -> float:
        """Return the requests that run or wait at a target."""
        reported = candidate.load.running + candidate.load.waiting
        reported *= self._report_weight(candidate, now)
        return max(reported + candidate.sent, candidate.in_flight)

    def _queue_rounds(self, candidate: Candidate, now: Seconds) -> float:
        """Return how often a target's slots are used before one is free."""
        waiting = self._occupancy(candidate, now) + 1 - candidate.limit
        return max(0, waiting) / candidate.limit

    def _report_weight(self, candidate: Candidate, now: Seconds) -> float:
        """Weigh a report by its age, from 0 to 1."""
        age = now - candidate.load_at
        if math.isinf(age):
            return 0
        return math.exp(-age / (candidate.load.memory_s or self.memory_s))


def _running_s(usual_s: float, slowdown: float, load: BackendLoad) -> float:
    """Return how long work takes that a target may hold back for a moment."""
    at_once_s = usual_s * slowdown
    if not load.pause_s:
        return at_once_s
    return min(at_once_s, load.pause_s + usual_s * load.calm_slowdown)


def _average(known: dict[_Key, float], key: _Key, usual_s: float) -> None:
    """Let a report count in a usual time; zero reports nothing."""
    if usual_s:
        known_s = known.get(key, usual_s)
        known[key] = known_s + _SERVICE_WEIGHT * (usual_s - known_s)
