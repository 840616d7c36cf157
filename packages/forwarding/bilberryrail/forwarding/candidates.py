"""Targets as a node knows them, and their expected times to an answer."""

import math
from dataclasses import dataclass, field
from typing import Final, TypeVar

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.records import BackendLoad, Peer, RouteId

#: Time to an answer that is assumed until a target of the service has reported
#: one, in seconds.
_UNKNOWN_SERVICE_S: Final = 0.05

#: Weight of the newest report in the usual time of a service or a route, which
#: is an exponentially weighted moving average.
_SERVICE_WEIGHT: Final = 0.1

#: Weight of the newest report in the usual slowdown of a target.
_USUAL_WEIGHT: Final = 0.05

#: Usual slowdown that is assumed for a target before its first reports.
_INITIAL_SLOWDOWN: Final = 1.3

#: Cost of a failed request to the caller, as a multiple of the time to an
#: answer.
_ERROR_COST_FACTOR: Final = 8.0

#: Additional slowdown, relative to an idle backend server, when a backend
#: server runs as many requests as its limit allows. It grows in proportion to
#: the load.
_FULL_LOAD_SLOWDOWN: Final = 0.3

#: Time for which a report that a target accepts no requests keeps requests away
#: from it, in seconds. After that it is tried again; if it still accepts none,
#: it refuses at once.
CLOSED_MEMORY_S: Final = 0.5

#: Time for which a report on what a stated limit allows is used, in seconds.
#: After that the target is tried again; if it allows nothing, it refuses at
#: once.
RATE_CREDIT_MEMORY_S: Final = 2.0

#: Smallest weight of a report that is considered to describe the present.
_MIN_FRESH_WEIGHT: Final = 0.8

_Key = TypeVar('_Key')


@dataclass(slots=True)
class Candidate:
    """A target as this node knows it.

    Attributes
    ----------
    usual_slowdown
        Moving average of the slowdowns in its load reports.
    sent
        Requests sent since the newest load report.
    in_flight
        Requests whose outcome is not known yet.
    avoid_until
        Time until which it is avoided after a failure.
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
        """Concurrency limit in the newest load report, at least 1."""
        return max(1, self.load.limit)

    def is_closed(self, now: Seconds) -> bool:
        """Return whether it recently reported that it accepts no requests."""
        is_fresh = now - self.load_at < CLOSED_MEMORY_S
        return is_fresh and not self.load.limit

    def rate_wait_s(self, now: Seconds) -> float:
        """Return how long a request waits because of a stated limit.

        The other nodes are assumed to use up what the limit allows after the
        report, so the wait does not become shorter with the report's age.
        """
        per_s = self.load.rate_limit
        if per_s is None or math.isinf(per_s):
            return 0
        if now - self.load_at > RATE_CREDIT_MEMORY_S:
            return 0
        return max(0, 1 + self.sent - self.load.rate_credit) / per_s

    def load_reported(self, load: BackendLoad, now: Seconds) -> None:
        """Apply a load report."""
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
        Time constant with which a report on the present speed loses weight, for
        targets that report none.
    service_s, route_s
        Usual time to an answer of each service and of each route.
    """

    def __init__(self, memory_s: float) -> None:
        self.memory_s = memory_s
        self.service_s: dict[ServiceId, float] = {}
        self.route_s: dict[RouteId, float] = {}

    def service_time_reported(self, service: ServiceId, usual_s: float) -> None:
        """Include a target's usual time for the requests of a service."""
        _average(self.service_s, service, usual_s)

    def route_time_reported(self, route: RouteId, usual_s: float) -> None:
        """Include a target's usual time for the requests of a route."""
        _average(self.route_s, route, usual_s)

    def usual_s(self, service: ServiceId, route: RouteId) -> float:
        """Return the usual time to an answer to a request of a route."""
        return self.route_s.get(route) or self._service_s(service)

    def expected_s(
        self,
        candidate: Candidate,
        route: RouteId,
        now: Seconds,
    ) -> float:
        """Estimate the time to an answer of one more request."""
        load = candidate.load
        slowdown = self._slowdown(candidate, now)
        usual_s = load.service_s or self._service_s(candidate.peer.service)
        running_s = _running_s(self.route_s.get(route, usual_s), slowdown, load)
        share = min(1, self._occupancy(candidate, now) / candidate.limit)
        expected_s = self._waiting_s(candidate, usual_s * slowdown, now)
        expected_s += running_s * (1 + _FULL_LOAD_SLOWDOWN * share)
        return expected_s * (1 + load.error_share * _ERROR_COST_FACTOR)

    def is_fresh(self, candidate: Candidate, now: Seconds) -> bool:
        """Return whether the newest load report describes the present."""
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
        waiting_s = self._waiting_s(candidate, usual_s * slowdown, now)
        return waiting_s + _running_s(usual_s, slowdown, candidate.load)

    def _service_s(self, service: ServiceId) -> float:
        """Return the usual time of a service.

        It is also used for targets that have reported none. If the assumed time
        were too short, all requests would go to targets without a report.
        """
        return self.service_s.get(service, _UNKNOWN_SERVICE_S)

    def _slowdown(self, candidate: Candidate, now: Seconds) -> float:
        """Return the expected slowdown of a target.

        The older its report is, the closer the result is to the target's usual
        slowdown.
        """
        usual = candidate.usual_slowdown
        change = candidate.load.slowdown - usual
        return usual + change * self._report_weight(candidate, now)

    def _occupancy(self, candidate: Candidate, now: Seconds) -> float:
        """Return the estimated number of running and waiting requests."""
        reported = candidate.load.running + candidate.load.waiting
        reported *= self._report_weight(candidate, now)
        return max(reported + candidate.sent, candidate.in_flight)

    def _waiting_s(
        self, candidate: Candidate, run_s: float, now: Seconds
    ) -> float:
        """Return how long a request waits for a slot and for the stated rate.

        Parameters
        ----------
        run_s
            Expected duration of the requests that use the slots, in seconds.
        """
        slot_wait_s = run_s * self._queue_rounds(candidate, now)
        return max(slot_wait_s, candidate.rate_wait_s(now))

    def _queue_rounds(self, candidate: Candidate, now: Seconds) -> float:
        """Return how often all slots are used before one is free."""
        waiting = self._occupancy(candidate, now) + 1 - candidate.limit
        return max(0, waiting) / candidate.limit

    def _report_weight(self, candidate: Candidate, now: Seconds) -> float:
        """Return the weight of a load report by its age, from 0 to 1."""
        age = now - candidate.load_at
        if math.isinf(age):
            return 0
        return math.exp(-age / (candidate.load.memory_s or self.memory_s))


def _running_s(usual_s: float, slowdown: float, load: BackendLoad) -> float:
    """Return the expected duration of a request, with a possible pause.

    The target pauses a request while its host is slow if that is faster.
    """
    at_once_s = usual_s * slowdown
    if not load.pause_s:
        return at_once_s
    return min(at_once_s, load.pause_s + usual_s * load.calm_slowdown)


def _average(known: dict[_Key, float], key: _Key, usual_s: float) -> None:
    """Include a report in a moving average; zero is ignored."""
    if usual_s:
        known_s = known.get(key, usual_s)
        known[key] = known_s + _SERVICE_WEIGHT * (usual_s - known_s)
