"""Hosts, services and routes of a soak; all addresses are loopback ones."""

import json
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from bilberryrail.adapter.standins.backend_server import HEALTH_PATH
from bilberryrail.adapter.standins.caller import ClientRoute
from bilberryrail.gateway.settings import Address

SERVICES: Final = ('board', 'desk')

#: Zones and their regions: two regions with two zones each, as in the users'
#: deployment.
ZONES: Final = (
    ('ub-east', 'ulaanbaatar'),
    ('ub-west', 'ulaanbaatar'),
    ('dk-north', 'darkhan'),
    ('dk-south', 'darkhan'),
)

#: Only region in which home bookings may be served.
HOME_REGION: Final = 'ulaanbaatar'
#: Rate in requests per second that the configuration allows for a cold backend
#: server. In any second it may get at most this number multiplied by
#: ``COLD_FACTOR``, plus ``COLD_SLACK``.
COLD_PER_S: Final = 40.0
COLD_FACTOR: Final = 1.5
COLD_SLACK: Final = 5.0
#: Time in seconds that a node may take to shut down after SIGTERM.
GRACE_S: Final = 6.0

#: Default timeout of all routes, in seconds.
TIMEOUT_S: Final = 1.2

LOOKUP: Final = ClientRoute('club.example', '/status/', is_idempotent=True)
BOOKING: Final = ClientRoute('club.example', '/book/', is_idempotent=False)
HOME_BOOKING: Final = ClientRoute('club.example', '/home/', is_idempotent=False)
ROUTES: Final = (LOOKUP, BOOKING, HOME_BOOKING)
#: Path prefix of the route that shows which version is in force on a node.
VERSION_PREFIX: Final = '/version/'
#: Only service that may run a request, by the path prefix of its route.
ONLY_SERVICES: Final = MappingProxyType(
    {
        LOOKUP.prefix: 'board',
        VERSION_PREFIX: 'board',
        HOME_BOOKING.prefix: 'desk',
    }
)

#: Number of loopback networks; seeds that differ by less do not share one.
_NETWORKS: Final = 200
_PORTS: Final = MappingProxyType(
    {
        'clients': 8300,
        'backend': 8301,
        'ready': 8302,
        'control': 8306,
        'store': 8309,
        'links': 7620,
        'public_links': 7720,
        'metrics': 9464,
    }
)


@dataclass(frozen=True, slots=True)
class Host:
    """One host: a node and the backend server beside it.

    Attributes
    ----------
    ip
        Loopback address that only this host uses.
    """

    name: str
    ip: str
    zone: str
    region: str
    service: str

    def address(self, port: str) -> Address:
        """Return the address of the port with a given name."""
        return Address(self.ip, _PORTS[port])

    def address_text(self, port: str) -> str:
        """Return the address of a port in the form that settings use."""
        return f'{self.ip}:{_PORTS[port]}'

    def settings(self) -> dict[str, Any]:
        """Return the content of the node's settings file."""
        return {
            'forwarding': {
                'node': self.name,
                'zone': self.zone,
                'region': self.region,
                'admission': {
                    'cold_factor': COLD_FACTOR,
                    'cold_slack': COLD_SLACK,
                },
            },
            'listen': {
                name: self.address_text(name)
                for name in (
                    'clients',
                    'ready',
                    'control',
                    'links',
                    'public_links',
                    'metrics',
                )
            },
            'service': self.service,
            'backend': self.address_text('backend'),
            'store': self.address_text('store'),
            'lifecycle': {'grace_s': GRACE_S},
        }


def make_hosts(network: int, count: int) -> list[Host]:
    """Make hosts that are spread over zones and services.

    ``network``, such as the seed of the soak, selects the loopback network of
    their addresses.
    """
    octet = 1 + network % _NETWORKS
    hosts = []
    for index in range(count):
        zone, region = ZONES[index % len(ZONES)]
        service = SERVICES[index // len(ZONES) % len(SERVICES)]
        ip = f'127.{octet}.{1 + index % len(ZONES)}.{10 + index}'
        hosts.append(Host(f'n{index}', ip, zone, region, service))
    return hosts


def store_address(network: int) -> Address:
    """Return the address of the store."""
    octet = 1 + network % _NETWORKS
    return Address(f'127.{octet}.250.1', _PORTS['store'])


def version_route(version: int) -> ClientRoute:
    """Return the route that only one version of the configuration has."""
    return ClientRoute(
        'club.example', f'{VERSION_PREFIX}{version}/', is_idempotent=True
    )


def configuration(
    version: int, board_weight: int, timeout_s: float = TIMEOUT_S
) -> bytes:
    """Encode a configuration; bookings are split between both services."""
    routes = {
        'lookup': _route(LOOKUP, service='board'),
        'version': _route(version_route(version), service='board'),
        'booking': _route(
            BOOKING,
            traffic_split=[
                {'service': 'board', 'weight': board_weight},
                {'service': 'desk', 'weight': 100 - board_weight},
            ],
        ),
        'home': _route(
            HOME_BOOKING,
            service='desk',
            allowed_regions=[HOME_REGION],
        ),
    }
    services = {
        name: {
            'health_check': HEALTH_PATH,
            'max_connections': 100,
            'protocol': 'h1',
            'tls': False,
            'cold_period': 3,
            'cold_per_s': COLD_PER_S,
        }
        for name in SERVICES
    }
    for route in routes.values():
        route['timeout'] = timeout_s
    body = {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {},
    }
    return json.dumps(body).encode()


def _route(client_route: ClientRoute, **fields: Any) -> dict[str, Any]:
    kind = 'safe' if client_route.is_idempotent else 'unsafe'
    return {
        'host': client_route.host,
        'path_prefix': client_route.prefix,
        'kind': kind,
        'target_latency': 0.3,
        'priority': 1,
        'max_attempts': 2,
    } | fields
