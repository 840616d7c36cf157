"""Scenarios: load phases and faults at fixed times."""

from collections.abc import Callable
from dataclasses import dataclass

from bilberryrail.bench.backends import FakeBackend, Mode
from bilberryrail.bench.calls import Phase, System
from bilberryrail.bench.topology import Deployment
from bilberryrail.core.ids import NodeId

Backends = dict[NodeId, FakeBackend]

#: Load at the start of every run. It is light because nodes treat new backend
#: servers as cold and raise their limits over 10 s.
RAMP = Phase(12.0, 0.1)
#: Calls that arrive before this time, in seconds, are served but not counted.
WARM_UP_S = 13.0
#: Time at which faults begin, in seconds.
FAULT_S = 15.0
#: Time at which an availability zone that was taken out returns, in seconds.
ZONE_RETURN_S = 19.0
#: Factor by which the service times of the slowed backend server grow.
SLOW_FACTOR = 10.0

#: Injects a fault into the system or its backend servers.
Fault = Callable[[Deployment, System, Backends], None]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load and faults of one run.

    Attributes
    ----------
    phases
        Load over time.
    faults
        Time of each fault in seconds, and the function that injects it.
    """

    name: str
    phases: tuple[Phase, ...]
    faults: tuple[tuple[float, Fault], ...] = ()

    @property
    def end_s(self) -> float:
        """Time at which arrivals end."""
        return self.phases[-1].until_s


def _first_backend(
    deployment: Deployment,
    backends: Backends,
) -> FakeBackend:
    first = next(iter(deployment.identities()))
    return backends[first.node]


def _slow(deployment: Deployment, _: System, backends: Backends) -> None:
    _first_backend(deployment, backends).slow_factor = SLOW_FACTOR


def _fail_fast(deployment: Deployment, _: System, backends: Backends) -> None:
    _first_backend(deployment, backends).mode = Mode.FAIL_FAST


def _turn_cold(deployment: Deployment, _: System, backends: Backends) -> None:
    _first_backend(deployment, backends).turn_cold()


def _zone_out(deployment: Deployment, system: System, _: Backends) -> None:
    system.take_zone_out(list(deployment.zones)[1])


def _zone_in(
    deployment: Deployment,
    system: System,
    backends: Backends,
) -> None:
    """Bring the availability zone back with all backend servers cold."""
    zone = list(deployment.zones)[1]
    for identity in deployment.identities():
        if identity.zone == zone:
            backends[identity.node].turn_cold()
    system.bring_zone_back(zone)


def _steady(load: float) -> Scenario:
    return Scenario(f'load {load:.0%}', (RAMP, Phase(17.0, load)))


def _with_fault(name: str, fault: Fault) -> Scenario:
    return Scenario(name, (RAMP, Phase(19.0, 0.8)), ((FAULT_S, fault),))


SCENARIOS = (
    _steady(0.5),
    _steady(0.8),
    _steady(0.95),
    Scenario('burst 150%', (RAMP, Phase(13.0, 0.8), Phase(16.0, 1.5))),
    _with_fault('slow server, load 80%', _slow),
    _with_fault('fail-fast server, load 80%', _fail_fast),
    _with_fault('cold server, load 80%', _turn_cold),
    Scenario(
        'zone leaves and returns, load 50%',
        (RAMP, Phase(25.0, 0.5)),
        ((FAULT_S, _zone_out), (ZONE_RETURN_S, _zone_in)),
    ),
)
