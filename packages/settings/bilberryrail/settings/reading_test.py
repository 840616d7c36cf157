"""Tests of reading settings files."""

import json
from types import MappingProxyType

import pytest

from bilberryrail.settings.reading import (
    decode_node_settings,
    read_node_settings,
)

IDENTITY = MappingProxyType(
    {
        'node': 'n1',
        'service': 'bookings',
        'zone': 'ub1',
        'region': 'ulaanbaatar',
        'host': '127.0.0.1',
        'port': 7001,
        'http_port': 7002,
    }
)


def settings(**changes):
    return {
        'engine': {'identity': dict(IDENTITY)},
        'log': {'url': 'http://127.0.0.1:9000'},
        'backend': {'port': 8000},
        'operator_port': 7003,
        **changes,
    }


def encoded(**changes):
    return json.dumps(settings(**changes)).encode()


def test_valid_file_is_read(tmp_path):
    """Guards against a valid file that is rejected."""
    path = tmp_path / 'node.json'
    path.write_bytes(encoded())
    read = read_node_settings(path).unwrap()
    assert read.engine.identity.node == 'n1'
    assert read.log.stream == 'bilberryrail'


@pytest.mark.parametrize(
    ('raw', 'field', 'expected_text'),
    [
        (encoded(operator_prt=1), 'operator_prt', "mean 'operator_port'"),
        (encoded(backend={'port': 70000}), 'backend.port', '<= 65535'),
        (encoded(backend={'port': 'x'}), 'backend.port', 'int'),
        (encoded(backend={}), 'backend.port', 'missing'),
        (encoded(log={'url': 'ftp://x'}), 'log.url', 'https?'),
        (
            encoded(log={'url': 'http://log', 'read_wait_s': 3}),
            '',
            'below 3.0 s',
        ),
        (
            encoded(
                engine={'identity': dict(IDENTITY), 'relay': {'seads': []}}
            ),
            'engine.relay.seads',
            "mean 'seeds'",
        ),
        (
            encoded(
                engine={
                    'identity': dict(IDENTITY),
                    'relay': {'seeds': [{'hots': 'a', 'port': 1}]},
                },
            ),
            'engine.relay.seeds[0].hots',
            "mean 'host'",
        ),
        (b'{"log_level": "info", "log_level": "info"}', 'log_level', 'twice'),
        (b'{"log_level": "\xff"}', '', 'UTF-8'),
        (b'{"log', '', 'not JSON'),
        (b'[' * 100_000, '', 'not JSON'),
        (b'[]', '', 'object'),
    ],
)
def test_error_names_the_field_and_what_is_allowed(raw, field, expected_text):
    """Guards against errors that do not say what is wrong, and where."""
    error = decode_node_settings(raw, 'node.json').unwrap_err()
    assert error.field == field
    assert expected_text in str(error)
    assert str(error).startswith('node.json: ')


def test_missing_file_is_an_error(tmp_path):
    """Guards against a traceback for a file that does not exist."""
    error = read_node_settings(tmp_path / 'none.json').unwrap_err()
    assert 'No such file' in str(error)
