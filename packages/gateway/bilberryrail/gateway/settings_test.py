"""Tests that invalid settings are rejected with the name of the field."""

import json

import pytest

from bilberryrail.gateway.settings import parse_settings, read_settings

GOOD = {
    'forwarding': {'node': 'n1', 'zone': 'east', 'region': 'home'},
    'listen': {
        name: f'10.0.0.1:{port}'
        for port, name in enumerate(
            ('clients', 'ready', 'control', 'links', 'metrics'), 8000
        )
    },
    'service': 'board',
    'backend': '10.0.0.1:9000',
    'store': '10.0.0.9:9000',
}


def test_valid_settings_are_read():
    # Guards against defaults that hide a missing field.
    found = parse_settings(json.dumps(GOOD).encode()).unwrap()
    assert found.node == 'n1'
    assert found.forwarding.admission.cold_factor == 1.5


@pytest.mark.parametrize(
    ('bounds', 'reuse_s'),
    [({'grace': 6}, 2.0), ({'grace': 6, 'address_reuse_s': 5}, 5.0)],
)
def test_bounds_of_the_platform_may_be_passed_whole(bounds, reuse_s):
    # Guards against a deployment that does not state each bound, for which the
    # settings could not be filled in.
    admission = {'cold_factor': 1.5, 'address': bounds}
    forwarding = GOOD['forwarding'] | {'admission': admission}
    raw = json.dumps(GOOD | {'forwarding': forwarding}).encode()
    found = parse_settings(raw).unwrap().forwarding.admission
    assert found.address.address_reuse_s == reuse_s


@pytest.mark.parametrize(
    ('field', 'bad'),
    [('backend', 'nowhere'), ('service', None), ('listen', {})],
)
def test_invalid_field_is_named(field, bad):
    # Guards against a process that starts with incomplete settings.
    raw = json.dumps(GOOD | {field: bad}).encode()
    assert field in str(parse_settings(raw).unwrap_err())


def test_unreadable_file_is_named(tmp_path):
    # Guards against a traceback instead of an error.
    missing = tmp_path / 'node.json'
    assert str(missing) in str(read_settings(missing).unwrap_err())


def test_invalid_json_is_an_error():
    # Guards against an exception when a file is reloaded half-written.
    assert 'not valid JSON' in str(parse_settings(b'{"forw').unwrap_err())
