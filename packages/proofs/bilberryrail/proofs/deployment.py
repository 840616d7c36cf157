"""Small deployments on which the proofs run."""

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

#: Tenant whose data must stay in its home region.
HOME_TENANT = TenantId('home-club')


@dataclasses.dataclass(frozen=True, slots=True)
class ProofDeployment(Deployment):
    """Deployment with one tenant that has a home region."""

    home_region: RegionId = RegionId('')

    def edits(self) -> tuple[Edit, ...]:
        """Return the deployment's edits and the tenant's home region."""
        home = TenantConfig(HOME_TENANT, home_regions=(self.home_region,))
        # The base class is named because super() without arguments fails here:
        # dataclass(slots=True) replaces the class by a new one.
        return (*Deployment.edits(self), TenantEdit(home))


def _small(
    deployment: Deployment,
    lookups: str,
    bookings: str,
    sizes: tuple[int, int],
) -> ProofDeployment:
    """Reduce a deployment to one idempotent and one other service."""
    limits = BackendLimits(
        slots=6,
        connections=deployment.limits.connections,
        cold_slots=1,
        # Short, so that a run of a few seconds contains the whole warm-up.
        warm_up_s=1.0,
    )
    return ProofDeployment(
        name=deployment.name,
        zones=deployment.zones,
        services=(
            ServiceSize(ServiceId(lookups), True, sizes[0]),
            ServiceSize(ServiceId(bookings), False, sizes[1]),
        ),
        limits=limits,
        zone_latency_s=deployment.zone_latency_s,
        tenants=(deployment.tenants[0], HOME_TENANT),
        home_region=tuple(deployment.zones.values())[-1],
    )


#: Eight nodes: both services in all four availability zones.
COURTS = _small(TSAGAAN_TAL, 'court-status', 'bookings', (4, 4))
KETTLES = _small(KETTLE_SAFETY, 'certificate-query', 'seal-issuance', (4, 4))
#: Six nodes, since the fault matrix has many cells; lookups in one region only.
COURTS_SMALL = _small(TSAGAAN_TAL, 'court-status', 'bookings', (2, 4))
