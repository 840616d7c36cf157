"""Tests of evacuations that a restored store has lost."""

import pytest
from twisted.internet.task import Clock

from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.operators import OperatorState, ZoneRecord
from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.unconfirmed_zones import (
    CONFIRM_WITHIN_S,
    UnconfirmedZones,
)

EAST = 'east'


class Bench:
    """A node whose store loses the evacuation of a zone."""

    def __init__(self):
        self.clock = Clock()
        self.operators = OperatorState()
        self.zones = UnconfirmedZones(self.clock, self.operators, ignore)
        self.dropped = []
        self.zones.on_dropped = lambda: self.dropped.append(
            self.clock.seconds()
        )
        self.operators.apply(ZoneRecord(0, EAST, is_out=True))
        self.restore(era=2)

    def restore(self, era):
        self.operators.replace(OperatorSnapshot(0, None, (), era=era))
        self.zones.operators_changed()


@pytest.fixture
def bench():
    return Bench()


def test_zone_comes_back_if_its_evacuation_is_not_written_again(bench):
    # Guards against a zone that stays out for ever on nodes that have not read
    # the end of its evacuation.
    bench.clock.advance(CONFIRM_WITHIN_S - 0.1)
    assert bench.operators.zones_out == {EAST}
    bench.clock.advance(0.2)
    assert not bench.operators.zones_out
    assert bench.dropped


def test_evacuation_that_is_written_again_stays_in_force(bench):
    # Guards against new requests to an evacuated zone some seconds after a
    # restore of the store.
    bench.operators.apply(ZoneRecord(0, EAST, is_out=True))
    bench.zones.operators_changed()
    bench.clock.advance(2 * CONFIRM_WITHIN_S)
    assert bench.operators.zones_out == {EAST}
    assert not bench.dropped


def test_second_restore_starts_the_wait_anew(bench):
    # Guards against an evacuation that ends before operators have had time to
    # write it to a store that was restored twice.
    bench.clock.advance(CONFIRM_WITHIN_S - 0.1)
    bench.restore(era=3)
    bench.clock.advance(CONFIRM_WITHIN_S - 0.1)
    assert bench.operators.zones_out == {EAST}
    bench.clock.advance(0.2)
    assert not bench.operators.zones_out
