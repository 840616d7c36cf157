"""Tests of which announcement of a node is kept."""

import pytest

from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.membership import Membership, rejection_reason

NOW_MS = 1_800_000_000_000


def names(membership):
    return sorted(one.node for one in membership.others())


def test_newer_announcement_wins_in_any_order():
    # Guards against an old record in the store that hides a restart.
    membership = Membership(peer('n1'))
    membership.merge([peer('n2', started_ms=2000, serial=1)])
    newer = membership.merge([peer('n2', started_ms=1000, serial=9)])
    assert not newer
    assert membership.peers['n2'].started_ms == 2000


def test_address_belongs_to_its_newest_node():
    # Guards against connecting to a node that no longer exists, which each time
    # closed the link to the node that has its address now.
    membership = Membership(peer('n1'))
    old = peer('n2', host='10.0.0.2', started_ms=1000)
    membership.merge([old])
    membership.merge([peer('n3', host='10.0.0.2', started_ms=2000)])
    membership.merge([old])
    assert names(membership) == ['n3']


def test_own_address_is_not_taken_by_an_old_announcement():
    # Guards against a node that connects to itself under the name of another.
    membership = Membership(peer('n1', host='10.0.0.1', started_ms=5000))
    membership.merge([peer('n2', host='10.0.0.1', started_ms=1000)])
    assert not names(membership)


def test_leaving_node_is_no_longer_used():
    # Guards against sending requests to a node that is shutting down.
    membership = Membership(peer('n1'))
    membership.merge([peer('n2')])
    membership.merge([peer('n2', serial=2, leaving=True)])
    assert not names(membership)


def test_forgotten_node_is_used_again_after_a_restart():
    # Guards against excluding a node for ever because another node had its
    # address for a while.
    membership = Membership(peer('n1'))
    membership.merge([peer('n2', started_ms=1000)])
    membership.forget('n2')
    membership.merge([peer('n2', started_ms=1000)])
    assert not names(membership)
    membership.merge([peer('n2', started_ms=3000)])
    assert names(membership) == ['n2']


@pytest.mark.parametrize(
    'invalid',
    [
        peer(''),
        peer('n2', host='example'),
        peer('n2', host='10.0.0.300'),
        peer('n2', host='::1'),
        peer('n2', started_ms=NOW_MS + MAX_CLOCK_LEAD_MS + 1),
    ],
)
def test_announcement_of_no_node_is_rejected(invalid):
    # Guards against links to hosts that do not exist, and against a record
    # that stays the newest one of a node for ever.
    assert rejection_reason(invalid, NOW_MS)


def test_announcement_of_a_node_is_accepted():
    # Guards against nodes that are ignored because their clock is a bit ahead.
    assert (
        rejection_reason(peer('n2', started_ms=NOW_MS + 60_000), NOW_MS) is None
    )


def test_announcement_at_this_nodes_address_is_ignored():
    # Guards against a record by which a node forgets itself.
    membership = Membership(peer('n1', host='10.1.0.1'))
    invalid = peer('n2', host='10.1.0.1', started_ms=9000)
    assert not membership.merge([invalid])
    assert membership.all() == [membership.own]
