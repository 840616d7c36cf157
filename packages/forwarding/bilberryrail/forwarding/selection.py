"""Choice of the target for a request."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    Seconds,
    ServiceId,
)
from bilberryrail.forwarding.records import BackendLoad, BackendPhase, Peer
from bilberryrail.forwarding.settings import ForwardingSettings

#: Time to an answer that is assumed while no target of a service has reported
#: one.
_UNKNOWN_SERVICE_S: Final = 0.05

#: Weight of the newest report in the usual time of a service.
_SERVICE_WEIGHT: Final = 0.1

#: Weight of the newest report in the usual slowdown of a target.
_USUAL_WEIGHT: Final = 0.05

#: Slowdown assumed for a target whose reports are too old.
_FIRST_USUAL: Final = 1.3

#: Width of the random factor that keeps nodes with the same reports from
#: choosing the same target.
_SPREAD: Final = 0.2

#: Multiple of its time to an answer that a failed request costs the caller.
_ERROR_COST: Final = 8.0

#: Slowdown by the other requests of a backend server below its limit, at the
#: limit.
_SHARED_HOST: Final = 0.3

#: Shortest time to an answer that is expected, in seconds.
_LEAST_EXPECTED_S: Final = 0.001

#: Score of a target that has no room at all.
_NO_ROOM_S: Final = 10.0


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
    usual_slowdown: float = _FIRST_USUAL
    sent: int = 0
    in_flight: int = 0
    avoid_until: Seconds = Seconds(-math.inf)

    @property
    def is_closed(self) -> bool:
        """Whether it has reported that it takes nothing now."""
        return self.load_at > -math.inf and not self.load.limit


@dataclass(frozen=True, slots=True)
class Choice:
    """A target and how long its answer is expected to take.

    Attributes
    ----------
    bound_s
        Expected time of the next best target; zero if there is none.
    """

    candidate: Candidate
    expected_s: float
    bound_s: float
    reason: str


class CandidateBook:
    """Targets of all services, kept by node.

    Attributes
    ----------
    zones_out
        Availability zones that operators have taken out.
    service_s
        Usual time to an answer of each service.
    """

    def __init__(self, settings: ForwardingSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.candidates: dict[NodeId, Candidate] = {}
        self.by_service: dict[ServiceId, list[Candidate]] = {}
        self.zones_out: frozenset[AvailabilityZoneId] = frozenset()
        self.service_s: dict[ServiceId, float] = {}

    def update(self, peers: Iterable[Peer]) -> None:
        """Follow the announcements of the nodes."""
        known = {peer.node: peer for peer in peers}
        for node in self.candidates.keys() - known.keys():
            self.candidates.pop(node)
        for node, peer in known.items():
            candidate = self.candidates.get(node)
            if candidate is None:
                self.candidates[node] = Candidate(peer)
            elif candidate.peer is not peer:
                self._replace(candidate, peer)
        self._group()

    def reported(self, node: NodeId, load: BackendLoad, now: Seconds) -> None:
        """Take a load report."""
        candidate = self.candidates.get(node)
        if candidate is None:
            return
        if load.limit:
            change = load.slowdown - candidate.usual_slowdown
            candidate.usual_slowdown += _USUAL_WEIGHT * change
        candidate.load = load
        candidate.load_at = now
        candidate.sent = 0
        if load.service_s:
            service = candidate.peer.service
            usual_s = self.service_s.get(service, load.service_s)
            change_s = load.service_s - usual_s
            self.service_s[service] = usual_s + _SERVICE_WEIGHT * change_s

    def unreachable(self, node: NodeId) -> None:
        """Avoid a target until a link to it is open again."""
        candidate = self.candidates.get(node)
        if candidate is not None:
            candidate.avoid_until = Seconds(math.inf)

    def reachable(self, node: NodeId) -> None:
        """Use a target again: a link to it is open."""
        candidate = self.candidates.get(node)
        if candidate is not None:
            candidate.avoid_until = Seconds(-math.inf)

    def avoid(self, node: NodeId, now: Seconds) -> None:
        """Avoid a target for a while."""
        candidate = self.candidates.get(node)
        if candidate is not None:
            pause_s = self.settings.placement.avoid_s
            candidate.avoid_until = max(
                candidate.avoid_until,
                Seconds(now + pause_s),
            )

    def choose(
        self,
        service: ServiceId,
        home_regions: tuple[RegionId, ...],
        excluded: Collection[NodeId],
        busy: Collection[NodeId],
        now: Seconds,
    ) -> Choice | None:
        """Choose the target with the shortest expected time to an answer.

        Parameters
        ----------
        excluded
            Nodes that cannot take the request.
        busy
            Nodes that were busy; a request that comes back to one of them
            waits there.
        """
        usable = [
            candidate
            for candidate in self._allowed(service, home_regions)
            if candidate.peer.node not in excluded
        ]
        calm = [one for one in usable if one.avoid_until <= now]
        scored = sorted(
            (
                (self._score(one, now), one)
                for one in self._draw(calm or usable)
            ),
            key=lambda pair: pair[0],
        )
        if not scored:
            return None
        best_s, best = scored[0]
        bound_s: float = 0
        if len(scored) > 1 and best.peer.node not in busy:
            bound_s = scored[1][0]
        return Choice(
            best,
            max(_LEAST_EXPECTED_S, best_s),
            bound_s,
            'best' if calm else 'all-avoided',
        )

    def expected_s(self, candidate: Candidate, now: Seconds) -> float:
        """Estimate the time to an answer for one more request."""
        load = candidate.load
        weight = self._freshness(candidate, now)
        usual = candidate.usual_slowdown
        slowdown = usual + (load.slowdown - usual) * weight
        reported = (load.running + load.waiting) * weight
        occupied = max(reported + candidate.sent, candidate.in_flight)
        expected_s = (
            (load.service_s or self._usual_s(candidate))
            * slowdown
            * _crowding(occupied, max(1, load.limit))
        )
        return expected_s * (1 + load.error_share * _ERROR_COST)

    def _usual_s(self, candidate: Candidate) -> float:
        """Return the usual time of a target that has reported none.

        It is that of its service; a guess that is too short would send all
        requests to targets that nobody has heard of.
        """
        service = candidate.peer.service
        return self.service_s.get(service, _UNKNOWN_SERVICE_S)

    def _freshness(self, candidate: Candidate, now: Seconds) -> float:
        """Weigh a report by its age, from 0 to 1."""
        age = now - candidate.load_at
        if math.isinf(age):
            return 0
        return math.exp(-age / self.settings.placement.slowdown_memory_s)

    def _score(self, candidate: Candidate, now: Seconds) -> float:
        score = self.expected_s(candidate, now) + self._distance_s(candidate)
        if candidate.is_closed:
            score += _NO_ROOM_S
        return score * (1 + _SPREAD * (self.random.random() - 1 / 2))

    def _distance_s(self, candidate: Candidate) -> float:
        placement = self.settings.placement
        if candidate.peer.region != self.settings.region:
            return placement.region_penalty_s
        if candidate.peer.zone != self.settings.zone:
            return placement.zone_penalty_s
        return 0

    def _allowed(
        self,
        service: ServiceId,
        home_regions: tuple[RegionId, ...],
    ) -> Iterable[Candidate]:
        for candidate in self.by_service.get(service, ()):
            peer = candidate.peer
            if home_regions and peer.region not in home_regions:
                continue
            if peer.zone not in self.zones_out:
                yield candidate

    def _draw(self, candidates: list[Candidate]) -> list[Candidate]:
        """Draw a few candidates, those of this region first.

        Another region is looked at only beside a sample of this one, so that
        the cost of a choice does not grow with the fleet.
        """
        draws = self.settings.placement.draws
        if len(candidates) <= draws:
            return candidates
        region = self.settings.region
        local = [one for one in candidates if one.peer.region == region]
        remote = [one for one in candidates if one.peer.region != region]
        drawn = self.random.sample(local, min(draws - 1, len(local)))
        drawn += self.random.sample(
            remote,
            min(draws - len(drawn), len(remote)),
        )
        return drawn

    def _replace(self, candidate: Candidate, peer: Peer) -> None:
        if candidate.peer.instance != peer.instance:
            candidate.load = BackendLoad()
            candidate.load_at = Seconds(-math.inf)
            candidate.sent = 0
        if candidate.peer.incarnation != peer.incarnation:
            candidate.avoid_until = Seconds(-math.inf)
        candidate.peer = peer

    def _group(self) -> None:
        self.by_service = {}
        for candidate in self.candidates.values():
            peer = candidate.peer
            if peer.phase is BackendPhase.READY and not peer.leaving:
                group = self.by_service.setdefault(peer.service, [])
                group.append(candidate)


def _crowding(occupied: float, limit: int) -> float:
    """Return how much longer an answer takes beside other requests."""
    waiting = max(0, occupied + 1 - limit)
    return 1 + _SHARED_HOST * min(1, occupied / limit) + waiting / limit
