"""Tests of the choice of targets, of estimates and of probes."""

import math
from dataclasses import replace
from itertools import chain, repeat
from random import Random

import msgspec
import pytest

from bilberryrail.control.messages import LinkUp, OpenLink
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy import actions, events
from bilberryrail.policy.estimates import EstimateTable
from bilberryrail.policy.fakes_test import IDLE, SETTINGS, Rig, make_view
from bilberryrail.policy.probing import Prober
from bilberryrail.policy.quantiles import LatencyQuantile
from bilberryrail.policy.routing import (
    CandidateIndex,
    Router,
    RouteReason,
    RouteRequest,
)
from bilberryrail.policy.settings import ProbeSettings, RoutingSettings


def make_router(view, **settings):
    routing = RoutingSettings(**settings)
    estimates = EstimateTable(routing)
    router = Router(routing, 'south', estimates, Random(3))
    group = CandidateIndex('south').group('lookup', (), view)
    request = RouteRequest(
        view.service('lookup'), (), frozenset(), 1.0, 1000, 1.0
    )
    return router, group, request


def record_answer(estimates, node, latency_s, load=IDLE, now=1.0):
    estimates.answered(node, latency_s, now)
    estimates.message_received(node, load, now)


def slow_local(view, **settings):
    """Return a router that knows slow local and fast remote candidates."""
    router, group, request = make_router(view, **settings)
    for node in ('south1', 'south2'):
        record_answer(router.estimates, node, 0.5)
    record_answer(router.estimates, 'north1', 0.07)
    return router, group, request


def test_latency_rises_at_once_and_falls_with_its_time_constant():
    """Guards against noticing a slowdown late or forgetting it at once."""
    estimates = EstimateTable(RoutingSettings(latency_decay_s=0.5))
    record_answer(estimates, 'a', 0.01, now=0)
    record_answer(estimates, 'a', 0.9, now=0.1)
    assert estimates.of('a').latency_s == pytest.approx(0.9)
    record_answer(estimates, 'a', 0, now=0.6)
    assert estimates.of('a').latency_s == pytest.approx(0.9 / math.e)


def test_failing_fast_does_not_attract_calls():
    """Guards against a target that fails at once drawing all calls."""
    router, group, request = make_router(make_view(2, 0))
    record_answer(router.estimates, 'south1', 0.1)
    record_answer(router.estimates, 'south2', 0.001)
    router.estimates.failed('south2')
    chosen = {router.choose(request, group, ()).member.node for _ in range(20)}
    assert chosen == {'south1'}


def test_queue_at_the_target_counts():
    """Guards against sending to a fast target whose slots are all taken."""
    router, group, request = make_router(make_view(2, 0))
    record_answer(router.estimates, 'south1', 0.01, replace(IDLE, in_flight=40))
    record_answer(router.estimates, 'south2', 0.012)
    choice = router.choose(request, group, ())
    assert choice.member.node == 'south2'


def test_old_report_of_a_queue_does_not_count():
    """Guards against avoiding a target forever because it was full once."""
    router, group, request = make_router(make_view(2, 0))
    record_answer(router.estimates, 'south1', 0.01, replace(IDLE, in_flight=40))
    record_answer(router.estimates, 'south2', 0.012)
    choice = router.choose(replace(request, now=2.5), group, ())
    assert choice.member.node == 'south1'


def test_cold_target_gets_no_more_than_its_limit():
    """Guards against overfilling a cold target before its next report."""
    router, group, request = make_router(make_view(2, 0))
    record_answer(
        router.estimates, 'south1', 0.001, replace(IDLE, limit=2, cold=True)
    )
    record_answer(router.estimates, 'south2', 0.2)
    chosen = []
    for _ in range(6):
        node = router.choose(request, group, ()).member.node
        router.estimates.sent(node, 1)
        chosen.append(node)
    assert chosen.count('south1') == 2


def test_other_region_needs_gain_and_budget():
    """Guards against using the link without benefit or beyond its budget."""
    view = make_view(2, 1)
    router, group, request = slow_local(view)
    choice = router.choose(request, group, ())
    assert choice.reason is RouteReason.FASTER_REGION
    router, group, request = slow_local(view, region_distance_s=0.45)
    assert router.choose(request, group, ()).reason is RouteReason.LOCAL
    router, group, request = slow_local(view, link_bytes_per_s=500)
    assert router.choose(request, group, ()).reason is RouteReason.LOCAL


def test_other_region_serves_when_there_is_no_local_candidate():
    """Guards against refusing calls that another region can serve."""
    router, group, request = make_router(make_view(0, 2), link_bytes_per_s=0)
    choice = router.choose(request, group, ())
    assert choice.reason is RouteReason.NO_LOCAL


def test_silent_target_is_avoided_until_a_probe_is_answered():
    """Guards against using callers' calls to test a silent target."""
    rig = Rig(view=make_view(2, 0))
    rig.arrive(deadline_s=0.4)
    silent = rig.sent[0].peer
    rig.wait(0.42)
    rig.seen.clear()
    for _ in range(30):
        rig.arrive()
        rig.answer(rig.sent[-1])
        rig.wait(0.02)
    assert silent not in {sent.peer for sent in rig.sent}
    probes = [
        probe
        for probe in rig.of_type(actions.SendProbe)
        if probe.peer == silent
    ]
    assert probes
    rig.feed(events.ProbeReplied(silent, probes[-1].probe, IDLE))
    assert not rig.role.sender.estimates.of(silent).is_suspected


def test_backoff_of_suspicion_doubles_up_to_its_limit():
    """Guards against probing a dead target at a steady rate forever."""
    estimates = EstimateTable(
        RoutingSettings(suspect_backoff_s=0.1, suspect_backoff_max_s=0.3),
    )
    waits = []
    for _ in range(3):
        estimates.suspect('a', 0)
        waits.append(estimates.of('a').retry_probe_at)
    assert waits == pytest.approx([0.1, 0.2, 0.3])


def test_all_suspected_still_serves():
    """Guards against refusing all calls when every target is slow."""
    rig = Rig(view=make_view(1, 0))
    rig.role.sender.estimates.suspect('south1', 100)
    rig.arrive()
    assert rig.routes[0]['reason'] == 'all-suspected'
    rig.refuse(rig.sent[0], Outcome.NOT_RUN, Reason.OVERLOADED)
    assert len(rig.ends) == 1


def test_calls_that_were_not_sent_add_no_probes_to_the_budget():
    """Guards against a burst of probes when broken links recover."""
    rig = Rig(auto_link=False)
    for _ in range(20):
        rig.arrive(deadline_s=0.05)
    rig.wait(0.1)
    assert not rig.sent
    for opened in rig.of_type(OpenLink):
        rig.feed(LinkUp(rig.view.member(opened.peer)))
    rig.arrive()
    assert len(rig.sent) == 1
    assert not rig.of_type(actions.SendProbe)


def test_probes_stay_within_every_budget():
    """Guards against probes that exceed their budget."""
    limits = ProbeSettings(share_of_calls=0.5, probes_per_s=4, bytes_per_s=96)
    rig = Rig(settings=msgspec.structs.replace(SETTINGS, probes=limits))
    for _ in range(200):
        rig.arrive()
        rig.answer(rig.sent[-1])
        rig.wait(0.02)
    prober = rig.role.sender.prober
    probes = rig.of_type(actions.SendProbe)
    assert len(probes) == prober.probes_sent
    assert prober.bytes_used == 48 * len(probes)
    assert 4 <= len(probes) <= 1 + 4 * 96 / 48


def test_pool_drops_old_and_used_up_entries():
    """Guards against stale replies and many calls to one probed target."""
    estimates = EstimateTable(RoutingSettings())
    prober = Prober(
        ProbeSettings(max_uses=2, max_age_s=0.1), estimates, Random(1)
    )
    member = make_view().member('south1')
    for at in (0, 1):
        prober.replied(member.node, prober.start(member, at), IDLE, at)
        assert prober.fresh('lookup', at + 0.05) == (member.node,)
    assert not prober.fresh('lookup', 1.2)
    prober.replied(member.node, prober.start(member, 2), IDLE, 2)
    prober.used(member)
    prober.used(member)
    assert not prober.fresh('lookup', 2)


def test_quantile_follows_recent_answers():
    """Guards against hedging based on outdated latencies."""
    quantile = LatencyQuantile(0.9)
    recent = (1 + number % 10 for number in range(2500))
    for latency_ms in chain(repeat(100, 3000), recent):
        quantile.add(latency_ms / 1000)
    assert quantile.estimate_s == pytest.approx(0.009, rel=0.1)


class CountingBook(EstimateTable):
    """Counts the lookups of estimates."""

    def __init__(self, settings):
        super().__init__(settings)
        self.lookups = 0

    def of(self, node):
        self.lookups += 1
        return super().of(node)


def lookups_per_choice(count, suspected):
    """Return lookups per choice if every ``suspected``-th node is suspected."""
    router, group, request = make_router(make_view(count, 0))
    router.estimates = CountingBook(RoutingSettings())
    for node in tuple(group.by_node)[::suspected]:
        router.estimates.suspect(node, 0)
    for _ in range(1000):
        router.choose(request, group, ())
    return router.estimates.lookups / 1000


@pytest.mark.parametrize('suspected', [1, 3])
def test_cost_of_a_choice_does_not_grow_with_candidates(suspected):
    """Guards against scanning 19,000 candidates for every call."""
    assert lookups_per_choice(19_000, suspected) < 80
    assert lookups_per_choice(19_000, 3) < lookups_per_choice(10, 3) * 2
