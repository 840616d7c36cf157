"""Small deployments that the proofs run on."""

import dataclasses

from bilberryrail.bench.topology import (
    KETTLE_SAFETY,
    TSAGAAN_TAL,
    Deployment,
    ServiceSize,
)
from bilberryrail.core.ids import RegionId, ServiceId, TenantId
from bilberryrail.core.records import (
    BackendLimits,
    Edit,
    TenantConfig,
    TenantEdit,
)

#: Tenant of a club whose data must stay in the second region.
HOME_TENANT = TenantId('home-club')


@dataclasses.dataclass(frozen=True, slots=True)
class ProofDeployment(Deployment):
    """Deployment with one tenant that has a home region."""

    home_region: RegionId = RegionId('')

    def edits(self) -> tuple[Edit, ...]:
        """Add the home region of the tenant to the configuration."""
        home = TenantConfig(HOME_TENANT, home_regions=(self.home_region,))
        # Called by name, since a data class with slots is made anew.
        return (*Deployment.edits(self), TenantEdit(home))


def _small(
    users: Deployment,
    lookups: str,
    bookings: str,
    sizes: tuple[int, int],
) -> ProofDeployment:
    """Keep one idempotent and one other service of a deployment."""
    limits = BackendLimits(
        slots=6,
        connections=users.limits.connections,
        cold_slots=1,
        # Short, so that a run of a few seconds sees the whole ramp.
        warm_up_s=1.0,
    )
    return ProofDeployment(
        name=users.name,
        zones=users.zones,
        services=(
            ServiceSize(ServiceId(lookups), True, sizes[0]),
            ServiceSize(ServiceId(bookings), False, sizes[1]),
        ),
        limits=limits,
        zone_s=users.zone_s,
        tenants=(users.tenants[0], HOME_TENANT),
        home_region=tuple(users.zones.values())[-1],
    )


#: Eight nodes: both services in all four availability zones.
COURTS = _small(TSAGAAN_TAL, 'court-status', 'bookings', (4, 4))
KETTLES = _small(KETTLE_SAFETY, 'certificate-query', 'seal-issuance', (4, 4))
#: Six nodes, for the many cells of the fault matrix; lookups in one region.
COURTS_SMALL = _small(TSAGAAN_TAL, 'court-status', 'bookings', (2, 4))
