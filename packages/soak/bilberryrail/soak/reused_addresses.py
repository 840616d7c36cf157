"""Gives the addresses of backend servers to others, of another service."""

from typing import Any, Final

from twisted.internet.task import deferLater

from bilberryrail.soak import topology
from bilberryrail.soak.driver import Driver
from bilberryrail.soak.fleet import Fleet

#: Shortest and longest time from the end of a backend server until its address
#: belongs to another one, in seconds. The shortest one is ``reuse_after``.
MIN_PAUSE_S: Final = 2.0
MAX_PAUSE_S: Final = 4.0

#: Longest delay of the first heartbeat of a backend server, in seconds.
MAX_SILENCE_S: Final = 2.5

#: Longest time for which a backend server runs, in seconds.
MAX_RUN_S: Final = 3.0


class ReusedAddressDriver(Driver):
    """Replaces backend servers by others of the other service.

    Nodes are not told: their settings do not change. Hosts of the home region
    keep their backend servers, so that both services are always there.
    """

    def __init__(self, reactor: Any, seed: int, fleet: Fleet) -> None:
        super().__init__(reactor, seed, fleet)
        self.hosts = [
            host.name
            for host in fleet.hosts
            if host.region != topology.HOME_REGION
        ]

    async def run(self, ends_at: float) -> None:
        """Replace one backend server after another until a time."""
        while self.reactor.seconds() < ends_at:
            await self.pause(MAX_RUN_S)
            await self._replace(self.random.choice(self.hosts))

    async def _replace(self, host: str) -> None:
        backend = self.fleet.backends[host]
        self.remember('end_backend', host)
        backend.is_down = True
        self.fleet.close_backend(host)
        pause_s = self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        await deferLater(self.reactor, pause_s)
        self.remember('reuse_address', host)
        backend.service = _other_service(backend.service)
        backend.restart()
        backend.silent_until = self.reactor.seconds() + self.random.uniform(
            0, MAX_SILENCE_S
        )
        self.fleet.open_backend(host)


def _other_service(service: str) -> str:
    first, second = topology.SERVICES
    return first if service == second else second
