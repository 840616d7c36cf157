"""Lets backend servers state limits and departures at random."""

from typing import Any, Final

from twisted.internet.task import deferLater

from bilberryrail.adapter.standins.backend_server import BackendServer
from bilberryrail.soak.checkers import StatedLimit
from bilberryrail.soak.driver import Driver
from bilberryrail.soak.faults import DEPARTURE_S, restart_if
from bilberryrail.soak.fleet import Fleet

#: A backend server states a limit for this time up to twice this time, in
#: seconds; the limit holds only after ``LIMIT_WINDOW_S`` of the checkers.
LIMIT_S: Final = 8.0

#: Highest limit that a backend server states, in requests per second.
MAX_LIMIT_PER_S: Final = 8.0


class StatementDriver(Driver):
    """Lets random backend servers state something in their answers.

    Attributes
    ----------
    lifted_at
        Time at which no limit is stated any more.
    """

    def __init__(self, reactor: Any, seed: int, fleet: Fleet) -> None:
        super().__init__(reactor, seed, fleet)
        self.lifted_at: float = 0

    async def run(self, ends_at: float, mean_pause_s: float) -> None:
        """Make statements until a time, with random pauses in seconds.

        All limits are lifted ``LIMIT_S`` after that time, because a service
        whose backend servers state limits cannot serve all requests again.
        """
        self.lifted_at = ends_at + LIMIT_S
        while True:
            pause_s = self.random.expovariate(1 / mean_pause_s)
            await deferLater(self.reactor, pause_s)
            if self.reactor.seconds() >= ends_at:
                return
            state = self.random.choice((self.limit, self.leave))
            host = self.random.choice(self.fleet.hosts).name
            self.remember(f'state_{state.__name__}', host)
            state(self.fleet.backends[host])

    def limit(self, backend: BackendServer) -> None:
        """State a limit, unless one is stated already."""
        if backend.rate_limit is not None:
            return
        backend.rate_limit = MAX_LIMIT_PER_S * self.random.random()
        now = self.reactor.seconds()
        until = min(self.lifted_at, now + LIMIT_S * (1 + self.random.random()))
        limit = StatedLimit(backend.instance, backend.rate_limit, now, until)
        self.fleet.observations.limits.append(limit)
        self.reactor.callLater(until - now, _lift, backend, limit)

    def leave(self, backend: BackendServer) -> None:
        """State in answers only, without a heartbeat, that it leaves."""
        backend.is_leaving = True
        self.reactor.callLater(
            DEPARTURE_S, restart_if, backend, backend.instance
        )


def _lift(backend: BackendServer, limit: StatedLimit) -> None:
    if backend.instance == limit.instance:
        backend.rate_limit = None
