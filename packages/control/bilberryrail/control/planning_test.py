"""Guards against plans that do not show the effects of a change."""

import json

import pytest

from bilberryrail.control.intents import parse_intent
from bilberryrail.control.plan_json import plan_from_json, plan_to_json
from bilberryrail.control.planning import change_of, plan
from bilberryrail.control.replay import replay
from bilberryrail.core.records import ClusterState, Join, LogEntry, Member

FIRST = {
    'zones': [
        {'zone': 'ub1', 'region': 'ulaanbaatar'},
        {'zone': 'ub2', 'region': 'ulaanbaatar'},
        {'zone': 'da1', 'region': 'darkhan'},
    ],
    'services': [
        {
            'service': 'bookings',
            'idempotent': False,
            'regions': ['ulaanbaatar', 'darkhan'],
            'limits': {'slots': 10, 'connections': 250, 'cold_slots': 2},
            'expected_concurrency': 15,
        },
    ],
    'tenants': [{'tenant': 'club', 'home_regions': ['darkhan']}],
}


def intent(**fields):
    return parse_intent(json.dumps(fields).encode()).unwrap()


def apply(state, record):
    return replay(state, [LogEntry(state.offset + 1, record)])[0]


@pytest.fixture
def state():
    made = plan(ClusterState(), intent(**FIRST), 'first').unwrap()
    current = apply(ClusterState(), change_of(made, 'board'))
    for index, zone in enumerate(('ub1', 'ub2', 'da1')):
        region = current.zones[zone].region
        joined = Member(zone, index, 'bookings', zone, region, 'h', 1, 2)
        current = apply(current, Join(zone, joined))
    return current


def test_plan_shows_remaining_capacity(state):
    """Operators must see whether the remaining zones can carry the load."""
    made = plan(state, intent(zones_out=['ub1']), 'p').unwrap()
    capacity = made.capacity[0]
    assert (capacity.slots_before, capacity.slots_after) == (30, 20)
    assert capacity.sufficient
    both = plan(state, intent(zones_out=['ub1', 'ub2']), 'p').unwrap()
    assert not both.capacity[0].sufficient


def test_plan_shows_that_a_returning_zone_is_cold(state):
    """A returning zone cannot carry its full load at once."""
    out = plan(state, intent(zones_out=['ub1']), 'p').unwrap()
    after = apply(state, change_of(out, 'board'))
    back = plan(after, intent(zones_in=['ub1']), 'q').unwrap()
    assert back.capacity[0].slots_at_once == 22
    assert back.capacity[0].slots_after == 30


def test_plan_warns_when_home_regions_lose_a_service(state):
    """Calls of a tenant cannot leave its home regions."""
    made = plan(state, intent(zones_out=['da1']), 'p').unwrap()
    assert any('tenant club can no longer' in line for line in made.summary)


def test_plan_is_unchanged_by_encoding_and_decoding(state):
    """Operators must confirm exactly the plan that they were shown."""
    made = plan(state, intent(zones_out=['ub1']), 'p').unwrap()
    assert plan_from_json(plan_to_json(made)).unwrap() == made


@pytest.mark.parametrize(
    ('fields', 'place'),
    [
        ({'zones_out': ['nowhere']}, 'zones_out'),
        ({'zones_in': ['ub1']}, 'intent'),
        ({'tenants': [{'tenant': 't', 'home_regions': ['x']}]}, 'tenants[0]'),
        ({'zones': [{'zone': 'ub1', 'region': 'darkhan'}]}, 'intent'),
    ],
)
def test_intent_that_does_not_fit_is_refused(state, fields, place):
    """A wrong name must be reported before the plan is confirmed."""
    error = plan(state, intent(**fields), 'p').unwrap_err()
    assert error.field.startswith(place)
    assert error.reason


@pytest.mark.parametrize(
    ('raw', 'place'),
    [
        (b'{"zones_out": ["a"], "zones_in": ["a"]}', 'zones_out'),
        (b'{"zone_out": ["a"]}', 'intent'),
        (b'{"zones_out": ["A B"]}', 'zones_out[0]'),
        (b'{"zones_out": ["a", "a"]}', 'zones_out'),
        (b'{"services": [{"service": "s"}]}', 'services[0]'),
        (b'not json', 'intent'),
        (b'\xff', 'intent'),
    ],
)
def test_invalid_intent_is_refused_with_its_field(raw, place):
    """The error must name the field that the operator has to correct."""
    assert parse_intent(raw).unwrap_err().field == place


@pytest.mark.parametrize(
    'raw',
    [
        b'{}',
        b'[]',
        b'{"record_id": "a", "base_offset": 0, "edits": []}',
        b'{"record_id": "a", "base_offset": 0, "edits": [{}]}',
        b'{"record_id": "", "base_offset": 0, "edits": [{}]}',
    ],
)
def test_damaged_plan_is_refused(raw):
    """A damaged plan file must not be applied in part."""
    assert plan_from_json(raw).unwrap_err().reason
