"""Finds the route of a request and the service that handles it."""

from random import Random

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.records import Route, RouteId, TrafficConfig


class RouteTable:
    """Routes of one configuration by host, the longest prefix first."""

    def __init__(self, config: TrafficConfig) -> None:
        self.config = config
        self.by_host: dict[str, list[Route]] = {}
        for added in config.routes:
            self.by_host.setdefault(added.host, []).append(added)
        for routes in self.by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any.

        The host may include a port.
        """
        name = host.lower()
        routes = self.by_host.get(name)
        if routes is None:
            routes = self.by_host.get(name.rpartition(':')[0], ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None


class SplitChooser:
    """Splits the requests of a route among its services by weight.

    This is smooth weighted round-robin: in any sequence of requests, the number
    for each service differs from its share by at most one request, so the
    proportions also hold in short windows.

    Parameters
    ----------
    random
        Selects where the rotation of a route starts, so that the nodes do not
        all begin with the same service.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.credits: dict[RouteId, dict[ServiceId, float]] = {}

    def choose(self, route: Route) -> ServiceId:
        """Return the service that handles the next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = {part.service: part.weight for part in route.parts}
        total = sum(weights.values())
        credit = self.credits.get(route.route)
        if credit is None or credit.keys() != weights.keys():
            credit = {
                service: self.random.random() * weight
                for service, weight in weights.items()
            }
            self.credits[route.route] = credit
        for service, weight in weights.items():
            credit[service] += weight
        chosen = max(weights, key=credit.__getitem__)
        credit[chosen] -= total
        return chosen


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
