"""Routes, services, nodes, and HTTP requests and answers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, Final, NewType

from msgspec import Meta

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    Incarnation,
    NodeId,
    RegionId,
    ServiceId,
)
from bilberryrail.forwarding.bounds import (
    MAX_CRASHES,
    MAX_FINGERPRINT,
    MAX_NAME,
    MAX_SUSPECTS,
    Count,
    Credit,
    Duration,
    Number,
    Port,
    Rate,
    Ratio,
    Share,
    UnixMs,
    Weight,
)

RouteId = NewType('RouteId', str)

#: Identifies a backend server instance. A restart may keep the id.
InstanceId = NewType('InstanceId', str)

#: Identifies all requests with the same method, host, target, caller and body.
Fingerprint = NewType('Fingerprint', bytes)

_Name = Meta(max_length=MAX_NAME)
_Suspects = Annotated[
    tuple[Annotated[Fingerprint, Meta(max_length=MAX_FINGERPRINT)], ...],
    Meta(max_length=MAX_SUSPECTS),
]

#: Fingerprint of a request whose sender has stated none. It is never recorded.
NO_FINGERPRINT: Final = Fingerprint(b'')

#: Version of a traffic configuration; later ones have higher numbers.
ConfigVersion = NewType('ConfigVersion', int)

#: Number of times that the store was restored from an older copy. Offsets of
#: different eras cannot be compared, because a restored store gives out the
#: offsets of lost records again. Zero for a store that does not state it.
StoreEra = NewType('StoreEra', int)


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Position in the operators' records; later ones are greater.

    Attributes
    ----------
    offset
        Offset of the first record that has not been read.
    """

    era: StoreEra = StoreEra(0)
    offset: int = 0


@dataclass(frozen=True, slots=True)
class Part:
    """A service that receives a share of a route's requests."""

    service: ServiceId
    weight: Weight = 1


@dataclass(frozen=True, slots=True)
class Route:
    """Requests that are forwarded by the same rules.

    Attributes
    ----------
    prefix
        Path prefix; it begins and ends with a slash.
    parts
        Services that share the requests by weight; one if the route is not
        split.
    timeout_s
        Longest time until the client gets an answer, in seconds.
    target_latency_s
        Time after which an answer is worth much less to the client, in seconds.
    priority
        Priority; 0 is the most urgent.
    max_attempts
        Largest number of backend servers that one request may be sent to.
    home_regions
        Regions that may serve it; empty allows every region.
    """

    route: RouteId
    host: str
    prefix: str
    idempotent: bool
    parts: tuple[Part, ...]
    timeout_s: Duration
    target_latency_s: Duration
    priority: Number = 0
    max_attempts: Count = 1
    home_regions: tuple[RegionId, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Limits and health check of a service's backend servers.

    Attributes
    ----------
    health_path
        Path of the health check.
    max_connections
        Largest number of connections to a backend server; also a bound on the
        requests that run there at the same time.
    cold_requests_per_s
        Requests a second that a cold backend server can handle.
    """

    service: ServiceId
    health_path: str
    max_connections: Count
    cold_requests_per_s: Rate


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on what a client may send and how long it may take."""

    header_bytes: Count = 16384
    body_bytes: Count = 67108864
    header_timeout_s: Duration = 3.0
    idle_timeout_s: Duration = 15.0


@dataclass(frozen=True, slots=True)
class TrafficConfig:
    """One complete version of the operators' traffic configuration."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceId, ServiceRules]
    limits: ClientLimits = field(default_factory=ClientLimits)


@dataclass(frozen=True, slots=True)
class BackendRun:
    """One run of a backend server.

    Attributes
    ----------
    born_ms
        Unix time of its start, in milliseconds, which distinguishes it from an
        earlier run with the same id; zero if it is not known.
    """

    instance: Annotated[InstanceId, _Name]
    born_ms: UnixMs = 0

    def is_same_as(self, other: 'BackendRun') -> bool:
        """Return whether both are the same run, as far as is known."""
        if self.instance != other.instance:
            return False
        is_known = self.born_ms and other.born_ms
        return not is_known or self.born_ms == other.born_ms


class BackendPhase(Enum):
    """State of a backend server, as the node beside it knows it."""

    ABSENT = 'absent'
    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """An unannounced end of a backend server.

    Attributes
    ----------
    at_ms
        Unix time at which its node noticed it, in milliseconds.
    suspects
        Requests that were in flight.
    answered
        Those of them that the node had read an answer to shortly before.
    """

    run: BackendRun
    at_ms: UnixMs
    suspects: _Suspects
    answered: _Suspects = ()


@dataclass(frozen=True, slots=True)
class Clearance:
    """A suspected request was answered, so it crashes no backend server.

    Attributes
    ----------
    at_ms
        Unix time of the answer, in milliseconds.
    """

    fingerprint: Annotated[Fingerprint, Meta(max_length=MAX_FINGERPRINT)]
    at_ms: UnixMs


#: Crashes that one node tells another.
Crashes = Annotated[tuple[CrashRecord, ...], Meta(max_length=MAX_CRASHES)]


@dataclass(frozen=True, slots=True)
class Peer:
    """A node, as it announces itself to the others.

    Attributes
    ----------
    started_ms
        Unix time of the node's start, in milliseconds; orders incarnations.
    serial
        Number that grows with each change within an incarnation.
    instance
        Backend server beside the node; empty if there is none.
    leaving
        Whether the node is shutting down.
    born_ms
        Unix time of the backend server's start, in milliseconds; zero if it is
        not known.
    departed
        Whether the backend server has announced or stated that it leaves.
    crashes
        Recent crashes of the backend servers beside the node, oldest first.
    clearances
        Recent answers to suspected requests of clients of the node.
    """

    node: Annotated[NodeId, _Name]
    incarnation: Incarnation
    started_ms: UnixMs
    serial: Count
    host: Annotated[str, _Name]
    port: Port
    zone: Annotated[AvailabilityZoneId, _Name]
    region: Annotated[RegionId, _Name]
    service: Annotated[ServiceId, _Name]
    instance: Annotated[InstanceId, _Name]
    phase: BackendPhase
    leaving: bool = False
    born_ms: UnixMs = 0
    departed: bool = False
    crashes: Crashes = ()
    clearances: Annotated[
        tuple[Clearance, ...], Meta(max_length=MAX_CRASHES)
    ] = ()

    @property
    def run(self) -> BackendRun:
        """Run of the backend server beside the node."""
        return BackendRun(self.instance, self.born_ms)

    @property
    def backend_departed(self) -> bool:
        """Whether the backend server has left, also before the node ends."""
        is_draining = self.phase is BackendPhase.DRAINING and not self.leaving
        return self.departed or is_draining

    def is_newer_than(self, other: 'Peer') -> bool:
        """Return whether this announcement replaces another one of the node."""
        mine = (self.started_ms, self.incarnation, self.serial)
        return mine > (other.started_ms, other.incarnation, other.serial)


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load of a target, for the selection among targets.

    Attributes
    ----------
    running, waiting
        Requests at the backend server, and in the target's queue.
    limit
        Concurrency limit; zero if the target accepts no requests.
    slowdown
        Present duration of requests, as a multiple of the usual one.
    service_s
        Usual time to an answer, in seconds.
    error_share
        Share of recent requests that failed, from 0 to 1.
    memory_s
        Time constant with which the slowdown loses its meaning, in seconds;
        zero if it is not known.
    pause_s
        Time for which the target pauses requests because its host is slow, in
        seconds; zero if it does not.
    calm_slowdown
        Slowdown after that time.
    rate_limit
        Requests per second that the backend server has said that it accepts;
        infinite if it has stated no limit, None if its node has read no answer
        of it yet.
    rate_credit
        Requests that this limit allows now beyond those in the queue; negative
        if some of these have to wait.
    """

    running: Count = 0
    waiting: Count = 0
    limit: Count = 0
    slowdown: Ratio = 1.0
    service_s: Duration = 0
    error_share: Share = 0
    memory_s: Duration = 0
    pause_s: Duration = 0
    calm_slowdown: Ratio = 1.0
    rate_limit: Rate | None = None
    rate_credit: Credit = 0


class Refusal(Enum):
    """Why a target did not run a request."""

    BUSY = 'busy'
    SLOW = 'slow'
    LATE = 'late'
    NO_BACKEND = 'no-backend'
    DRAINING = 'draining'
    ZONE_OUT = 'zone-out'
    DEADLINE = 'deadline'
    SHED = 'shed'
    OTHER_INSTANCE = 'other-instance'
    CONNECT_FAILED = 'connect-failed'
    #: The request crashes backend servers.
    QUARANTINED = 'quarantined'
    LINK_DOWN = 'link-down'


#: Refusals by the backend server itself: the request reached it and counts as
#: an attempt.
REACHED_BACKEND = frozenset((Refusal.SHED, Refusal.OTHER_INSTANCE))


class Failure(Enum):
    """Why a request that may have run has no answer."""

    LINK_LOST = 'link-lost'
    RESET = 'reset'
    MALFORMED = 'malformed'
    UNSEALED = 'unsealed'


Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request, without hop-by-hop headers."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer, without hop-by-hop headers.

    Attributes
    ----------
    is_own
        Whether a node created it, instead of a backend server.
    """

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    is_own: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, text in headers:
        if key.lower() == name:
            return text
    return None
