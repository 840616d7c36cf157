"""Tests that operator state is applied in order and never reverted."""

from bilberryrail.core.ids import AvailabilityZoneId
from bilberryrail.forwarding.messages import OperatorSnapshot
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


def evacuated_before_a_restore():
    """Return the state of a node that applied an evacuation, then lost."""
    state = OperatorState()
    state.apply(ConfigRecord(0, config(3)))
    state.apply(ZoneRecord(1, EAST, is_out=True))
    state.replace(OperatorSnapshot(1, config(3), (), era=2))
    return state


def test_evacuation_that_the_store_lost_stays_in_force():
    # Guards against requests to an evacuated zone between the restore of the
    # store and the time when the operator writes the evacuation again.
    state = evacuated_before_a_restore()
    assert state.zones_out == {EAST}
    state.apply(ZoneRecord(1, EAST, is_out=True))
    state.drop_unconfirmed_zones()
    assert state.zones_out == {EAST}


def test_evacuation_ends_when_it_is_not_written_again():
    # Guards against a zone that stays out for ever because its end was written
    # before this node read the restored store.
    state = evacuated_before_a_restore()
    assert state.drop_unconfirmed_zones()
    assert not state.zones_out


def test_lost_evacuation_ends_with_its_record():
    # Guards against a zone that stays out after operators have taken it back.
    state = evacuated_before_a_restore()
    assert state.apply(ZoneRecord(1, EAST, is_out=False))
    assert not state.zones_out


def test_lost_evacuation_outlasts_a_second_restore_and_a_later_snapshot():
    # Guards against a node that forgets a lost evacuation because it reads the
    # whole state a second time.
    state = evacuated_before_a_restore()
    state.replace(OperatorSnapshot(2, config(4), (), era=2))
    state.replace(OperatorSnapshot(1, config(3), (), era=3))
    assert state.zones_out == {EAST}


def test_node_that_learns_of_a_lost_evacuation_from_a_peer_may_end_it():
    # Guards against a zone that stays out on nodes that were told of a lost
    # evacuation by others.
    behind = OperatorState()
    assert behind.replace(evacuated_before_a_restore().snapshot())
    assert behind.zones_out == {EAST}
    behind.drop_unconfirmed_zones()
    assert not behind.zones_out
