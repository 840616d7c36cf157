"""Tests that operator state is applied in order and never reverted."""

from bilberryrail.core.ids import AvailabilityZoneId
from bilberryrail.forwarding.operators import (
    ConfigRecord,
    OperatorState,
    SkippedRecord,
    ZoneRecord,
)
from bilberryrail.forwarding.records import ConfigVersion, TrafficConfig

EAST = AvailabilityZoneId('east')


def config(version):
    return TrafficConfig(ConfigVersion(version), (), {})


def test_older_version_is_never_adopted():
    # Guards against a delayed write that reverts a newer configuration.
    state = OperatorState()
    state.apply(ConfigRecord(1, config(7)))
    assert not state.apply(ConfigRecord(2, config(5)))
    assert state.config.version == 7


def test_record_is_applied_once():
    # Guards against taking a zone out again because a record was read twice.
    state = OperatorState()
    state.apply(ZoneRecord(1, EAST, is_out=True))
    state.apply(ZoneRecord(2, EAST, is_out=False))
    assert not state.apply(ZoneRecord(1, EAST, is_out=True))
    assert not state.zones_out


def test_snapshot_of_another_node_replaces_an_earlier_state():
    # Guards against a node that the store refuses to serve and that keeps
    # sending requests to an evacuated zone.
    ahead = OperatorState()
    ahead.apply(ConfigRecord(1, config(3)))
    ahead.apply(ZoneRecord(2, EAST, is_out=True))
    behind = OperatorState()
    behind.apply(ConfigRecord(1, config(3)))
    assert behind.replace(ahead.snapshot())
    assert behind.zones_out == {EAST}


def test_older_snapshot_is_ignored():
    # Guards against two nodes that exchange outdated state.
    behind = OperatorState()
    snapshot = behind.snapshot()
    ahead = OperatorState()
    ahead.apply(ZoneRecord(4, EAST, is_out=True))
    assert not ahead.replace(snapshot)
    assert ahead.zones_out == {EAST}


def test_record_that_cannot_be_decoded_is_skipped():
    # Guards against one invalid record that blocks all later ones.
    state = OperatorState()
    state.apply(SkippedRecord(1))
    assert state.apply(ConfigRecord(2, config(1)))
    assert state.position.offset == 3
