"""Sample deployments, read from data files, and the settings of their nodes.

Sizes in the data files of ``DEPLOYMENT_NAMES`` come from section 1.1 of the
design page. The expected concurrency is low enough for any one availability
zone to be taken out. A plan places the backend servers of each service round
robin over the availability zones and gives every process free loopback ports.
"""

import pathlib
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import cycle

import msgspec

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    ServiceId,
)
from bilberryrail.core.records import BackendLimits
from bilberryrail.standins.backend_model import BackendSettings
from bilberryrail.standins.processes import LOOPBACK, free_ports

DEPLOYMENT_NAMES = ('tsagaan-tal', 'anatolian-kettle')
DATA_DIRECTORY = pathlib.Path(__file__).parent
#: Stream of the log that holds configuration and membership.
STREAM = 'bilberryrail'
#: Ports of one host: for peers, callers, its backend server and operators.
PORTS_PER_HOST = 4


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """One service of a deployment.

    Attributes
    ----------
    servers
        Number of backend servers.
    expected_concurrency
        Number of calls in flight for which the service needs capacity.
    """

    service: ServiceId
    idempotent: bool
    servers: int
    limits: BackendLimits
    expected_concurrency: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """Regions, availability zones, services and tenants of one operator.

    Attributes
    ----------
    zones
        Region of each availability zone.
    tenants
        Home regions of each tenant; none means that every region is allowed.
    """

    name: str
    zones: dict[AvailabilityZoneId, RegionId]
    services: tuple[ServiceSpec, ...]
    tenants: dict[str, tuple[RegionId, ...]]

    @property
    def regions(self) -> tuple[RegionId, ...]:
        """Return the regions in order of their first availability zone."""
        return tuple(dict.fromkeys(self.zones.values()))


@dataclass(frozen=True, slots=True)
class HostPlan:
    """One host: a node, its backend server and their ports."""

    identity: NodeIdentity
    backend: BackendSettings
    operator_port: int


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """A deployment with its hosts and ports."""

    deployment: Deployment
    log_port: int
    hosts: tuple[HostPlan, ...] = field(default_factory=tuple)

    def in_zone(self, zone: str) -> tuple[HostPlan, ...]:
        """List the hosts of one availability zone."""
        return tuple(host for host in self.hosts if host.identity.zone == zone)


def load_deployment(name: str) -> Deployment:
    """Read a deployment from its data file, such as ``DEPLOYMENT_NAMES``."""
    path = DATA_DIRECTORY / f'{name.replace("-", "_")}.json'
    return msgspec.json.decode(path.read_bytes(), type=Deployment)


def plan_deployment(deployment: Deployment, seed: int) -> DeploymentPlan:
    """Spread hosts over the availability zones and choose free ports."""
    servers = sum(spec.servers for spec in deployment.services)
    ports = iter(free_ports(servers * PORTS_PER_HOST + 1))
    return DeploymentPlan(
        deployment=deployment,
        log_port=next(ports),
        hosts=tuple(_hosts(deployment, ports, seed)),
    )


def first_intent(deployment: Deployment) -> dict[str, object]:
    """Make the intent that adds all zones, services and tenants."""
    return {
        'zones': [
            {'zone': zone, 'region': region}
            for zone, region in deployment.zones.items()
        ],
        'services': [
            {
                'service': spec.service,
                'idempotent': spec.idempotent,
                'regions': deployment.regions,
                'limits': spec.limits,
                'expected_concurrency': spec.expected_concurrency,
            }
            for spec in deployment.services
        ],
        'tenants': [
            {'tenant': tenant, 'home_regions': regions}
            for tenant, regions in deployment.tenants.items()
        ],
    }


def node_settings(plan: DeploymentPlan, host: HostPlan) -> dict[str, object]:
    """Make the content of the settings file of one node.

    Settings that are not mentioned keep their defaults.
    """
    seeds = [
        {'host': LOOPBACK, 'port': other.identity.port}
        for other in plan.hosts[:2]
        if other is not host
    ]
    return {
        'engine': {'identity': host.identity, 'relay': {'seeds': seeds}},
        'log': {'url': f'http://{LOOPBACK}:{plan.log_port}', 'stream': STREAM},
        'backend': {'host': LOOPBACK, 'port': host.backend.port},
        'operator_host': LOOPBACK,
        'operator_port': host.operator_port,
    }


def _hosts(
    deployment: Deployment,
    ports: Iterator[int],
    seed: int,
) -> Iterator[HostPlan]:
    zones = cycle(deployment.zones.items())
    for spec in deployment.services:
        for number in range(spec.servers):
            zone, region = next(zones)
            identity = NodeIdentity(
                node=NodeId(f'{spec.service}-{number}'),
                service=spec.service,
                zone=zone,
                region=region,
                host=LOOPBACK,
                port=next(ports),
                http_port=next(ports),
            )
            yield HostPlan(
                identity=identity,
                backend=_backend(spec, identity, next(ports), seed),
                operator_port=next(ports),
            )


def _backend(
    spec: ServiceSpec,
    identity: NodeIdentity,
    port: int,
    seed: int,
) -> BackendSettings:
    return BackendSettings(
        name=f'{identity.node}',
        region=identity.region,
        port=port,
        limits=spec.limits,
        seed=zlib.crc32(f'{seed}/{identity.node}'.encode()),
    )
