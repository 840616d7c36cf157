"""Guards against nodes that reach different states from the same log."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryrail.control.replay import MAX_OUTCOMES, replay
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    BackendLimits,
    Change,
    ClusterState,
    Evict,
    Join,
    Leave,
    LogEntry,
    Member,
    ServiceConfig,
    ServiceEdit,
    TenantConfig,
    TenantEdit,
    Unreadable,
    Verdict,
)

EMPTY = ClusterState()


def member(node='n1', incarnation=1, zone='ub1'):
    return Member(node, incarnation, 'court-status', zone, 'ub', 'h', 1, 2)


def zone_edit(zone='ub1', region='ub', out=False):
    return AvailabilityZoneEdit(AvailabilityZoneConfig(zone, region, out=out))


def service_edit(service='court-status', slots=10):
    limits = BackendLimits(slots=slots, connections=250)
    return ServiceEdit(ServiceConfig(service, True, ('ub',), limits))


def change(record_id, base, *edits):
    return Change(record_id, base, 'board', edits)


def log(*records):
    return [LogEntry(offset, record) for offset, record in enumerate(records)]


def test_first_of_two_conflicting_changes_is_accepted():
    """Two plans made from the same state must not both take effect."""
    entries = log(
        change('a', -1, zone_edit('ub1'), zone_edit('ub2')),
        change('b', 0, zone_edit('ub1', out=True)),
        change('c', 0, zone_edit('ub2', out=True)),
    )
    state, outcomes = replay(EMPTY, entries)
    assert [found.verdict for found in outcomes] == [
        Verdict.ACCEPTED,
        Verdict.ACCEPTED,
        Verdict.REJECTED,
    ]
    assert 'offset 1' in outcomes[2].reason
    assert not state.zones['ub2'].out


def test_changes_of_other_scopes_do_not_conflict():
    """A single scope would reject most plans at 24,000 changes a day."""
    entries = log(
        change('a', -1, service_edit('bookings')),
        change('b', -1, service_edit('invoices')),
    )
    _, outcomes = replay(EMPTY, entries)
    assert {found.verdict for found in outcomes} == {Verdict.ACCEPTED}


def test_duplicate_of_a_change_is_dropped():
    """A retry after a lost answer must not lead to a rejected change."""
    first = change('a', -1, service_edit())
    state, outcomes = replay(EMPTY, log(first, first))
    assert len(outcomes) == 1
    assert state.outcomes['a'].verdict is Verdict.ACCEPTED


def test_change_with_a_bad_edit_changes_nothing():
    """No part of a rejected change may take effect."""
    bad = change('a', -1, service_edit('bookings'), service_edit(slots=0))
    state, outcomes = replay(EMPTY, log(bad))
    assert outcomes[0].verdict is Verdict.REJECTED
    assert 'slots' in outcomes[0].reason
    assert not state.services


def test_zone_cannot_move_to_another_region():
    """A moved zone would serve calls outside the home regions of a tenant."""
    entries = log(
        change('a', -1, zone_edit()),
        change('b', 0, zone_edit(region='darkhan')),
    )
    _, outcomes = replay(EMPTY, entries)
    assert 'cannot move' in outcomes[1].reason


def test_base_offset_from_the_future_is_rejected():
    """A forged base offset would bypass the conflict check."""
    _, outcomes = replay(EMPTY, log(change('a', 99, service_edit())))
    assert outcomes[0].verdict is Verdict.REJECTED


def test_refresh_before_an_eviction_prevents_it():
    """A reader with a stale view must not evict a live member."""
    entries = log(
        Join('j1', member()),
        Join('j2', member()),
        Evict('e1', 'n1', incarnation=1, last_seen=0),
    )
    state, _ = replay(EMPTY, entries)
    assert 'n1' in state.members


def test_silent_member_is_evicted():
    """Each new ingress would waste an attempt on a crashed host."""
    evict = Evict('e1', 'n1', incarnation=1, last_seen=0)
    state, _ = replay(EMPTY, log(Join('j1', member()), evict))
    assert not state.members


def test_late_leave_of_an_old_incarnation_is_ignored():
    """The Leave of a replaced process must not remove its successor."""
    entries = log(
        Join('j1', member(incarnation=1)),
        Join('j2', member(incarnation=2)),
        Leave('l1', 'n1', incarnation=1),
    )
    state, _ = replay(EMPTY, entries)
    assert state.members['n1'].member.incarnation == 2


def test_unreadable_record_does_not_block_the_log():
    """One malformed record once blocked all later changes on every node."""
    entries = log(Unreadable(b'\xc1'), change('a', 0, service_edit()))
    state, outcomes = replay(EMPTY, entries)
    assert outcomes[0].verdict is Verdict.ACCEPTED
    assert state.offset == 1


def test_change_keeps_the_same_members_object():
    """With a copy, each view would compare 19,000 members for each change."""
    joined, _ = replay(EMPTY, log(Join('j1', member())))
    entry = LogEntry(1, change('a', 0, service_edit()))
    assert replay(joined, [entry])[0].members is joined.members


def test_gap_is_an_error():
    """After a missing record, this node would differ from the others."""
    with pytest.raises(ValueError, match='does not follow'):
        replay(EMPTY, [LogEntry(3, Join('j1', member()))])


def test_outcomes_are_bounded():
    """Unbounded verdicts would exceed the memory limit of a node."""
    records = [
        change(f'c{index}', index - 1, service_edit(slots=1 + index % 5))
        for index in range(MAX_OUTCOMES + 10)
    ]
    state, _ = replay(EMPTY, log(*records))
    assert len(state.outcomes) == MAX_OUTCOMES
    assert 'c0' not in state.outcomes


RECORDS = st.one_of(
    st.builds(
        change,
        st.sampled_from(['a', 'b', 'c', 'd']),
        st.integers(-1, 12),
        st.one_of(
            st.builds(zone_edit, st.sampled_from(['ub1', 'ub2'])),
            st.builds(service_edit, slots=st.integers(0, 3)),
            st.builds(TenantEdit, st.builds(TenantConfig, st.just('club'))),
        ),
    ),
    st.builds(
        Join,
        st.just('j'),
        st.builds(member, st.sampled_from(['n1', 'n2']), st.integers(1, 2)),
    ),
    st.builds(
        Leave,
        st.just('l'),
        st.sampled_from(['n1', 'n2']),
        st.integers(1, 2),
    ),
    st.builds(
        Evict,
        st.just('e'),
        st.sampled_from(['n1', 'n2']),
        st.integers(1, 2),
        st.integers(0, 12),
    ),
)


@settings(derandomize=True, max_examples=150)
@given(st.lists(RECORDS, max_size=12), st.lists(st.integers(0, 12)))
def test_batches_do_not_change_the_result(records, cuts):
    """Relays deliver the log in different batches and with duplicates."""
    entries = log(*records)
    whole, _ = replay(EMPTY, entries)
    state = EMPTY
    for cut in sorted(cuts):
        state, _ = replay(state, entries[: min(cut, len(entries))])
    state, _ = replay(state, entries)
    assert state == whole
