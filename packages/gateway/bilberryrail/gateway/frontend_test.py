"""Tests of what becomes of clients' requests before a target is chosen."""

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
from bilberryrail.forwarding.routes import SplitChooser
from bilberryrail.gateway.dialect import ClientTerms
from bilberryrail.gateway.frontend import Closing, Frontend
from bilberryrail.gateway.http_server_test import ignore

#: The route's target latency is 0.3 s.
CLOSING = Closing(takes_until=Seconds(3), ends_at=Seconds(5.65))


class FakeDialect:
    """Clients that state nothing but an id."""

    def client_terms(self, found):
        return ClientTerms('q1', None)

    def with_caller(self, found, caller):
        return found

    def own_headers(self, request_id):
        return ()


class Bench:
    """A front end with one route, on a paused clock."""

    def __init__(self):
        self.clock = Clock()
        self.taken = []
        self.answers = []
        self.estimates = Estimates(0.3)
        operators = OperatorState()
        config = TrafficConfig(ConfigVersion(1), (route(),), {BOARD: RULES})
        operators.apply(ConfigRecord(0, config))
        ingress = SimpleNamespace(
            serve=self.taken.append,
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

    def serve_at(self, second):
        self.clock.advance(second - self.clock.seconds())
        self.frontend.serve(request(), '10.0.0.1', self.answers.append)


@pytest.fixture
def bench():
    return Bench()


def test_request_that_cannot_end_in_time_is_refused_at_once(bench):
    # Guards against requests that are taken late in a planned stop and cut
    # while their backend server is at work: slow work, taken 4 s after SIGTERM,
    # was given up 1.6 s later (hunt of caydanlik-net-grown, trouble-2).
    bench.estimates.route_time_reported(RouteId('r1'), 0.45)
    bench.frontend.closing = CLOSING
    bench.serve_at(4.0)
    assert [answer.status for answer in bench.answers] == [503]
    assert not bench.taken


def test_quick_request_is_taken_while_it_can_end(bench):
    # Guards against refusing callers that could still be served.
    bench.estimates.route_time_reported(RouteId('r1'), 0.04)
    bench.frontend.closing = CLOSING
    bench.serve_at(5.3)
    assert len(bench.taken) == 1
    bench.serve_at(5.4)
    assert len(bench.taken) == 1
    assert len(bench.answers) == 1


def test_requests_are_taken_until_clients_have_turned_away(bench):
    # Guards against callers that are refused although no other node is known
    # to them yet.
    bench.estimates.route_time_reported(RouteId('r1'), 3.0)
    bench.frontend.closing = CLOSING
    bench.serve_at(2.9)
    assert len(bench.taken) == 1


def test_without_a_configuration_clients_come_back(bench):
    # Guards against a 404 from a node that does not know the routes yet.
    bench.frontend.operators.table = None
    bench.serve_at(0)
    assert bench.answers[0].status == 503
    assert bench.answers[0].header(b'retry-after')
