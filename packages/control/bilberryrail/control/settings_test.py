"""Guards against settings that are accepted although they are wrong."""

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
    """The pattern was once attached to the type in a way that had no effect."""
    with pytest.raises(msgspec.ValidationError, match=field):
        msgspec.convert({**GOOD, field: 'Two Words'}, type=NodeIdentity)


def test_good_identity_is_read():
    """The check must not refuse names that are in use."""
    assert msgspec.convert(GOOD, type=NodeIdentity).node == 'ub1-bookings-1'
