"""Choice of a target among the candidates of a service.

The cost of a choice does not grow with the number of candidates, because only
the probe pool and a few randomly drawn candidates are compared.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import partial
from random import Random
from typing import Final

from bilberryrail.core.ids import NodeId, RegionId, Seconds, ServiceId
from bilberryrail.core.records import Member, ServiceConfig
from bilberryrail.policy.buckets import TokenBucket
from bilberryrail.policy.estimates import EstimateTable
from bilberryrail.policy.settings import RoutingSettings
from bilberryrail.policy.view import ClusterView

#: Number of random candidates that a choice compares.
_CHOICES: Final = 2
#: Maximum number of random draws to find candidates that are not avoided. If
#: a third of the candidates are avoided, all twelve draws fail in two of a
#: million choices.
_MAX_DRAWS: Final = 12
#: Maximum number of consecutive candidates checked if all random draws hit
#: avoided candidates.
_MAX_SCANNED: Final = 64


class RouteReason(Enum):
    """Why a target was chosen."""

    LOCAL = 'local'
    FASTER_REGION = 'faster-region'
    NO_LOCAL = 'no-local-candidate'
    ALL_SUSPECTED = 'all-suspected'
    TOKEN = 'token'


@dataclass(frozen=True, slots=True)
class Group:
    """Candidates of a service within a set of home regions.

    Attributes
    ----------
    local, remote
        Candidates in the region of this node and in other regions.
    """

    local: tuple[Member, ...]
    remote: tuple[Member, ...]
    by_node: dict[NodeId, Member]


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a call that determine the choice of its target.

    Attributes
    ----------
    avoid
        Nodes already chosen for this call.
    remaining_s
        Time until the deadline in seconds; an error counts as an answer that
        takes this long.
    size
        Size of the call in bytes.
    """

    service: ServiceConfig
    home_regions: tuple[RegionId, ...]
    avoid: frozenset[NodeId]
    remaining_s: float
    size: int
    now: Seconds


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen target, the reason, and its estimated time to an answer."""

    member: Member
    reason: RouteReason
    expected_s: float


class CandidateIndex:
    """Cache of the groups of candidates for the current view."""

    def __init__(self, region: RegionId) -> None:
        self.region = region
        self._view: ClusterView | None = None
        self._groups: dict[tuple[ServiceId, tuple[RegionId, ...]], Group] = {}

    def group(
        self,
        service: ServiceId,
        home_regions: tuple[RegionId, ...],
        view: ClusterView,
    ) -> Group:
        """Return the candidates of a service within home regions."""
        if view is not self._view:
            self._view = view
            self._groups.clear()
        key = (service, home_regions)
        group = self._groups.get(key)
        if group is None:
            group = self._make(view.candidates(service, home_regions))
            self._groups[key] = group
        return group

    def _make(self, members: tuple[Member, ...]) -> Group:
        return Group(
            local=tuple(
                member for member in members if member.region == self.region
            ),
            remote=tuple(
                member for member in members if member.region != self.region
            ),
            by_node={member.node: member for member in members},
        )


class Router:
    """Chooses the target with the lowest estimated time to an answer.

    Parameters
    ----------
    region
        Region of this node.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        region: RegionId,
        estimates: EstimateTable,
        random: Random,
    ) -> None:
        self.settings = settings
        self.region = region
        self.estimates = estimates
        self.random = random
        self.link_budget = TokenBucket(
            settings.link_bytes_per_s,
            settings.link_bytes_per_s,
        )

    def choose(
        self,
        request: RouteRequest,
        group: Group,
        probed: Iterable[NodeId],
    ) -> Choice | None:
        """Choose a target, or return None if no candidate can be used.

        Parameters
        ----------
        probed
            Nodes in the probe pool of the service.
        """
        pool = tuple(self._usable_probed(request, group, probed))
        local = self._best(request, group.local, pool)
        if local is None:
            return self._without_local(request, group, pool)
        return self._with_local(request, group, pool, local)

    def charge(self, member: Member, size: int, now: Seconds) -> None:
        """Charge the link budget for a message that leaves the region."""
        if member.region != self.region:
            self.link_budget.charge(size, now)

    def _with_local(
        self,
        request: RouteRequest,
        group: Group,
        pool: tuple[Member, ...],
        local: tuple[float, Member],
    ) -> Choice:
        local_s, member = local
        distance_s = self.settings.region_distance_s
        is_eligible = local_s > distance_s and self.link_budget.can_take(
            request.size,
            request.now,
        )
        remote = (
            self._best(request, group.remote, pool) if is_eligible else None
        )
        if remote is not None and remote[0] + distance_s < local_s:
            return Choice(remote[1], RouteReason.FASTER_REGION, remote[0])
        return Choice(member, RouteReason.LOCAL, local_s)

    def _without_local(
        self,
        request: RouteRequest,
        group: Group,
        pool: tuple[Member, ...],
    ) -> Choice | None:
        remote = self._best(request, group.remote, pool)
        if remote is not None:
            return Choice(remote[1], RouteReason.NO_LOCAL, remote[0])
        return self._choose_suspected(request, group)

    def _choose_suspected(
        self, request: RouteRequest, group: Group
    ) -> Choice | None:
        """Choose a suspected or draining candidate if there is no other."""
        for members in (group.local, group.remote):
            drawn = self._draw(members, partial(_is_untried, request))
            if drawn:
                return Choice(
                    drawn[0],
                    RouteReason.ALL_SUSPECTED,
                    request.remaining_s,
                )
        return None

    def _best(
        self,
        request: RouteRequest,
        members: tuple[Member, ...],
        pool: tuple[Member, ...],
    ) -> tuple[float, Member] | None:
        if not members:
            return None
        found = self._draw(members, partial(self._is_usable, request))
        is_local = members[0].region == self.region
        found.extend(
            member
            for member in pool
            if (member.region == self.region) is is_local
        )
        if not found:
            return None
        return min(
            ((self._expected_s(request, member), member) for member in found),
            key=lambda scored: scored[0],
        )

    def _usable_probed(
        self,
        request: RouteRequest,
        group: Group,
        probed: Iterable[NodeId],
    ) -> Iterator[Member]:
        for node in probed:
            member = group.by_node.get(node)
            if member is not None and self._is_usable(request, member):
                yield member

    def _draw(
        self,
        members: tuple[Member, ...],
        accepts: Callable[[Member], bool],
    ) -> list[Member]:
        """Draw up to two distinct members at random, at a bounded cost."""
        count = len(members)
        found: list[Member] = []
        for _ in range(_MAX_DRAWS if count else 0):
            member = members[int(self.random.random() * count)]
            if member not in found and accepts(member):
                found.append(member)
                if len(found) == _CHOICES:
                    return found
        return found or self._scan(members, accepts)

    def _scan(
        self,
        members: tuple[Member, ...],
        accepts: Callable[[Member], bool],
    ) -> list[Member]:
        count = len(members)
        start = int(self.random.random() * count)
        for step in range(min(count, _MAX_SCANNED)):
            member = members[(start + step) % count]
            if accepts(member):
                return [member]
        return []

    def _is_usable(self, request: RouteRequest, member: Member) -> bool:
        if not _is_untried(request, member):
            return False
        estimate = self.estimates.of(member.node)
        if estimate.is_suspected:
            return False
        return estimate.load is None or not estimate.load.draining

    def _expected_s(self, request: RouteRequest, member: Member) -> float:
        return self.estimates.of(member.node).expected_s(
            request.remaining_s,
            request.service.limits.cold_slots,
            request.now,
        )


def _is_untried(request: RouteRequest, member: Member) -> bool:
    return member.node not in request.avoid
