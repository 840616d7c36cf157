"""Guards against invalid settings that are accepted."""

import msgspec
import pytest

from bilberryrail.control.settings import NodeIdentity

GOOD = {
    'node': 'ub1-bookings-1',
    'service': 'bookings',
    'zone': 'ub1',
    'region': 'ulaanbaatar',
    'host': '127.0.0.1',
    'port': 7001,
    'http_port': 8001,
}


@pytest.mark.parametrize('field', ['node', 'service', 'zone', 'region'])
def test_names_are_checked(field):
    """Guards against a pattern that has no effect, as it once had none."""
    with pytest.raises(msgspec.ValidationError, match=field):
        msgspec.convert({**GOOD, field: 'Two Words'}, type=NodeIdentity)


def test_good_identity_is_read():
    """Guards against a check that refuses valid names."""
    assert msgspec.convert(GOOD, type=NodeIdentity).node == 'ub1-bookings-1'
