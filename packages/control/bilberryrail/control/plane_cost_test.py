"""Cost of the control plane at the largest size designed for."""

import random
import time

from bilberryrail.control import messages
from bilberryrail.control.directory import hash_of
from bilberryrail.control.plane import ControlPlane
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.core.records import (
    Announcement,
    ClusterState,
    Join,
    LogEntry,
    Member,
)

MEMBERS = 19_000
RECORDS = 40
#: CPU time allowed for one record, in seconds. 19,000 refreshes an hour, 24,000
#: changes and 7,200 restarts a day make six records a second; a budget of
#: 1.6 % of a core leaves 2.7 ms for each.
BOUND_S = 0.0027


def _member(number: int) -> Member:
    region = f'r{number % 3}'
    zone = f'{region}-{number % 2}'
    node = f'n{number}'
    return Member(node, number, 'bookings', zone, region, node, 1, 2)


def test_cost_of_a_record_is_bounded_with_all_members():
    """Guards against processing time that grows with the number of members."""
    members = [_member(number) for number in range(MEMBERS)]
    known = {member.node: Announcement(member, 0) for member in members}
    order = sorted(members[::3], key=_hash)
    own = order[5]
    identity = NodeIdentity(own.node, 's', own.zone, own.region, 'h', 1, 2)
    settings = RelaySettings(children_per_parent=16)
    plane = ControlPlane(settings, identity, 5, random.Random(5))
    parent = order[0]
    plane.handle(messages.LinkUp(parent), 1000)
    state = ClusterState(offset=0, members=known)
    plane.handle(messages.StateReceived(parent.node, state), 1000)
    plane.handle(messages.RecordsReceived(parent.node, (), 0), 1000)
    assert plane.caught_up
    for child in order[100:148]:
        plane.handle(messages.SubscribeReceived(child.node, 0), 1000)
    spent = []
    for offset in range(1, RECORDS):
        entry = LogEntry(offset, Join(f'r{offset}', members[offset]))
        event = messages.RecordsReceived(parent.node, (entry,), offset)
        before = time.process_time()
        actions = plane.handle(event, 1000 + offset * 0.01)
        spent.append(time.process_time() - before)
        assert _count_sent(actions) == 48
    assert sorted(spent)[len(spent) // 2] < BOUND_S


def _hash(member: Member) -> int:
    return hash_of(member.node)


def _count_sent(actions) -> int:
    return sum(isinstance(action, messages.SendRecords) for action in actions)
