"""Silences all open connections to the store, then changes the configuration."""

from typing import Final

from twisted.internet.task import deferLater

from bilberryrail.soak import topology
from bilberryrail.soak.checkers import AddedRoute
from bilberryrail.soak.driver import Driver

#: Time from an acknowledged configuration until it is in force, in seconds.
CONFIG_S: Final = 2.5

#: Time for which nodes are excused after their connections have failed, in
#: seconds.
EXCUSED_S: Final = 4.0

#: Longest time from the silence until the configuration changes, in seconds.
MAX_DELAY_S: Final = 6.0

#: Time in which the new route is called, in seconds, and time for calls in
#: flight to end before the next configuration drops that route.
CHECKED_S: Final = 1.0
IN_FLIGHT_S: Final = 1.5


class SilentStoreDriver(Driver):
    """Lets the connections to the store stay open and carry nothing more.

    New connections work.
    """

    async def run(self, ends_at: float) -> None:
        """Silence the connections again and again until a time."""
        while self.reactor.seconds() < ends_at:
            await self.pause(MAX_DELAY_S)
            self._silence()
            silent_at = self.reactor.seconds()
            await self.pause(MAX_DELAY_S)
            self.fleet.write_config(self.random.randrange(1, 100))
            written_at = self.reactor.seconds()
            due_at = max(written_at + CONFIG_S, silent_at + EXCUSED_S)
            await self._sleep(due_at - written_at)
            await self._call_newest_route()

    def _silence(self) -> None:
        self.remember('silence_store')
        for proxy in self.fleet.store_proxies.values():
            proxy.silence_open()

    async def _call_newest_route(self) -> None:
        route = self.fleet.newest_route
        now = self.reactor.seconds()
        added = AddedRoute(route, now, now + CHECKED_S + IN_FLIGHT_S)
        self.fleet.observations.added_routes.append(added)
        for caller in self.fleet.callers:
            caller.routes = (*topology.ROUTES, route)
        await self._sleep(CHECKED_S)
        for caller in self.fleet.callers:
            caller.routes = topology.ROUTES
        await self._sleep(IN_FLIGHT_S)

    async def _sleep(self, seconds: float) -> None:
        await deferLater(self.reactor, seconds)
