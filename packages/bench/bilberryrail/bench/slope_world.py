"""A cluster of any size and one node in it, for the measurement of slopes."""

import random
import time
from collections.abc import Callable
from statistics import median
from typing import Any, Final

from bilberryrail.control import messages
from bilberryrail.control.directory import hash_of
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.records import (
    Announcement,
    AvailabilityZoneConfig,
    BackendLimits,
    ClusterState,
    Member,
    ServiceConfig,
    TenantConfig,
)
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.wire.encoding import bodyless_frame

#: Size of the cluster in section 1.7 of the design page.
MEMBERS: Final = 19_000
SERVICES: Final = 1300
REGIONS: Final = ('north', 'middle', 'south')
ZONES_PER_REGION: Final = 2
TENANT: Final = 'public'
#: Time of the simulated clock at which measurements start, in seconds.
START_S: Final = 1000.0
#: Step of the simulated clock between events, in seconds. It is below the pause
#: threshold, so that the engine detects no pause.
STEP_S: Final = 0.001
#: Number of batches. Their median is reported, so that one interruption does
#: not distort the figure.
_BATCHES: Final = 7
_US_PER_S: Final = 1_000_000
_INCARNATION_BITS: Final = 64
_BYTE_VALUES: Final = 250


def service_name(number: int) -> str:
    """Return a service name that is as long as those of the users."""
    return f'certificate-query-{number:04}'


def make_member(number: int, services: int = SERVICES) -> Member:
    """Make a member; members are spread evenly over zones and services."""
    region = REGIONS[number % len(REGIONS)]
    zone = f'{region}-{number // len(REGIONS) % ZONES_PER_REGION + 1}'
    service = service_name(number // 6 % services)
    high, low = divmod(number, _BYTE_VALUES)
    return Member(
        node=f'{zone}-{service}-{number:05}',
        incarnation=random.Random(number).getrandbits(_INCARNATION_BITS),
        service=service,
        zone=zone,
        region=region,
        host=f'10.{number % 3}.{high}.{low}',
        port=7001,
        http_port=7002,
    )


def make_service(number: int) -> ServiceConfig:
    """Make the configuration of one idempotent service."""
    limits = BackendLimits(slots=20, connections=200, cold_slots=4)
    return ServiceConfig(service_name(number), True, REGIONS, limits, 200)


def make_state(members: int, services: int = SERVICES) -> ClusterState:
    """Make the state of a cluster as replayed from its log."""
    configs = [make_service(number) for number in range(services)]
    made = [make_member(number, services or 1) for number in range(members)]
    zones = {
        f'{region}-{number + 1}': AvailabilityZoneConfig(
            f'{region}-{number + 1}',
            region,
        )
        for region in REGIONS
        for number in range(ZONES_PER_REGION)
    }
    return ClusterState(
        offset=members + services,
        services={config.service: config for config in configs},
        tenants={TENANT: TenantConfig(TENANT)},
        zones=zones,
        members={
            member.node: Announcement(member, index)
            for index, member in enumerate(made)
        },
        touched={
            f'service/{config.service}': index
            for index, config in enumerate(configs)
        },
    )


def relay_order(state: ClusterState) -> list[Member]:
    """Return the members of the first region in their relay order."""
    members = [found.member for found in state.members.values()]
    region = [member for member in members if member.region == REGIONS[0]]
    return sorted(region, key=lambda member: hash_of(member.node))


def identity_of(own: Member) -> NodeIdentity:
    """Return the identity settings of the node that announces a member."""
    return NodeIdentity(
        node=own.node,
        service=own.service,
        zone=own.zone,
        region=own.region,
        host=own.host,
        port=own.port,
        http_port=own.http_port,
    )


def make_engine(state: ClusterState, own: Member) -> NodeEngine:
    """Make the engine of a node that has caught up with its parent's state.

    Raises
    ------
    RuntimeError
        If it has not caught up. Such a node refuses calls, so measurements
        of its cost would be wrong.
    """
    settings = EngineSettings(identity=identity_of(own))
    engine = NodeEngine(settings, random.Random(1))
    adopt(engine, state)
    if state.members and not engine.plane.caught_up:
        raise RuntimeError(f'{own.node} has not caught up with the state')
    return engine


def adopt(engine: NodeEngine, state: ClusterState) -> None:
    """Make a node adopt a state that its parent sends."""
    engine.handle(messages.StateReceived('seed', state), START_S)
    for parent in engine.plane.parts.directory.parents():
        engine.handle(messages.LinkUp(parent), START_S)
        current = messages.RecordsReceived(parent.node, (), state.offset)
        engine.handle(current, START_S)


def median_us(operation: Callable[[int], object], count: int) -> float:
    """Return the median processor time of one operation, in microseconds.

    Parameters
    ----------
    operation
        Function that is called with 0, 1, 2, ... in each of the batches.
    count
        Number of calls in each batch.
    """
    spent = []
    for batch in range(_BATCHES):
        before = time.process_time()
        for number in range(batch * count, (batch + 1) * count):
            operation(number)
        spent.append((time.process_time() - before) / count * _US_PER_S)
    return median(spent)


def frame_bytes(action: Any) -> bytes:
    """Encode an action as the shell does before it sends it."""
    return bodyless_frame(action, 1).SerializeToString()
