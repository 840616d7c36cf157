"""Builders of records for tests of this and other packages."""

from ipaddress import IPv4Address
from zlib import crc32

from bilberryrail.core.ids import (
    AttemptId,
    AvailabilityZoneId,
    Incarnation,
    NodeId,
    RegionId,
    ServiceId,
)
from bilberryrail.forwarding.messages import Forward
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendPhase,
    Fingerprint,
    HttpRequest,
    InstanceId,
    Part,
    Peer,
    Route,
    RouteId,
    ServiceRules,
)
from bilberryrail.forwarding.settings import ForwardingSettings

#: Addresses of the nodes: 10.0.0.0/8.
_NETWORK = IPv4Address('10.0.0.0')
_ADDRESSES = 2**24

BOARD = ServiceId('board')

SETTINGS = ForwardingSettings(
    node=NodeId('n1'),
    zone=AvailabilityZoneId('east'),
    region=RegionId('home'),
)

RULES = ServiceRules(
    service=BOARD,
    health_path='/health',
    max_connections=100,
    cold_requests_per_s=40,
)


def address_of(node: str) -> str:
    """Return an address of its own for each node."""
    return str(IPv4Address(_NETWORK + crc32(node.encode()) % _ADDRESSES))


def peer(
    node: str,
    *,
    zone: str = 'east',
    region: str = 'home',
    service: str = BOARD,
    started_ms: int = 1000,
    serial: int = 1,
    host: str | None = None,
    phase: BackendPhase = BackendPhase.READY,
    leaving: bool = False,
) -> Peer:
    return Peer(
        node=NodeId(node),
        incarnation=Incarnation(started_ms),
        started_ms=started_ms,
        serial=serial,
        host=host or address_of(node),
        port=7000,
        zone=AvailabilityZoneId(zone),
        region=RegionId(region),
        service=ServiceId(service),
        instance=InstanceId(f'i-{node}'),
        phase=phase,
        leaving=leaving,
    )


def route(
    name: str = 'r1',
    *,
    host: str = 'club.example',
    prefix: str = '/courts/',
    idempotent: bool = True,
    parts: tuple[Part, ...] = (Part(BOARD),),
    max_attempts: int = 2,
    home_regions: tuple[RegionId, ...] = (),
    timeout_s: float = 1.0,
    priority: int = 1,
) -> Route:
    return Route(
        route=RouteId(name),
        host=host,
        prefix=prefix,
        idempotent=idempotent,
        parts=parts,
        timeout_s=timeout_s,
        target_latency_s=0.3,
        priority=priority,
        max_attempts=max_attempts,
        home_regions=home_regions,
    )


def request(body: bytes = b'') -> HttpRequest:
    return HttpRequest(
        b'GET',
        b'/courts/7?day=1',
        ((b'Host', b'club.example'),),
        body,
    )


def forward(
    attempt: int,
    *,
    remaining_s: float = 1.0,
    target_latency_left_s: float = 0.3,
    max_answer_s: float = 0.0,
    priority: int = 2,
    idempotent: bool = True,
    fingerprint: Fingerprint = NO_FINGERPRINT,
    is_trial: bool = False,
    service: str = BOARD,
) -> Forward:
    return Forward(
        attempt=AttemptId(attempt),
        request_id=f'q{attempt}',
        route=RouteId('r1'),
        request=request(),
        remaining_s=remaining_s,
        target_latency_left_s=target_latency_left_s,
        max_answer_s=max_answer_s,
        priority=priority,
        idempotent=idempotent,
        fingerprint=fingerprint,
        is_trial=is_trial,
        service=ServiceId(service),
    )
