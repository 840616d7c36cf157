"""Tests of which announcement of a node is kept."""

from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.membership import Membership


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
