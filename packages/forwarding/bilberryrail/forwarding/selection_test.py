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
    CROWDED_REGION_S,
    CandidateBook,
    Demand,
)

NOW = Seconds(50)
ROUTE = RouteId('r1')


@pytest.fixture
def book():
    found = CandidateBook(SETTINGS, Random(1))
    found.update([peer('a'), peer('b'), peer('far', region='away')])
    return found


def load(**fields):
    terms = {'limit': 8, 'service_s': 0.05} | fields
    return BackendLoad(**terms)


def choose(book, *, homes=(), excluded=(), aim_s=0.3, now=NOW):
    demand = Demand(BOARD, ROUTE, homes, aim_s)
    choice = book.choose(demand, set(excluded), set(), now)
    return choice.candidate.peer.node if choice else None


def shares(book, **terms):
    chosen = [choose(book, **terms) for _ in range(100)]
    return {node: chosen.count(node) for node in set(chosen)}


def test_slow_host_is_avoided_while_the_report_is_fresh(book):
    # Guards against work on a host whose neighbours slow it down, and against
    # keeping away from it for longer than the report means anything.
    for node in 'ab':
        book.reported(NodeId(node), load(), NOW)
    book.reported(NodeId('a'), load(slowdown=4.0), NOW)
    assert shares(book) == {'b': 100}
    later = Seconds(NOW + 3)
    assert shares(book, now=later).get('a', 0) > 10


def test_unheard_target_is_no_better_than_the_others(book):
    # Guards against a guess that sends all requests to targets that have
    # reported nothing yet.
    book.reported(NodeId('a'), load(service_s=0.5), NOW)
    assert shares(book).get('a', 0) > 20


def test_full_target_is_avoided(book):
    # Guards against a queue at one target beside idle ones.
    book.reported(NodeId('a'), load(running=8, waiting=4), NOW)
    book.reported(NodeId('b'), load(running=2), NOW)
    assert shares(book) == {'b': 100}


def test_own_requests_count_until_the_next_report(book):
    # Guards against a burst that all goes to the target that was idle last.
    for node in 'ab':
        book.reported(NodeId(node), load(), NOW)
    book.candidates[NodeId('a')].sent = 12
    assert shares(book) == {'b': 100}


def test_closed_target_is_tried_again(book):
    # Guards against a target that once had no room and that nobody asks again:
    # it tells only those that use it when it is back.
    book.reported(NodeId('a'), load(limit=0), NOW)
    book.reported(NodeId('b'), load(), NOW)
    assert shares(book) == {'b': 100}
    later = Seconds(NOW + 2)
    assert shares(book, now=later).get('a', 0) > 10


def test_failing_target_is_avoided(book):
    # Guards against a target that looks fast because it fails fast.
    book.reported(NodeId('a'), load(service_s=0.01, error_share=0.5), NOW)
    book.reported(NodeId('b'), load(service_s=0.03), NOW)
    assert shares(book) == {'b': 100}


def test_other_region_is_used_only_to_answer_in_time(book):
    # Guards against load that fills the narrow link between regions: more
    # than half of the lookups went there while this region was only slower.
    for node in ('a', 'b', 'far'):
        book.reported(NodeId(node), load(), NOW)
    book.reported(NodeId('a'), load(running=24), NOW)
    book.reported(NodeId('b'), load(running=26), NOW)
    assert 'far' not in shares(book, aim_s=0.3)
    assert shares(book, aim_s=0.13) == {'far': 100}
    assert 'far' not in shares(book, aim_s=0.05)
    assert choose(book, excluded='ab') == 'far'


def test_crowded_region_is_left_alone_for_a_moment(book):
    # Guards against requests that go to another region one after another to
    # be refused there.
    for node in 'ab':
        book.reported(NodeId(node), load(running=40), NOW)
    assert shares(book, aim_s=0.2) == {'far': 100}
    book.crowded(NodeId('far'), NOW)
    assert 'far' not in shares(book, aim_s=0.2)
    later = Seconds(NOW + CROWDED_REGION_S)
    for node in 'ab':
        book.reported(NodeId(node), load(running=40), later)
    assert shares(book, aim_s=0.2, now=later) == {'far': 100}


def test_home_regions_bind(book):
    # Guards against a body that is sent to a region that may not have it.
    homes = (RegionId('away'),)
    assert choose(book, homes=homes) == 'far'
    assert choose(book, homes=homes, excluded=['far']) is None


def test_zone_that_is_out_is_left_out(book):
    # Guards against new work in an evacuated availability zone.
    book.zones_out = frozenset((AvailabilityZoneId('east'),))
    assert choose(book) is None


def test_draining_and_leaving_targets_are_left_out(book):
    # Guards against refusals that a known state could avoid.
    book.update(
        [
            peer('a', phase=BackendPhase.DRAINING),
            peer('b', leaving=True),
            peer('c'),
        ],
    )
    assert shares(book) == {'c': 100}


def test_unreachable_target_is_used_again_with_its_link(book):
    # Guards against requests to a node whose link is down.
    book.unreachable(NodeId('a'))
    assert shares(book) == {'b': 100}
    book.reachable(NodeId('a'))
    assert 'a' in shares(book)


def test_avoided_targets_are_better_than_none(book):
    # Guards against refusing all requests after a moment of bad luck.
    for node in ('a', 'b', 'far'):
        book.avoid(NodeId(node), NOW)
    assert choose(book) is not None


def test_busy_target_lets_a_request_wait_the_second_time(book):
    # Guards against a request that is sent to and fro between busy targets.
    for node in 'ab':
        book.reported(NodeId(node), load(running=9), NOW)
    demand = Demand(BOARD, ROUTE, (), 0.3)
    choice = book.choose(demand, set(), {'a', 'b'}, NOW)
    assert choice.bound_s == 0


def test_near_target_with_an_old_report_is_asked_before_another_region(book):
    # Guards against a quarter of all lookups that crossed the narrow link
    # because of reports that were no longer true. The near target is told how
    # soon the other region answers, and passes on at once what is slower.
    for node in ('a', 'b', 'far'):
        slowdown = 1.0 if node == 'far' else 5.0
        report = load(slowdown=slowdown, memory_s=0.5, limit=8)
        book.reported(NodeId(node), report, Seconds(NOW - 0.2))
    demand = Demand(BOARD, ROUTE, (), 0.14)
    choice = book.choose(demand, set(), set(), NOW)
    assert choice.candidate.peer.node in {'a', 'b'}
    assert 0.1 < choice.bound_s < 0.14
    for node in ('a', 'b'):
        book.reported(NodeId(node), load(slowdown=5.0, memory_s=0.5), NOW)
    assert choose(book, aim_s=0.14) == 'far'


def test_measured_round_trip_decides_about_another_region(book):
    # Guards against the distance of one deployment on all others.
    for node in ('a', 'b'):
        book.reported(NodeId(node), load(slowdown=5.0), NOW)
    book.reported(NodeId('far'), load(), NOW)
    far = book.candidates[NodeId('far')].peer
    book.distances.learn(far, 0.12)
    assert choose(book, aim_s=0.14) != 'far'
    book.distances.learn(far, 0.01)
    assert choose(book, aim_s=0.14) == 'far'
