"""The two deployments of the users, as input of measurements.

The figures come from section 1.1 of the design page. It does not state service
times, so all measurements assume ``SERVICE_TIME_S``.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    ServiceId,
    TenantId,
)
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    BackendLimits,
    Edit,
    ServiceConfig,
    ServiceEdit,
    TenantConfig,
    TenantEdit,
)

#: Mean service time of one call at a healthy backend server, in seconds.
SERVICE_TIME_S = 0.02
#: One-way latency between a client and the nodes of its region, in seconds.
CLIENT_LATENCY_S = 0.001
#: One-way latency between regions, in seconds.
REGION_LATENCY_S = 0.03


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """A service and the number of its backend servers."""

    service: ServiceId
    idempotent: bool
    backend_servers: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment of the users.

    Attributes
    ----------
    zones
        Region of each availability zone.
    zone_latency_s
        One-way latency between availability zones of a region, in seconds;
        within one zone it is a tenth of this.
    """

    name: str
    zones: dict[AvailabilityZoneId, RegionId]
    services: tuple[ServiceSize, ...]
    limits: BackendLimits
    zone_latency_s: float
    tenants: tuple[TenantId, ...]

    def latency_s(self, zone: str, other: str) -> float:
        """Return the one-way latency between two availability zones."""
        if zone == other:
            return self.zone_latency_s / 10
        same_region = self.zones[zone] == self.zones[other]
        return self.zone_latency_s if same_region else REGION_LATENCY_S

    def identities(self) -> Iterator[NodeIdentity]:
        """Yield all nodes, with those of each service spread over the zones."""
        zones = list(self.zones)
        for size in self.services:
            for index in range(size.backend_servers):
                zone = zones[index % len(zones)]
                yield NodeIdentity(
                    node=NodeId(f'{zone}-{size.service}-{index}'),
                    service=size.service,
                    zone=zone,
                    region=self.zones[zone],
                    host='127.0.0.1',
                    port=1,
                    http_port=1,
                )

    def edits(self) -> tuple[Edit, ...]:
        """Return the edits that make up the first configuration."""
        regions = tuple(dict.fromkeys(self.zones.values()))
        zones = (
            AvailabilityZoneEdit(AvailabilityZoneConfig(zone, region))
            for zone, region in self.zones.items()
        )
        services = (
            ServiceEdit(
                ServiceConfig(
                    service=size.service,
                    idempotent=size.idempotent,
                    regions=regions,
                    limits=self.limits,
                ),
            )
            for size in self.services
        )
        tenants = (TenantEdit(TenantConfig(name)) for name in self.tenants)
        return (*zones, *services, *tenants)


TSAGAAN_TAL = Deployment(
    name='tsagaan-tal',
    zones={
        AvailabilityZoneId('ub1'): RegionId('ulaanbaatar'),
        AvailabilityZoneId('ub2'): RegionId('ulaanbaatar'),
        AvailabilityZoneId('da1'): RegionId('darkhan'),
        AvailabilityZoneId('da2'): RegionId('darkhan'),
    },
    services=(
        ServiceSize(ServiceId('court-status'), True, 6),
        ServiceSize(ServiceId('bookings'), False, 4),
        ServiceSize(ServiceId('invoices'), False, 4),
        ServiceSize(ServiceId('dispatch'), False, 4),
    ),
    limits=BackendLimits(slots=10, connections=250, cold_slots=2),
    zone_latency_s=0.0015,
    tenants=(TenantId('clubs'), TenantId('guesthouses'), TenantId('squares')),
)
KETTLE_SAFETY = Deployment(
    name='kettle-safety',
    zones={
        AvailabilityZoneId('ege1'): RegionId('ege'),
        AvailabilityZoneId('ege2'): RegionId('ege'),
        AvailabilityZoneId('kar1'): RegionId('karadeniz'),
        AvailabilityZoneId('kar2'): RegionId('karadeniz'),
    },
    services=(
        ServiceSize(ServiceId('certificate-query'), True, 4),
        ServiceSize(ServiceId('application'), False, 4),
        ServiceSize(ServiceId('seal-issuance'), False, 4),
        ServiceSize(ServiceId('workshop-registry'), True, 4),
    ),
    limits=BackendLimits(slots=20, connections=200, cold_slots=4),
    zone_latency_s=0.001,
    tenants=(
        TenantId('makers'),
        TenantId('inspectors'),
        TenantId('tea-houses'),
    ),
)
DEPLOYMENTS = (TSAGAAN_TAL, KETTLE_SAFETY)
