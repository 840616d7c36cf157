"""Sends requests that crash the backend servers of a fleet."""

import itertools
from functools import partial
from typing import Any, Final

from twisted.internet.defer import ensureDeferred

from bilberryrail.adapter import names
from bilberryrail.adapter.standins.backend_server import CRASHING
from bilberryrail.forwarding.records import HttpRequest
from bilberryrail.soak import topology
from bilberryrail.soak.checkers import Crash
from bilberryrail.soak.driver import Driver
from bilberryrail.soak.fleet import Fleet

#: Largest number of different crashing requests in one soak.
MAX_CRASHING: Final = 3

#: Service from whose hosts all crashing requests come.
CALLER: Final = topology.SERVICES[-1]

#: Interval at which each crashing request is sent, in seconds.
INTERVAL_S: Final = 0.6

#: Time from a crash until the backend server is back: from this to twice this
#: time, in seconds.
RESTART_S: Final = 1.5

_TIMEOUT_S: Final = 1.5


class CrashDriver(Driver):
    """Sends crashing requests again and again, at random nodes."""

    def __init__(self, reactor: Any, seed: int, fleet: Fleet) -> None:
        super().__init__(reactor, seed, fleet)
        self.numbers = itertools.count(1)
        for host, backend in fleet.backends.items():
            backend.on_crashing = partial(self.crash, host)

    def start(self, faults_s: float, ends_at: float) -> None:
        """Send crashing requests until a time, each from a random time on."""
        for index in range(self.random.randrange(MAX_CRASHING + 1)):
            target = b'%b%d' % (CRASHING, index)
            start_s = faults_s / 2 * self.random.random()
            self.reactor.callLater(
                start_s, self._send_repeatedly, target, ends_at
            )

    def crash(self, host: str) -> None:
        """End the backend server of a host, and start it again later."""
        now = self.reactor.seconds()
        self.remember('crash_backend', host)
        crash = Crash(now, self.fleet.backends[host].instance)
        self.fleet.observations.crashes.append(crash)
        self.fleet.close_backend(host)
        restart_s = RESTART_S * (1 + self.random.random())
        self.reactor.callLater(restart_s, self._restart, host)

    def _restart(self, host: str) -> None:
        self.fleet.backends[host].restart()
        self.fleet.open_backend(host)

    def _send_repeatedly(self, target: bytes, ends_at: float) -> None:
        hosts = [one for one in self.fleet.hosts if one.service == CALLER]
        if hosts and self.reactor.seconds() < ends_at:
            ensureDeferred(self._send(target, self.random.choice(hosts)))
            self.reactor.callLater(
                INTERVAL_S, self._send_repeatedly, target, ends_at
            )

    async def _send(self, target: bytes, host: topology.Host) -> None:
        request_id = f'{host.name}/crash-{next(self.numbers)}'
        path = topology.LOOKUP.prefix.rstrip('/').encode() + target
        headers = (
            (b'Host', topology.LOOKUP.host.encode()),
            (names.ATTEMPT_ID, request_id.encode()),
            (names.DEADLINE_MS, b'%d' % int(_TIMEOUT_S * 1000)),
        )
        # The node may be down or cut the request; the next one is sent anyway.
        await self.send(
            host.address('clients'),
            HttpRequest(b'GET', path, headers, b''),
            _TIMEOUT_S,
        )
