"""Tests that what operators want is followed and never goes back."""

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
    # Guards against a write that took effect late and reverts a newer one.
    state = OperatorState()
    state.apply(ConfigRecord(1, config(7)))
    assert not state.apply(ConfigRecord(2, config(5)))
    assert state.config.version == 7


def test_record_is_applied_once():
    # Guards against a zone that is taken out again by a repeated read.
    state = OperatorState()
    state.apply(ZoneRecord(1, EAST, is_out=True))
    state.apply(ZoneRecord(2, EAST, is_out=False))
    assert not state.apply(ZoneRecord(1, EAST, is_out=True))
    assert not state.zones_out


def test_snapshot_of_another_node_replaces_an_earlier_state():
    # Guards against a node that the store turns away and that keeps sending
    # into an evacuated zone.
    ahead = OperatorState()
    ahead.apply(ConfigRecord(1, config(3)))
    ahead.apply(ZoneRecord(2, EAST, is_out=True))
    behind = OperatorState()
    behind.apply(ConfigRecord(1, config(3)))
    assert behind.replace(ahead.snapshot())
    assert behind.zones_out == {EAST}


def test_older_snapshot_is_ignored():
    # Guards against two nodes that tell each other old states.
    behind = OperatorState()
    snapshot = behind.snapshot()
    ahead = OperatorState()
    ahead.apply(ZoneRecord(4, EAST, is_out=True))
    assert not ahead.replace(snapshot)
    assert ahead.zones_out == {EAST}


def test_unreadable_record_is_stepped_over():
    # Guards against one bad record that stops all later ones.
    state = OperatorState()
    state.apply(SkippedRecord(1))
    assert state.apply(ConfigRecord(2, config(1)))
    assert state.next_offset == 3
