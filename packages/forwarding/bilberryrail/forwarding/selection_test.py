"""Tests of the choice of a target."""

from random import Random

import pytest

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    Seconds,
)
from bilberryrail.forwarding.fixtures_test import BOARD, SETTINGS, peer
from bilberryrail.forwarding.records import (
    BackendLoad,
    BackendPhase,
    RouteId,
)
from bilberryrail.forwarding.selection import (
    REGION_OVERLOAD_S,
    CandidateTable,
    Demand,
)

NOW = Seconds(50)
ROUTE = RouteId('r1')


@pytest.fixture
def candidates():
    found = CandidateTable(SETTINGS, Random(1))
    found.update([peer('a'), peer('b'), peer('far', region='away')])
    return found


def load(**fields):
    terms = {'limit': 8, 'service_s': 0.05} | fields
    return BackendLoad(**terms)


def choose(
    candidates, *, homes=(), excluded=(), target_latency_left_s=0.3, now=NOW
):
    demand = Demand(BOARD, ROUTE, homes, target_latency_left_s)
    choice = candidates.choose(demand, set(excluded), set(), now)
    return choice.candidate.peer.node if choice else None


def shares(candidates, **terms):
    chosen = [choose(candidates, **terms) for _ in range(100)]
    return {node: chosen.count(node) for node in set(chosen)}


def test_slow_host_is_avoided_while_the_report_is_fresh(candidates):
    # Guards against work on a host whose neighbours slow it down, and against
    # keeping away from it for longer than the report means anything.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(), NOW)
    candidates.load_reported(NodeId('a'), load(slowdown=4.0), NOW)
    assert shares(candidates) == {'b': 100}
    later = Seconds(NOW + 3)
    assert shares(candidates, now=later).get('a', 0) > 10


def test_unheard_target_is_no_better_than_the_others(candidates):
    # Guards against a guess that sends all requests to targets that have
    # reported nothing yet.
    candidates.load_reported(NodeId('a'), load(service_s=0.5), NOW)
    assert shares(candidates).get('a', 0) > 20


def test_full_target_is_avoided(candidates):
    # Guards against a queue at one target beside idle ones.
    candidates.load_reported(NodeId('a'), load(running=8, waiting=4), NOW)
    candidates.load_reported(NodeId('b'), load(running=2), NOW)
    assert shares(candidates) == {'b': 100}


def test_own_requests_count_until_the_next_report(candidates):
    # Guards against a burst that all goes to the target that was idle last.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(), NOW)
    candidates.by_node[NodeId('a')].sent = 12
    assert shares(candidates) == {'b': 100}


def test_closed_target_is_tried_again(candidates):
    # Guards against a target that once had no room and that nobody asks again:
    # it tells only those that use it when it is back.
    candidates.load_reported(NodeId('a'), load(limit=0), NOW)
    candidates.load_reported(NodeId('b'), load(), NOW)
    assert shares(candidates) == {'b': 100}
    later = Seconds(NOW + 2)
    assert shares(candidates, now=later).get('a', 0) > 10


def test_failing_target_is_avoided(candidates):
    # Guards against a target that looks fast because it fails fast.
    candidates.load_reported(
        NodeId('a'), load(service_s=0.01, error_share=0.5), NOW
    )
    candidates.load_reported(NodeId('b'), load(service_s=0.03), NOW)
    assert shares(candidates) == {'b': 100}


def test_other_region_is_used_only_to_answer_in_time(candidates):
    # Guards against load that fills the narrow link between regions: more
    # than half of the lookups went there while this region was only slower.
    for node in ('a', 'b', 'far'):
        candidates.load_reported(NodeId(node), load(), NOW)
    candidates.load_reported(NodeId('a'), load(running=24), NOW)
    candidates.load_reported(NodeId('b'), load(running=26), NOW)
    assert 'far' not in shares(candidates, target_latency_left_s=0.3)
    assert shares(candidates, target_latency_left_s=0.13) == {'far': 100}
    assert 'far' not in shares(candidates, target_latency_left_s=0.05)
    assert choose(candidates, excluded='ab') == 'far'


def test_crowded_region_is_left_alone_for_a_moment(candidates):
    # Guards against requests that go to another region one after another to
    # be refused there.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(running=40), NOW)
    assert shares(candidates, target_latency_left_s=0.2) == {'far': 100}
    candidates.overload_reported(NodeId('far'), NOW)
    assert 'far' not in shares(candidates, target_latency_left_s=0.2)
    later = Seconds(NOW + REGION_OVERLOAD_S)
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(running=40), later)
    assert shares(candidates, target_latency_left_s=0.2, now=later) == {
        'far': 100
    }


def test_home_regions_bind(candidates):
    # Guards against a body that is sent to a region that may not have it.
    homes = (RegionId('away'),)
    assert choose(candidates, homes=homes) == 'far'
    assert choose(candidates, homes=homes, excluded=['far']) is None


def test_zone_that_is_out_is_left_out(candidates):
    # Guards against new work in an evacuated availability zone.
    candidates.zones_out = frozenset((AvailabilityZoneId('east'),))
    assert choose(candidates) is None


def test_draining_and_leaving_targets_are_left_out(candidates):
    # Guards against refusals that a known state could avoid.
    candidates.update(
        [
            peer('a', phase=BackendPhase.DRAINING),
            peer('b', leaving=True),
            peer('c'),
        ],
    )
    assert shares(candidates) == {'c': 100}


def test_unreachable_target_is_used_again_with_its_link(candidates):
    # Guards against requests to a node whose link is down.
    candidates.mark_unreachable(NodeId('a'))
    assert shares(candidates) == {'b': 100}
    candidates.mark_reachable(NodeId('a'))
    assert 'a' in shares(candidates)


def test_avoided_targets_are_better_than_none(candidates):
    # Guards against refusing all requests after a moment of bad luck.
    for node in ('a', 'b', 'far'):
        candidates.avoid(NodeId(node), NOW)
    assert choose(candidates) is not None


def test_busy_target_lets_a_request_wait_the_second_time(candidates):
    # Guards against a request that is sent to and fro between busy targets.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(running=9), NOW)
    demand = Demand(BOARD, ROUTE, (), 0.3)
    choice = candidates.choose(demand, set(), {'a', 'b'}, NOW)
    assert choice.next_best_s == 0


def test_near_target_with_an_old_report_is_asked_before_another_region(
    candidates,
):
    # Guards against a quarter of all lookups that crossed the narrow link
    # because of reports that were no longer true. The near target is told how
    # soon the other region answers, and passes on at once what is slower.
    for node in ('a', 'b', 'far'):
        slowdown = 1.0 if node == 'far' else 5.0
        report = load(slowdown=slowdown, memory_s=0.5, limit=8)
        candidates.load_reported(NodeId(node), report, Seconds(NOW - 0.2))
    demand = Demand(BOARD, ROUTE, (), 0.14)
    choice = candidates.choose(demand, set(), set(), NOW)
    assert choice.candidate.peer.node in {'a', 'b'}
    assert 0.1 < choice.next_best_s < 0.14
    for node in ('a', 'b'):
        candidates.load_reported(
            NodeId(node), load(slowdown=5.0, memory_s=0.5), NOW
        )
    assert choose(candidates, target_latency_left_s=0.14) == 'far'


def test_measured_round_trip_decides_about_another_region(candidates):
    # Guards against the distance of one deployment on all others.
    for node in ('a', 'b'):
        candidates.load_reported(NodeId(node), load(slowdown=5.0), NOW)
    candidates.load_reported(NodeId('far'), load(), NOW)
    far = candidates.by_node[NodeId('far')].peer
    candidates.distances.round_trip_measured(far, 0.12)
    assert choose(candidates, target_latency_left_s=0.14) != 'far'
    candidates.distances.round_trip_measured(far, 0.01)
    assert choose(candidates, target_latency_left_s=0.14) == 'far'
