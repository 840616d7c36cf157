"""Each checker of the soak is shown to fail on a promise that is broken."""

import pytest

from bilberryrail.adapter.standins.backend_server import Departure, Run
from bilberryrail.adapter.standins.caller import Call
from bilberryrail.soak.checkers import (
    Calm,
    Cold,
    Records,
    ZoneOut,
    violations,
)
from bilberryrail.soak.topology import BOOKING, HOME_BOOKING, LOOKUP


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


def records(runs=(), calls=(), **fields):
    return Records(
        runs=list(runs),
        calls=list(calls),
        callers={'n0': 'board'},
        cold_limit=5,
        **fields,
    )


def kinds(found):
    return [line.partition(':')[0] for line in violations(found)]


def test_nothing_broken():
    # Guards against a checker that always complains.
    assert not violations(records([run()], [call()]))


def test_booking_that_runs_twice():
    # Guards against a checker of at-most-once that sees nothing.
    assert kinds(records([run(), run(at=11)], [call()])) == ['twice']


def test_lookup_may_run_twice():
    # Guards against a checker that forbids what is allowed.
    lookup = run(target=b'/status/1')
    assert not kinds(records([lookup, lookup], [call(route=LOOKUP)]))


def test_refusal_of_a_booking_that_ran():
    # Guards against a checker that believes every refusal.
    assert kinds(records([run()], [call(status=503)])) == ['refused']


def test_unknown_end_is_no_refusal():
    # Guards against a checker that takes 502 for a promise.
    assert not kinds(records([run()], [call(status=502)]))


def test_answer_of_another_request():
    # Guards against a checker that only looks at the status.
    assert kinds(records([run()], [call(whole=False)])) == ['mixed']


@pytest.mark.parametrize(
    ('fields', 'kind'),
    [({'target': b'/else/1'}, 'changed'), ({'caller': 'desk'}, 'caller')],
)
def test_changed_request(fields, kind):
    # Guards against a checker that does not compare what was sent.
    assert kinds(records([run(**fields)], [call()])) == [kind]


def test_request_after_an_acknowledged_departure():
    # Guards against a checker that forgets departures.
    left = [Departure(7.0, 'i1')]
    assert kinds(records([run()], [call()], departures=left)) == ['drain']
    just_left = [Departure(8.0, 'i1')]
    assert not kinds(records([run()], [call()], departures=just_left))


def test_request_in_a_zone_that_is_out():
    # Guards against a checker that forgets operators' wishes.
    out = [ZoneOut('ub-east', 1.0, 20.0)]
    assert kinds(records([run()], [call()], zones_out=out)) == ['zone']
    back = [ZoneOut('ub-east', 1.0, 9.0)]
    assert not kinds(records([run()], [call()], zones_out=back))
    faults = [(2.0, 8.0)]
    found = records([run()], [call()], zones_out=out, store_faults=faults)
    assert not kinds(found)


def test_request_away_from_home():
    # Guards against a checker that ignores regions.
    homes = {HOME_BOOKING.prefix: frozenset(('dk-north',))}
    away = run(target=b'/home/1')
    found = records([away], [call(route=HOME_BOOKING)], home_zones=homes)
    assert kinds(found) == ['home']


def test_too_many_requests_at_a_cold_backend_server():
    # Guards against a checker that counts in fixed seconds.
    runs = [run(f'q{index}', at=9.9 + index / 30) for index in range(7)]
    calls = [call(f'q{index}') for index in range(7)]
    cold = [Cold('i1', 9.0, 12.0)]
    assert kinds(records(runs, calls, cold=cold)) == ['cold']
    assert not kinds(records(runs[:5], calls, cold=cold))


def test_fleet_that_does_not_recover():
    # Guards against a soak that ends well because nobody was served.
    calm = Calm(9.0, 12.0)
    failing = [call(f'q{index}', status=504) for index in range(5)]
    assert kinds(records([], failing, calm=calm)) == ['recover']
    assert kinds(records([], [], calm=calm)) == ['recover']
