"""Tests that each checker of the soak finds violations of its guarantee."""

from dataclasses import replace

import pytest

from bilberryrail.adapter.standins.backend_server import Departure, Run
from bilberryrail.adapter.standins.caller import Call
from bilberryrail.soak.checkers import (
    AddedRoute,
    ColdPeriod,
    Crash,
    FaultFreePeriod,
    Observations,
    StatedLimit,
    ZoneOut,
    violations,
)
from bilberryrail.soak.topology import (
    BOOKING,
    HOME_BOOKING,
    LOOKUP,
    version_route,
)


def run(request_id='q1', *, at=10.0, **fields):
    terms = {
        'service': 'board',
        'zone': 'ub-east',
        'instance': 'i1',
        'caller': 'board',
        'method': b'POST',
        'target': b'/book/1?q=1',
        'body': b'',
    } | fields
    return Run(at=at, request_id=request_id, **terms)


def call(
    request_id='q1', *, status=200, route=BOOKING, sent_at=10.0, whole=True
):
    return Call(
        sent_at=sent_at,
        ended_at=sent_at + 0.1,
        request_id=request_id,
        node='n0',
        route=route,
        status=status,
        promises_not_run=status == 503,
        is_complete=whole,
        error='',
    )


def observe(runs=(), calls=(), **fields):
    return Observations(
        runs=list(runs),
        calls=list(calls),
        callers={'n0': 'board'},
        cold_limit=5,
        **fields,
    )


def violation_kinds(found):
    return [line.partition(':')[0] for line in violations(found)]


def test_run_at_another_service_is_found():
    # Guards against a soak that does not notice requests at a reused address.
    runs = [run(target=b'/status/1'), run(target=b'/book/1')]
    services = {'/status/': 'desk', '/home/': 'desk'}
    assert violation_kinds(observe(runs, services=services)) == ['route']
    assert not violation_kinds(observe(runs, services={'/status/': 'board'}))


def crashing_runs(count):
    return [
        run(f'n0/crash-{number}', at=10 + number, target=b'/status/crash-0')
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ('late', 'faults', 'kinds'),
    [
        (3, [], []),
        (4, [], ['crash']),
        # The node was away, so it may not have learned of the crashes.
        (4, [(20.0, 'n0')], []),
        (4, [(20.0, 'n1')], ['crash']),
    ],
)
def test_request_that_is_sent_after_three_crashes_is_found(late, faults, kinds):
    # Guards against a checker that does not count what comes after the third
    # crash, or that excuses all nodes after a fault of one.
    early = crashing_runs(3)
    crashes = [Crash(one.at, f'i{one.at}') for one in early]
    early = [replace(one, instance=f'i{one.at}') for one in early]
    runs = [
        *early,
        *(replace(one, at=one.at + 13) for one in crashing_runs(late)),
    ]
    found = observe(runs, crashes=crashes, faults=faults)
    assert violation_kinds(found) == kinds


def test_no_violation_is_found_in_a_correct_run():
    # Guards against checkers that report violations where there are none.
    assert not violations(observe([run()], [call()]))


def test_booking_that_runs_twice_is_found():
    # Guards against an at-most-once checker that finds nothing.
    assert violation_kinds(observe([run(), run(at=11)], [call()])) == ['twice']


def test_lookup_may_run_twice():
    # Guards against a checker that applies at-most-once to idempotent calls.
    lookup = run(target=b'/status/1')
    assert not violation_kinds(observe([lookup, lookup], [call(route=LOOKUP)]))


def test_refusal_of_a_booking_that_ran_is_found():
    # Guards against a checker that does not compare refusals with executions.
    assert violation_kinds(observe([run()], [call(status=503)])) == ['refused']


def test_status_502_does_not_count_as_a_refusal():
    # Guards against a checker that takes 502 for a guarantee that the request
    # has not run.
    assert not violation_kinds(observe([run()], [call(status=502)]))


def test_answer_to_another_request_is_found():
    # Guards against a checker that checks only the status of an answer.
    assert violation_kinds(observe([run()], [call(whole=False)])) == ['mixed']


@pytest.mark.parametrize(
    ('fields', 'kind'),
    [({'target': b'/else/1'}, 'changed'), ({'caller': 'desk'}, 'caller')],
)
def test_changed_request_is_found(fields, kind):
    # Guards against a checker that does not compare requests with what was
    # sent.
    assert violation_kinds(observe([run(**fields)], [call()])) == [kind]


def test_request_after_an_acknowledged_departure_is_found():
    # Guards against a checker that ignores departures.
    left = [Departure(7.0, 'i1')]
    assert violation_kinds(observe([run()], [call()], departures=left)) == [
        'drain'
    ]
    just_left = [Departure(8.0, 'i1')]
    assert not violation_kinds(observe([run()], [call()], departures=just_left))


def test_request_in_a_zone_that_is_out_is_found():
    # Guards against a checker that ignores zones that operators took out.
    out = [ZoneOut('ub-east', 1.0, 20.0)]
    assert violation_kinds(observe([run()], [call()], zones_out=out)) == [
        'zone'
    ]
    back = [ZoneOut('ub-east', 1.0, 9.0)]
    assert not violation_kinds(observe([run()], [call()], zones_out=back))
    faults = [(2.0, 8.0)]
    found = observe([run()], [call()], zones_out=out, store_faults=faults)
    assert not violation_kinds(found)


def test_request_outside_its_home_zones_is_found():
    # Guards against a checker that ignores home zones.
    homes = {HOME_BOOKING.prefix: frozenset(('dk-north',))}
    away = run(target=b'/home/1')
    found = observe([away], [call(route=HOME_BOOKING)], home_zones=homes)
    assert violation_kinds(found) == ['home']


def test_too_many_requests_at_a_cold_backend_server_are_found():
    # Guards against a checker that counts in fixed seconds instead of a
    # sliding window.
    runs = [run(f'q{index}', at=9.9 + index / 30) for index in range(7)]
    calls = [call(f'q{index}') for index in range(7)]
    cold = [ColdPeriod('i1', 9.0, 12.0)]
    assert violation_kinds(observe(runs, calls, cold=cold)) == ['cold']
    assert not violation_kinds(observe(runs[:5], calls, cold=cold))


def test_fleet_that_does_not_recover_is_found():
    # Guards against a soak that passes although no request is served.
    fault_free = FaultFreePeriod(9.0, 12.0)
    failing = [call(f'q{index}', status=504) for index in range(5)]
    assert violation_kinds(observe([], failing, fault_free=fault_free)) == [
        'recover'
    ]
    assert violation_kinds(observe([], [], fault_free=fault_free)) == [
        'recover'
    ]


def test_old_configuration_after_the_faults_is_found():
    # Guards against a soak that passes although a node has missed the newest
    # configuration for good.
    fault_free = FaultFreePeriod(9.0, 12.0)
    calls = [call(f'q{index}') for index in range(30)]
    old = call('q30', status=404, route=version_route(7))
    assert not violation_kinds(observe([], calls, fault_free=fault_free))
    found = observe([], [*calls, old], fault_free=fault_free)
    assert violation_kinds(found) == ['config']


def test_stated_limit_is_checked():
    # Guards against a soak that does not notice requests beyond a stated limit,
    # or that counts those before it had settled.
    limit = StatedLimit('i1', per_s=2, at=0, until=20)
    runs = [run(f'q{index}', at=5 + index / 10) for index in range(18)]
    early = [run(f'e{index}', at=3) for index in range(50)]
    assert 'limit' in violation_kinds(observe(runs, limits=[limit]))
    kinds = violation_kinds(observe([*early, *runs[1:]], limits=[limit]))
    assert 'limit' not in kinds


def test_first_word_of_a_departure_counts():
    # Guards against a departure that is told again and thereby put off.
    told = [Departure(10.0, 'i1'), Departure(12.0, 'i1')]
    found = observe([run(at=12.6)], [call()], departures=told)
    assert 'drain' in violation_kinds(found)


def kinds_beside_a_stop(one, *, stopped_at=0.0):
    """Return the kinds of violations of a call that a server has begun."""
    stops = [(stopped_at, one.node)]
    return violation_kinds(observe([run()], [one], stops=stops, patience_s=4.0))


@pytest.mark.parametrize('status', [0, 502, 504])
def test_request_that_a_planned_stop_cuts_is_found(status):
    # Guards against planned stops that cut what a backend server has begun.
    cut = replace(call(status=status), ended_at=10.7)
    assert kinds_beside_a_stop(cut) == ['cut']


def test_request_that_expires_is_not_cut():
    # Guards against a report about requests that took longer than their time.
    assert not kinds_beside_a_stop(replace(call(status=504), ended_at=13.95))


def test_early_request_may_be_cut_at_the_end_of_the_grace():
    # Guards against a report about what the pages excuse, and against excusing
    # a request that arrived later or that was cut before.
    cut = replace(call(status=504), ended_at=12.7)
    assert not kinds_beside_a_stop(cut, stopped_at=7.2)
    assert kinds_beside_a_stop(cut, stopped_at=6.9)
    assert kinds_beside_a_stop(replace(cut, ended_at=12.1), stopped_at=7.2)


def test_added_route_that_a_node_does_not_have_is_found():
    # Guards against nodes that do not learn of a change because their
    # connections to the store carry nothing more.
    added = AddedRoute(version_route(7), at=9, until=11)
    missing = call(status=404, route=added.route)
    found = observe(calls=[missing], added_routes=[added])
    assert violation_kinds(found) == ['config']
    late = replace(missing, sent_at=11.5)
    assert not violations(observe(calls=[late], added_routes=[added]))


def test_node_that_exceeds_its_memory_is_found():
    # Guards against nodes that the platform ends because of their memory.
    found = observe(memory_bytes={'n0': 300_000_001, 'n1': 100_000_000})
    assert violation_kinds(found) == ['memory']
