"""Tests of the selection of a target."""

from random import Random

import pytest

from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    RegionId,
    Seconds,
)
from bilberryrail.forwarding.candidates import RATE_CREDIT_MEMORY_S
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
    # Guards against sending requests to a host that other work slows down, and
    # against avoiding it for longer than the report is meaningful.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(), NOW)
    candidates.load_reported(NodeId('a'), load(slowdown=4.0), NOW)
    assert shares(candidates) == {'b': 100}
    later = Seconds(NOW + 3)
    assert shares(candidates, now=later).get('a', 0) > 10


def test_target_without_a_report_is_not_preferred(candidates):
    # Guards against an assumed time that sends all requests to targets that
    # have not reported any.
    candidates.load_reported(NodeId('a'), load(service_s=0.5), NOW)
    assert shares(candidates).get('a', 0) > 20


def test_full_target_is_avoided(candidates):
    # Guards against a queue at one target while others are idle.
    candidates.load_reported(NodeId('a'), load(running=8, waiting=4), NOW)
    candidates.load_reported(NodeId('b'), load(running=2), NOW)
    assert shares(candidates) == {'b': 100}


def test_own_requests_count_until_the_next_report(candidates):
    # Guards against sending a whole burst to the target that was idle in the
    # last report.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(), NOW)
    candidates.by_node[NodeId('a')].sent = 12
    assert shares(candidates) == {'b': 100}


def test_closed_target_is_tried_again(candidates):
    # Guards against a target that once had no capacity and is never tried
    # again: it reports its recovery only to nodes that use it.
    candidates.load_reported(NodeId('a'), load(limit=0), NOW)
    candidates.load_reported(NodeId('b'), load(), NOW)
    assert shares(candidates) == {'b': 100}
    later = Seconds(NOW + 2)
    assert shares(candidates, now=later).get('a', 0) > 10


def test_failing_target_is_avoided(candidates):
    # Guards against preferring a target that answers fast because it fails
    # fast.
    candidates.load_reported(
        NodeId('a'), load(service_s=0.01, error_share=0.5), NOW
    )
    candidates.load_reported(NodeId('b'), load(service_s=0.03), NOW)
    assert shares(candidates) == {'b': 100}


def test_other_region_is_used_only_to_answer_in_time(candidates):
    # Guards against overloading the narrow link between regions: more than half
    # of the lookups were sent over it while this region was only slower.
    for node in ('a', 'b', 'far'):
        candidates.load_reported(NodeId(node), load(), NOW)
    candidates.load_reported(NodeId('a'), load(running=24), NOW)
    candidates.load_reported(NodeId('b'), load(running=26), NOW)
    assert 'far' not in shares(candidates, target_latency_left_s=0.3)
    assert shares(candidates, target_latency_left_s=0.13) == {'far': 100}
    assert 'far' not in shares(candidates, target_latency_left_s=0.05)
    assert choose(candidates, excluded='ab') == 'far'


def test_overloaded_region_is_not_selected_for_a_moment(candidates):
    # Guards against sending one request after another to another region that
    # refuses them all.
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


def test_only_home_regions_are_selected(candidates):
    # Guards against sending a body to a region that may not receive it.
    homes = (RegionId('away'),)
    assert choose(candidates, homes=homes) == 'far'
    assert choose(candidates, homes=homes, excluded=['far']) is None


def test_zone_that_is_out_is_not_selected(candidates):
    # Guards against sending requests to an evacuated availability zone.
    candidates.zones_out = frozenset((AvailabilityZoneId('east'),))
    assert choose(candidates) is None


def test_draining_and_leaving_targets_are_not_selected(candidates):
    # Guards against refusals by targets whose state was already known.
    candidates.update(
        [
            peer('a', phase=BackendPhase.DRAINING),
            peer('b', leaving=True),
            peer('c'),
        ],
    )
    assert shares(candidates) == {'c': 100}


def test_unreachable_target_is_used_when_its_link_is_open(candidates):
    # Guards against sending requests to a node whose link is down.
    candidates.mark_unreachable(NodeId('a'))
    assert shares(candidates) == {'b': 100}
    candidates.mark_reachable(NodeId('a'))
    assert 'a' in shares(candidates)


def test_avoided_targets_are_better_than_none(candidates):
    # Guards against refusing all requests after a few failures at the same
    # time.
    for node in ('a', 'b', 'far'):
        candidates.avoid(NodeId(node), NOW)
    assert choose(candidates) is not None


def test_request_waits_when_sent_to_a_busy_target_again(candidates):
    # Guards against a request that is sent back and forth between busy targets.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(running=9), NOW)
    demand = Demand(BOARD, ROUTE, (), 0.3)
    choice = candidates.choose(demand, set(), {'a', 'b'}, NOW)
    assert choice.next_best_s == 0


def test_near_target_with_an_old_report_is_tried_before_another_region(
    candidates,
):
    # Guards against sending requests over the narrow link between regions
    # because of outdated reports: a quarter of all lookups were. The target in
    # this region receives the expected time of the other region, and refuses at
    # once what it would answer later.
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
    # Guards against assuming the distances of one deployment in all others.
    for node in ('a', 'b'):
        candidates.load_reported(NodeId(node), load(slowdown=5.0), NOW)
    candidates.load_reported(NodeId('far'), load(), NOW)
    far = candidates.by_node[NodeId('far')].peer
    candidates.distances.round_trip_measured(far, 0.12)
    assert choose(candidates, target_latency_left_s=0.14) != 'far'
    candidates.distances.round_trip_measured(far, 0.01)
    assert choose(candidates, target_latency_left_s=0.14) == 'far'


def test_target_with_a_stated_limit_gets_what_it_allows(candidates):
    # Guards against sending requests to a backend server in need, where they
    # are refused or wait, while another one has free capacity.
    candidates.load_reported(NodeId('b'), load(), NOW)
    limited = load(rate_limit=5.0, rate_credit=2.0)
    candidates.load_reported(NodeId('a'), limited, NOW)
    found = candidates.by_node[NodeId('a')]
    assert found.rate_wait_s(NOW) == 0
    found.sent = 4
    assert found.rate_wait_s(NOW) == pytest.approx(0.6)
    assert shares(candidates) == {'b': 100}


def test_limited_target_is_tried_again_after_a_while(candidates):
    # Guards against nodes that all send requests to a limited target because
    # they assume that none of the others does, and against a target that gets
    # nothing although it could take requests again.
    limited = load(rate_limit=5.0, rate_credit=-2.0)
    candidates.load_reported(NodeId('a'), limited, NOW)
    found = candidates.by_node[NodeId('a')]
    assert found.rate_wait_s(Seconds(NOW + 1)) == pytest.approx(0.6)
    later = Seconds(NOW + RATE_CREDIT_MEMORY_S + 0.1)
    assert found.rate_wait_s(later) == 0


def test_late_request_leaves_a_region_that_states_limits(candidates):
    # Guards against late requests that wait, and delay others, in a region
    # whose backend servers are in need, while another region is sooner.
    for node in 'ab':
        limited = load(rate_limit=5.0, rate_credit=-4.0)
        candidates.load_reported(NodeId(node), limited, NOW)
    candidates.load_reported(NodeId('far'), load(slowdown=8.0), NOW)
    assert choose(candidates, target_latency_left_s=0.01) == 'far'


def test_late_request_stays_if_its_region_is_only_busy(candidates):
    # Guards against traffic between regions that is paid for and serves late
    # requests no better.
    for node in 'ab':
        candidates.load_reported(NodeId(node), load(slowdown=9.0), NOW)
    candidates.load_reported(NodeId('far'), load(slowdown=6.0), NOW)
    assert choose(candidates, target_latency_left_s=0.01) != 'far'
