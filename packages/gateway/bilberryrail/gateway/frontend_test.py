"""Tests of how requests of clients are accepted or refused."""

from random import Random
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.candidates import Estimates
from bilberryrail.forwarding.fixtures_test import BOARD, RULES, request, route
from bilberryrail.forwarding.operators import ConfigRecord, OperatorState
from bilberryrail.forwarding.records import (
    ConfigVersion,
    RouteId,
    TrafficConfig,
)
from bilberryrail.forwarding.routes import RouteTable, SplitChooser
from bilberryrail.gateway.dialect import ClientTerms
from bilberryrail.gateway.frontend import Closing, Frontend
from bilberryrail.gateway.http_server_test import ignore

#: Schedule of a shutdown; the target latency of the route is 0.3 s.
CLOSING = Closing(accepts_until=Seconds(3), ends_at=Seconds(5.65))


class FakeDialect:
    """Clients that state only the id of their request."""

    def client_terms(self, found):
        return ClientTerms('q1', None)

    def with_caller(self, found, caller):
        return found

    def own_headers(self, request_id):
        return ()


class Bench:
    """A front end with one route, on a clock that the test advances."""

    def __init__(self):
        self.clock = Clock()
        self.accepted = []
        self.answers = []
        self.estimates = Estimates(0.3)
        operators = OperatorState()
        config = TrafficConfig(ConfigVersion(1), (route(),), {BOARD: RULES})
        operators.apply(ConfigRecord(0, config))
        ingress = SimpleNamespace(
            serve=self.accepted.append,
            random=Random(1),
            candidates=SimpleNamespace(estimates=self.estimates),
        )
        self.frontend = Frontend(
            self.clock,
            FakeDialect(),
            operators,
            ingress,
            SplitChooser(Random(1)),
            ignore,
        )

    def serve_at(self, second, *, idempotent=True, timeout_s=4.0):
        found = route(idempotent=idempotent, timeout_s=timeout_s)
        config = TrafficConfig(ConfigVersion(2), (found,), {BOARD: RULES})
        self.frontend.operators.table = RouteTable(config)
        self.clock.advance(second - self.clock.seconds())
        self.frontend.serve(request(), '10.0.0.1', self.answers.append)


@pytest.fixture
def bench():
    return Bench()


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('timeout_s', [0.9, 2.0, 5.0])
@pytest.mark.parametrize('usual_s', [0.001, 0.15, 0.45])
def test_late_request_that_may_outlast_the_process_is_refused(
    bench, usual_s, timeout_s, idempotent
):
    # Guards against requests that are accepted late in a planned stop and cut
    # while their backend server runs them, because they take longer than their
    # route usually does (LOST, review/5).
    bench.estimates.route_time_reported(RouteId('r1'), usual_s)
    bench.frontend.closing = CLOSING
    for second in (CLOSING.ends_at - timeout_s + 0.01, 4.9, 5.64):
        bench.serve_at(
            max(second, CLOSING.accepts_until),
            idempotent=idempotent,
            timeout_s=timeout_s,
        )
    assert [answer.status for answer in bench.answers] == [503, 503, 503]
    assert not bench.accepted


def test_late_request_that_must_not_be_repeated_is_refused(bench):
    # Guards against cutting a request that must not be repeated: how long it
    # runs is not known, and another node can serve it from the start (issue 29,
    # LOST).
    bench.estimates.route_time_reported(RouteId('r1'), 0.04)
    bench.frontend.closing = CLOSING
    bench.serve_at(3.1, idempotent=False)
    assert [answer.status for answer in bench.answers] == [503]
    assert not bench.accepted


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    ('second', 'timeout_s'), [(3.0, 2.6), (4.9, 0.7), (5.3, 0.3)]
)
def test_late_request_whose_deadline_is_before_the_end_is_accepted(
    bench, second, timeout_s, idempotent
):
    # Guards against refusing requests that can still be served: they are over
    # before the process is.
    bench.estimates.route_time_reported(RouteId('r1'), 0.5)
    bench.frontend.closing = CLOSING
    bench.serve_at(second, idempotent=idempotent, timeout_s=timeout_s)
    assert bench.accepted[0].expires_at <= CLOSING.ends_at
    assert not bench.answers


def test_all_requests_are_accepted_at_the_start_of_a_shutdown(bench):
    # Guards against refusing clients before the platform sends them to another
    # node.
    bench.estimates.route_time_reported(RouteId('r1'), 3.0)
    bench.frontend.closing = CLOSING
    bench.serve_at(2.9)
    assert len(bench.accepted) == 1


def test_clients_are_told_to_retry_without_a_configuration(bench):
    # Guards against a 404 from a node that does not know the routes yet.
    bench.frontend.operators.table = None
    bench.frontend.serve(request(), '10.0.0.1', bench.answers.append)
    assert bench.answers[0].status == 503
    assert bench.answers[0].header(b'retry-after')


def test_route_without_a_service_refuses_its_requests(bench):
    # Guards against a configuration in which all weights of a route are zero:
    # each request failed with an unexpected error.
    empty = TrafficConfig(ConfigVersion(2), (route(parts=()),), {BOARD: RULES})
    bench.frontend.operators.table = RouteTable(empty)
    bench.frontend.serve(request(), '10.0.0.1', bench.answers.append)
    assert [answer.status for answer in bench.answers] == [503]
    assert not bench.accepted
