"""Read-only queries on the replayed state, for both roles of a node."""

from collections import defaultdict
from collections.abc import Mapping

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    Offset,
    RegionId,
    ServiceId,
    TenantId,
)
from bilberryrail.core.records import (
    ClusterState,
    Member,
    ServiceConfig,
    TenantConfig,
)


class ClusterView:
    """Configuration and membership at one moment.

    Parameters
    ----------
    state
        Replayed state.
    identity
        The node that looks.
    unlogged
        Members whose announcement could not yet be appended.
    leaving
        Members that said they are draining.

    Attributes
    ----------
    has_peers
        Whether any member besides this node is known.
    """

    def __init__(
        self,
        state: ClusterState,
        identity: NodeIdentity,
        unlogged: Mapping[NodeId, Member],
        leaving: frozenset[NodeId],
    ) -> None:
        self.state = state
        self.identity = identity
        self.leaving = leaving
        self._members = {
            node: announcement.member
            for node, announcement in state.members.items()
        }
        self._members.update(unlogged)
        self.has_peers = any(node != identity.node for node in self._members)
        self._candidates = self._group_by_service()

    @property
    def offset(self) -> Offset:
        """Offset up to which the state has been applied."""
        return self.state.offset

    def service(self, service: ServiceId) -> ServiceConfig | None:
        """Look up a service."""
        return self.state.services.get(service)

    def tenant(self, tenant: TenantId) -> TenantConfig | None:
        """Look up a tenant."""
        return self.state.tenants.get(tenant)

    def member(self, node: NodeId) -> Member | None:
        """Look up a member by its node."""
        return self._members.get(node)

    def is_zone_out(self, zone: AvailabilityZoneId) -> bool:
        """Tell whether operators have taken an availability zone out."""
        config = self.state.zones.get(zone)
        return config is not None and config.out

    def candidates(
        self,
        service: ServiceId,
        home_regions: tuple[RegionId, ...] = (),
    ) -> tuple[Member, ...]:
        """List members that may be given new work of a service.

        Members in availability zones that are out, members that drain, and
        members outside the regions of the service or the home regions are
        left out.
        """
        members = self._candidates.get(service, ())
        if not home_regions:
            return members
        return tuple(
            member for member in members if member.region in home_regions
        )

    def _group_by_service(self) -> dict[ServiceId, tuple[Member, ...]]:
        groups: dict[ServiceId, list[Member]] = defaultdict(list)
        for member in self._members.values():
            if self._takes_work(member):
                groups[member.service].append(member)
        return {
            service: tuple(sorted(members, key=lambda found: found.node))
            for service, members in groups.items()
        }

    def _takes_work(self, member: Member) -> bool:
        config = self.state.services.get(member.service)
        return (
            config is not None
            and member.region in config.regions
            and member.node not in self.leaving
            and not self.is_zone_out(member.zone)
        )
