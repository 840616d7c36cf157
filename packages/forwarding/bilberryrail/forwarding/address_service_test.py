"""Tests of the service that an address belongs to."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.address_service import AddressService
from bilberryrail.forwarding.backend_test import LEDGER
from bilberryrail.forwarding.fixtures_test import BOARD


@pytest.fixture
def address():
    found = AddressService(2)
    found.seen(BOARD, Seconds(10))
    return found


@pytest.mark.parametrize(('now', 'service'), [(11.9, BOARD), (12, None)])
def test_service_is_certain_until_the_address_may_be_reused(
    address, now, service
):
    # Guards against requests to a backend server of another service at a reused
    # address, and against a wait for a heartbeat after each restart.
    assert address.current(Seconds(now)) == service


def test_service_is_forgotten_if_the_platform_names_another(address):
    # Guards against using a service that the settings no longer name.
    address.reassigned(BOARD)
    assert address.current(Seconds(11)) == BOARD
    address.reassigned(LEDGER)
    assert address.current(Seconds(11)) is None
