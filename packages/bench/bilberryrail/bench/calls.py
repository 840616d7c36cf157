"""Calls of a measurement, and the interface of the measured systems."""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from bilberryrail.bench.topology import Deployment
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    TenantId,
)
from bilberryrail.core.load import Outcome

#: Deadline of every call, in seconds, because the crews and inspectors who make
#: the calls wait no longer.
DEADLINE_S = 1.0
#: Bytes of a request and its answer together.
CALL_BYTES = 1024


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a caller in a region."""

    number: int
    service: ServiceId
    tenant: TenantId
    region: RegionId
    arrives_s: float
    idempotent: bool


class System(Protocol):
    """Something that balances calls over fake backend servers."""

    def submit(
        self, call: Call, on_done: Callable[[Outcome, bool], None]
    ) -> None:
        """Serve a call; ``on_done`` gets its outcome and if it succeeded."""

    def take_zone_out(self, zone: AvailabilityZoneId) -> None:
        """Take an availability zone out of service."""

    def bring_zone_back(self, zone: AvailabilityZoneId) -> None:
        """Bring an availability zone back into service."""


@dataclass(frozen=True, slots=True)
class Phase:
    """A period in which the arrival rate is a fixed share of the capacity.

    Attributes
    ----------
    until_s
        Time at which the period ends, in seconds.
    load
        Arrival rate divided by the capacity.
    """

    until_s: float
    load: float


def arrivals(
    deployment: Deployment,
    phases: tuple[Phase, ...],
    service_time_s: float,
    seed: int,
) -> Iterator[Call]:
    """Draw Poisson arrivals of all services, merged by time.

    Parameters
    ----------
    deployment
        Gives services, regions, tenants and capacity.
    phases
        Load as a share of capacity, in order of time.
    service_time_s
        Mean service time in seconds. The capacity in calls/s is the number of
        slots divided by it.
    seed
        Seed of all random draws, so that every system gets the same calls.
    """
    rng = random.Random(seed)
    # A random backend server is drawn for each call, so that each service and
    # region gets calls in proportion to its capacity.
    identities = list(deployment.identities())
    idempotent = {size.service: size.idempotent for size in deployment.services}
    capacity = len(identities) * deployment.limits.slots / service_time_s
    for number, now in enumerate(_times(phases, capacity, rng)):
        drawn = rng.choice(identities)
        yield Call(
            number=number,
            service=drawn.service,
            tenant=rng.choice(deployment.tenants),
            region=drawn.region,
            arrives_s=now,
            idempotent=idempotent[drawn.service],
        )


def _times(
    phases: tuple[Phase, ...],
    capacity: float,
    rng: random.Random,
) -> Iterator[float]:
    """Draw the times of Poisson arrivals."""
    now = 0.0
    for phase in phases:
        rate = capacity * phase.load
        now += rng.expovariate(rate)
        while now < phase.until_s:
            yield now
            now += rng.expovariate(rate)
        now = phase.until_s
