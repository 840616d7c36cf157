"""Selection of the target for a request."""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    Seconds,
    ServiceId,
)
from bilberryrail.forwarding.candidates import Candidate, Estimates
from bilberryrail.forwarding.distances import Distances
from bilberryrail.forwarding.records import (
    BackendLoad,
    BackendPhase,
    Peer,
    RouteId,
)
from bilberryrail.forwarding.run_memory import RunMemory
from bilberryrail.forwarding.settings import ForwardingSettings

#: Width of the random factor on scores. Without it, nodes with the same load
#: reports would all select the same target.
_SCORE_JITTER: Final = 0.2

#: Lower bound of the expected time to an answer, in seconds.
_MIN_EXPECTED_S: Final = 0.001

#: Time for which another region is not selected after one of its targets
#: refused a request for lack of capacity, in seconds. The present load of that
#: region is not known in this one.
REGION_OVERLOAD_S: Final = 0.5

#: Added to the score of a target that accepts no requests, in seconds.
_CLOSED_PENALTY_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class Choice:
    """A selected target and how long its answer is expected to take.

    Attributes
    ----------
    expected_s
        Expected time to an answer, with the distance to the target.
    at_current_speed_s
        Time to an answer if the target continues at its present speed.
    next_best_s
        Expected time of the next best target; zero if there is none.
    reason
        Why it was selected, for the decision log.
    """

    candidate: Candidate
    expected_s: float
    at_current_speed_s: float
    next_best_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Demand:
    """Requirements of a request that decide about its target.

    Attributes
    ----------
    home_regions
        Regions that may serve it; empty allows every region.
    target_latency_left_s
        Remaining time until the request misses its target latency, in seconds.
    """

    service: ServiceId
    route: RouteId
    home_regions: tuple[RegionId, ...]
    target_latency_left_s: float


class CandidateTable:
    """Targets of all services, by node.

    Attributes
    ----------
    by_node
        All known targets.
    by_service
        Targets that accept requests, for each service.
    zones_out
        Availability zones that operators have taken out.
    overloaded_until
        Until when a service is considered to lack capacity in a region.
    estimates
        Expected times to an answer.
    distances
        Round-trip times to the targets.
    runs
        What the targets' backend servers have stated.
    """

    def __init__(self, settings: ForwardingSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.by_node: dict[NodeId, Candidate] = {}
        self.runs = RunMemory()
        self.by_service: dict[ServiceId, list[Candidate]] = {}
        self.zones_out: frozenset[AvailabilityZoneId] = frozenset()
        self.distances = Distances(
            settings.distances, settings.zone, settings.region
        )
        self.estimates = Estimates(settings.placement.slowdown_memory_s)
        self.overloaded_until: dict[tuple[ServiceId, RegionId], Seconds] = {}

    def update(self, peers: Iterable[Peer]) -> None:
        """Replace the set of targets by the announced nodes.

        Load reports of nodes that remain are kept.
        """
        known = {peer.node: peer for peer in peers}
        for node in self.by_node.keys() - known.keys():
            self.by_node.pop(node)
        for node, peer in known.items():
            candidate = self.by_node.get(node)
            if candidate is None:
                self.by_node[node] = Candidate(peer)
            elif candidate.peer is not peer:
                self._replace(candidate, peer)
        self._group_by_service()

    def load_reported(
        self, node: NodeId, load: BackendLoad, now: Seconds
    ) -> None:
        """Apply a target's load report."""
        candidate = self.by_node.get(node)
        if candidate is None:
            return
        candidate.load_reported(load, now)
        self.runs.limit_reported(candidate.peer, load.rate_limit)
        self.estimates.service_time_reported(
            candidate.peer.service, load.service_s
        )

    def overload_reported(self, node: NodeId, now: Seconds) -> None:
        """Record that a target refused a request for lack of capacity."""
        candidate = self.by_node.get(node)
        if candidate is not None:
            peer = candidate.peer
            until = Seconds(now + REGION_OVERLOAD_S)
            self.overloaded_until[peer.service, peer.region] = until

    def mark_unreachable(self, node: NodeId) -> None:
        """Avoid a target until a link to it is open again."""
        candidate = self.by_node.get(node)
        if candidate is not None:
            candidate.avoid_until = Seconds(math.inf)

    def mark_reachable(self, node: NodeId) -> None:
        """Stop avoiding a target, because a link to it is open."""
        candidate = self.by_node.get(node)
        if candidate is not None:
            candidate.avoid_until = Seconds(-math.inf)
            candidate.load_at = Seconds(-math.inf)

    def avoid(self, node: NodeId, now: Seconds) -> None:
        """Avoid a target for a while."""
        candidate = self.by_node.get(node)
        if candidate is not None:
            avoid_s = self.settings.placement.avoid_s
            candidate.avoid_until = max(
                candidate.avoid_until,
                Seconds(now + avoid_s),
            )

    def choose(
        self,
        demand: Demand,
        excluded: Collection[NodeId],
        busy: Collection[NodeId],
        now: Seconds,
    ) -> Choice | None:
        """Select the target with the shortest expected time to an answer.

        Targets that are to be avoided are used only if there are no others.

        Parameters
        ----------
        excluded
            Nodes that cannot take the request.
        busy
            Nodes that refused the request because they were busy. If it is sent
            to one of them again, it waits there.
        """
        usable = [
            candidate
            for candidate in self._allowed(demand)
            if candidate.peer.node not in excluded
        ]
        not_avoided = [one for one in usable if one.avoid_until <= now]
        near, far = self._split_by_region(not_avoided or usable)
        if near:
            far = [one for one in far if not self._is_overloaded(one.peer, now)]
        ranked = self._rank(near, demand, now)
        if not ranked or ranked[0][0] > demand.target_latency_left_s:
            ranked = self._choose_region(
                ranked, self._rank(far, demand, now), demand, now
            )
        if not ranked:
            return None
        best_s, best = ranked[0]
        next_best_s: float = 0
        if len(ranked) > 1 and best.peer.node not in busy:
            next_best_s = ranked[1][0]
        return Choice(
            best,
            max(_MIN_EXPECTED_S, best_s),
            self.estimates.at_current_speed_s(best, demand.route, now),
            next_best_s,
            'best' if not_avoided else 'all-avoided',
        )

    def _score(
        self,
        candidate: Candidate,
        route: RouteId,
        now: Seconds,
    ) -> float:
        score = self.estimates.expected_s(candidate, route, now)
        score += self.distances.score_s(candidate.peer)
        if candidate.is_closed(now):
            score += _CLOSED_PENALTY_S
        return score * (1 + _SCORE_JITTER * (self.random.random() - 1 / 2))

    def _allowed(self, demand: Demand) -> Iterable[Candidate]:
        home_regions = demand.home_regions
        for candidate in self.by_service.get(demand.service, ()):
            peer = candidate.peer
            if home_regions and peer.region not in home_regions:
                continue
            if peer.zone not in self.zones_out:
                yield candidate

    def _is_overloaded(self, peer: Peer, now: Seconds) -> bool:
        """Return whether a service recently lacked capacity in a region."""
        until = self.overloaded_until.get((peer.service, peer.region))
        return until is not None and now < until

    def _split_by_region(
        self,
        candidates: list[Candidate],
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Split candidates into those of this region and all others."""
        region = self.settings.region
        near = [one for one in candidates if one.peer.region == region]
        far = [one for one in candidates if one.peer.region != region]
        return near, far

    def _rank(
        self,
        candidates: list[Candidate],
        demand: Demand,
        now: Seconds,
    ) -> list[tuple[float, Candidate]]:
        """Sort candidates by score.

        At most ``draws`` of them, selected at random, are scored, so that the
        cost of a selection does not grow with the number of targets.
        """
        draws = self.settings.placement.draws
        if len(candidates) > draws:
            candidates = self.random.sample(candidates, draws)
        return sorted(
            ((self._score(one, demand.route, now), one) for one in candidates),
            key=_score_of,
        )

    def _choose_region(
        self,
        near: list[tuple[float, Candidate]],
        far: list[tuple[float, Candidate]],
        demand: Demand,
        now: Seconds,
    ) -> list[tuple[float, Candidate]]:
        """Use another region only if this one misses the target latency.

        The other region must be able to meet it. The link between regions has
        little bandwidth and its traffic is paid for by volume. If the load
        report of the best target in this region is old, that target is tried
        first: it refuses the request at once if it is as slow as the report
        says.

        A backend server that states a limit does not become faster in a moment,
        and a request that waits there delays others. Then the other region is
        also used for a late request if it answers sooner.
        """
        if not near:
            return far
        is_limited = near[0][1].rate_wait_s(now) > 0
        is_in_time = bool(far) and far[0][0] <= demand.target_latency_left_s
        if not is_in_time:
            return sorted([*near, *far], key=_score_of) if is_limited else near
        if is_limited or self.estimates.is_fresh(near[0][1], now):
            return far
        return [near[0], far[0]]

    def _replace(self, candidate: Candidate, peer: Peer) -> None:
        if candidate.peer.instance != peer.instance:
            candidate.load = BackendLoad()
            candidate.load_at = Seconds(-math.inf)
            candidate.sent = 0
        if candidate.peer.incarnation != peer.incarnation:
            candidate.avoid_until = Seconds(-math.inf)
        candidate.peer = peer

    def _group_by_service(self) -> None:
        self.by_service = {}
        for candidate in self.by_node.values():
            peer = candidate.peer
            if peer.phase is BackendPhase.READY and not peer.leaving:
                group = self.by_service.setdefault(peer.service, [])
                group.append(candidate)


def _score_of(scored: tuple[float, Candidate]) -> float:
    return scored[0]
