"""Guards against views that differ from the state they are built from."""

import random
from types import MappingProxyType

import pytest

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.records import (
    Announcement,
    AvailabilityZoneConfig,
    BackendLimits,
    ClusterState,
    Member,
    ServiceConfig,
)
from bilberryrail.policy.view import ClusterView

IDENTITY = NodeIdentity('n0', 's0', 'z0', 'r0', '127.0.0.1', 1, 1)
LIMITS = BackendLimits(slots=1, connections=1)
NODES = tuple(f'n{number}' for number in range(12))
REGIONS = MappingProxyType({'z0': 'r0', 'z1': 'r0', 'z2': 'r1'})


def some_member(rng):
    zone = rng.choice(list(REGIONS))
    return Member(
        node=rng.choice(NODES),
        incarnation=rng.randrange(9),
        service=f's{rng.randrange(3)}',
        zone=zone,
        region=REGIONS[zone],
        host='h',
        port=1,
        http_port=1,
    )


def some_state(rng, offset, before):
    """Return a state with one random change, as replay would make it."""
    members = dict(before.members)
    services = dict(before.services)
    zones = dict(before.zones)
    match rng.randrange(4):
        case 0:
            joined = some_member(rng)
            members[joined.node] = Announcement(joined, offset)
        case 1 if members:
            members.pop(rng.choice(sorted(members)))
        case 2:
            regions = tuple(rng.sample(['r0', 'r1'], rng.randint(1, 2)))
            service = f's{rng.randrange(3)}'
            config = ServiceConfig(service, True, regions, LIMITS)
            services[service] = config
        case _:
            zone = rng.choice(list(REGIONS))
            is_out = rng.random() < 0.5
            config = AvailabilityZoneConfig(zone, REGIONS[zone], is_out)
            zones[zone] = config
    return ClusterState(offset, services, {}, zones, members)


def answers(view):
    return {
        (service, homes): view.candidates(service, homes)
        for service in ('s0', 's1', 's2')
        for homes in ((), ('r0',), ('r1',))
    }


@pytest.mark.parametrize('seed', range(5))
def test_updated_view_equals_a_fresh_one(seed):
    """Guards against services that are not grouped again after a change.

    Such a service would, for example, keep candidates in a zone that is out.
    """
    rng = random.Random(seed)
    state = ClusterState()
    view = ClusterView(state, IDENTITY, {}, frozenset())
    for offset in range(300):
        state = some_state(rng, offset, state)
        unlogged = {}
        if rng.random() < 0.2:
            found = some_member(rng)
            unlogged[found.node] = found
        leaving = frozenset(rng.sample(NODES, 2))
        view = ClusterView(state, IDENTITY, unlogged, leaving, view)
        fresh = ClusterView(state, IDENTITY, unlogged, leaving)
        assert answers(view) == answers(fresh)
        assert view.has_peers == fresh.has_peers
