"""Behaviour of control planes whose log comes back from an older copy."""

from bilberryrail.control import messages
from bilberryrail.core.ids import Offset
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    Change,
    Verdict,
)


def _change(name: str, base: int) -> Change:
    zone = AvailabilityZoneConfig(zone=name, region='a')
    return Change(name, Offset(base), 'board', (AvailabilityZoneEdit(zone),))


def test_change_at_an_offset_given_out_again_is_in_force(network):
    """Guards against a confirmed change that no node applies after a restore.

    The nodes take the record for one that they have applied before.
    """
    kept = list(network.log.records)
    network.append(_change('lost', network.log.end))
    network.run(2)
    network.log.up = False
    network.log.records = kept
    network.run(2)
    network.log.up = True
    change = _change('confirmed', network.log.end)
    network.hand_event('n7', messages.AppendRequested(change))
    network.run(5)
    outcomes = [
        plane.outcome(change.record_id) for plane in network.planes.values()
    ]
    assert [outcome.verdict for outcome in outcomes if outcome] == [
        Verdict.ACCEPTED for _ in network.planes
    ]
