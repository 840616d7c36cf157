"""Tests of the ingress role: attempts, retries and the answer."""

from http import HTTPStatus
from random import Random

import pytest
from twisted.internet.task import Clock

from bilberryrail.core.ids import NodeId, RegionId, Seconds
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.fixtures_test import (
    BOARD,
    SETTINGS,
    peer,
    request,
    route,
)
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.messages import (
    Answered,
    Cancel,
    Failed,
    Forward,
    Refused,
)
from bilberryrail.forwarding.quarantine import Quarantine
from bilberryrail.forwarding.records import (
    BackendLoad,
    ConfigVersion,
    Failure,
    HttpAnswer,
    Refusal,
)
from bilberryrail.forwarding.selection import CandidateTable

LOAD = BackendLoad(limit=8, service_s=0.02)


class FakeLinks:
    """Records messages to targets."""

    def __init__(self):
        self.sent = []

    def send(self, node, message):
        self.sent.append((node, message))

    def is_up(self, node):
        return True


class Bench:
    """An ingress on a fake clock, with three targets in its region."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(100)
        candidates = CandidateTable(SETTINGS, Random(1))
        candidates.update([peer('a'), peer('b'), peer('c')])
        self.links = FakeLinks()
        self.ledger = CrashLedger(
            SETTINGS.quarantine, lambda: int(self.clock.seconds() * 1000)
        )
        self.quarantine = Quarantine(self.ledger)
        self.ingress = Ingress(
            SETTINGS,
            self.clock,
            Random(1),
            candidates,
            self.links,
            self.quarantine,
        )
        self.answers = []

    def arrive(self, **terms):
        found = route(**terms)
        now = self.clock.seconds()
        exchange = Exchange(
            request=request(),
            request_id='q1',
            route=found,
            service=BOARD,
            version=ConfigVersion(3),
            arrived_at=Seconds(now),
            expires_at=Seconds(now + found.timeout_s),
            respond=self.answers.append,
        )
        self.ingress.serve(exchange)
        return exchange

    def allow_retries(self, count=5):
        for _ in range(int(count / 0.08)):
            self.ingress.retry_budget.deposit(BOARD)

    def forwards(self):
        return [
            pair for pair in self.links.sent if isinstance(pair[1], Forward)
        ]

    def last(self):
        node, message = self.forwards()[-1]
        return node, message.attempt

    def refuse(self, reason=Refusal.NO_BACKEND):
        node, attempt = self.last()
        load = None if reason is Refusal.LINK_DOWN else LOAD
        self.ingress.refused(node, Refused(attempt, reason, 0.1, load))
        return node

    def fail(self, reason=Failure.RESET):
        node, attempt = self.last()
        self.ingress.failed(node, Failed(attempt, reason, LOAD))
        return node

    def answer(self, status=200):
        node, attempt = self.last()
        answer = HttpAnswer(status, (), b'body')
        self.ingress.answered(node, Answered(attempt, answer, LOAD))

    def statuses(self):
        return [int(one.status) for one in self.answers]


@pytest.fixture
def bench():
    return Bench()


def test_answer_reaches_the_client_once(bench):
    # Guards against answering the client twice when a second answer arrives.
    bench.arrive()
    bench.answer()
    bench.answer()
    assert bench.statuses() == [200]
    assert bench.ingress.is_idle


def test_request_that_is_late_everywhere_is_refused_early(bench):
    # Guards against trying every target of an overloaded service one after
    # another while the caller waits.
    bench.ingress.candidates.update([peer(f'd{number}') for number in range(9)])
    bench.arrive()
    for _ in range(3):
        bench.refuse(Refusal.LATE)
    assert bench.statuses() == [503]
    assert len(bench.forwards()) == 3


def test_request_waits_after_two_busy_refusals(bench):
    # Guards against a request that each busy target refuses in turn: one
    # request was sent 21 times.
    bench.ingress.candidates.update([peer(f'd{number}') for number in range(9)])
    bench.arrive()
    has_limit = []
    for _ in range(3):
        has_limit.append(bench.forwards()[-1][1].max_answer_s > 0)
        bench.refuse(Refusal.BUSY)
    assert has_limit == [True, True, False]


def test_request_to_another_region_has_no_answer_limit(bench):
    # Guards against sending a body over the link between regions again for each
    # busy target.
    bench.ingress.candidates.update(
        [peer(f'd{number}', region='away') for number in range(9)]
    )
    bench.arrive()
    assert bench.forwards()[-1][1].max_answer_s == 0


def test_request_is_hedged_in_time_for_the_target_latency(bench):
    # Guards against a hedged request that starts only after the target latency
    # was missed, although the first host may be slow for a short time only.
    bench.allow_retries()
    for node in 'abc':
        bench.ingress.candidates.load_reported(NodeId(node), LOAD, Seconds(100))
    bench.arrive()
    bench.clock.advance(0.29)
    assert len(bench.forwards()) == 2


def test_request_is_not_hedged_while_targets_are_full(bench):
    # Guards against hedged requests that add load to an overloaded service.
    bench.allow_retries()
    idle = BackendLoad(limit=8, service_s=0.1)
    for node in 'abc':
        bench.ingress.candidates.load_reported(NodeId(node), idle, Seconds(100))
    bench.arrive()
    full = BackendLoad(running=40, limit=8, service_s=0.1)
    for node in 'abc':
        bench.ingress.candidates.load_reported(NodeId(node), full, Seconds(100))
    bench.clock.advance(0.25)
    assert len(bench.forwards()) == 1


def test_refused_request_goes_to_another_target(bench):
    # Guards against refusing a request while other targets have free slots.
    bench.arrive(idempotent=False)
    first = bench.refuse()
    assert bench.last()[0] != first
    bench.answer()
    assert bench.statuses() == [200]


def test_request_that_no_target_can_run_is_refused_at_once(bench):
    # Guards against holding a request that cannot be served.
    bench.arrive(idempotent=False)
    for _ in range(3):
        bench.refuse()
    assert bench.statuses() == [503]
    names = [name for name, _ in bench.answers[0].headers]
    assert names == [b'Retry-After']


@pytest.mark.parametrize('reason', list(Failure))
def test_non_idempotent_request_is_never_sent_again(bench, reason):
    # Guards against a booking that runs twice, and against an answer that says
    # "not run" for a request that may have run.
    bench.allow_retries()
    bench.arrive(idempotent=False)
    bench.fail(reason)
    assert len(bench.forwards()) == 1
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]


def test_lost_link_fails_the_requests_sent_over_it(bench):
    # Guards against treating a booking as not run because its link was lost.
    bench.allow_retries()
    bench.arrive(idempotent=False)
    bench.ingress.link_lost(bench.last()[0])
    assert len(bench.forwards()) == 1
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]


def test_lost_link_does_not_change_the_known_load(bench):
    # Guards against considering a target full for ever because a refusal that
    # this node created carried an empty load report.
    candidates = bench.ingress.candidates
    for node in 'abc':
        candidates.load_reported(NodeId(node), LOAD, Seconds(100))
    bench.arrive()
    refused = bench.refuse(Refusal.LINK_DOWN)
    lost = bench.last()[0]
    bench.ingress.link_lost(lost)
    assert candidates.by_node[refused].load is LOAD
    assert candidates.by_node[lost].load is LOAD


def test_unsent_request_is_sent_to_another_target(bench):
    # Guards against failing a booking that was never sent, because the link was
    # not open.
    bench.arrive(idempotent=False)
    bench.refuse(Refusal.LINK_DOWN)
    bench.answer()
    assert bench.statuses() == [200]


def test_idempotent_request_is_retried_within_the_budget(bench):
    # Guards against retry storms, and against giving up although retries are
    # allowed.
    bench.arrive()
    bench.fail()
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]
    bench.allow_retries()
    bench.arrive()
    first = bench.fail()
    assert bench.last()[0] != first
    bench.answer()
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY, 200]


def test_route_limits_the_number_of_attempts(bench):
    # Guards against sending a request to more backend servers than the route
    # allows.
    bench.allow_retries()
    bench.arrive(max_attempts=2)
    bench.fail()
    bench.fail()
    assert len(bench.forwards()) == 2
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]


def test_shed_request_counts_as_an_attempt(bench):
    # Guards against refusals by backend servers that do not count against the
    # retry budget.
    bench.allow_retries()
    bench.arrive(idempotent=False, max_attempts=2)
    bench.refuse(Refusal.SHED)
    bench.refuse(Refusal.SHED)
    assert len(bench.forwards()) == 2
    assert bench.statuses() == [503]


def test_error_of_a_backend_server_is_passed_on_if_retries_fail(bench):
    # Guards against replacing a backend server's answer with one that the node
    # created.
    bench.allow_retries()
    bench.arrive(max_attempts=2)
    bench.answer(500)
    bench.fail()
    assert bench.statuses() == [500]
    assert bench.answers[0].body == b'body'


def test_time_limit_of_the_route_ends_a_request(bench):
    # Guards against a client that waits longer than operators allow, and
    # against running a request whose answer nobody waits for.
    bench.arrive(idempotent=False, timeout_s=0.5)
    bench.clock.advance(0.5)
    assert bench.statuses() == [HTTPStatus.GATEWAY_TIMEOUT]
    assert isinstance(bench.links.sent[-1][1], Cancel)


def test_disconnected_client_cancels_its_request(bench):
    # Guards against running a request whose client has disconnected.
    exchange = bench.arrive()
    bench.ingress.abandon(exchange)
    assert isinstance(bench.links.sent[-1][1], Cancel)
    assert not bench.answers
    assert bench.ingress.is_idle


def test_overdue_idempotent_request_is_hedged(bench):
    # Guards against answers that are lost without any error.
    bench.allow_retries()
    bench.arrive()
    first = bench.last()[0]
    bench.clock.advance(0.6)
    assert len(bench.forwards()) == 2
    assert bench.last()[0] != first
    bench.answer()
    assert bench.statuses() == [200]
    assert isinstance(bench.links.sent[-1][1], Cancel)


def test_overdue_non_idempotent_request_is_not_hedged(bench):
    # Guards against a booking that runs twice because it was slow.
    bench.allow_retries()
    bench.arrive(idempotent=False)
    bench.clock.advance(0.9)
    assert len(bench.forwards()) == 1


def test_request_waits_if_all_targets_are_busy(bench):
    # Guards against refusing a request that could be served after a short wait.
    bench.arrive()
    for _ in range(3):
        if len(bench.forwards()) > 3:
            break
        bench.refuse(Refusal.BUSY)
    node, message = bench.forwards()[-1]
    assert not bench.answers
    bench.answer()
    assert bench.statuses() == [200]


def test_request_is_refused_without_a_target_in_its_home_regions(bench):
    # Guards against serving a request in a region that may not serve it.
    bench.arrive(home_regions=(RegionId('away'),))
    assert not bench.forwards()
    assert bench.statuses() == [503]


def test_reply_of_another_node_is_ignored(bench):
    # Guards against accepting an answer that another node sent under the same
    # attempt id.
    bench.arrive()
    _, attempt = bench.last()
    answer = Answered(attempt, HttpAnswer(200), LOAD)
    bench.ingress.answered(NodeId('stranger'), answer)
    assert not bench.answers


@pytest.mark.parametrize('status', [408, 421, 429, 503])
@pytest.mark.parametrize('idempotent', [True, False])
def test_failure_of_a_backend_server_promises_nothing(
    bench, status, idempotent
):
    # Guards against a client that is told "not run" although its request has
    # run: the server failed afterwards, with a status that means this (REFUSED,
    # review/2).
    bench.arrive(idempotent=idempotent)
    node, attempt = bench.last()
    failure = HttpAnswer(status, ((b'Retry-After', b'1'),), b'busy')
    bench.ingress.answered(node, Answered(attempt, failure, LOAD))
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]
    assert bench.answers[-1].is_own


@pytest.mark.parametrize('status', [0, 99, 100, 600])
def test_invalid_status_from_another_node_is_no_answer(bench, status):
    # Guards against the status 000 of a faulty backend server that a target of
    # an earlier version passes on (issue 42, MIXED).
    bench.arrive(idempotent=False)
    node, attempt = bench.last()
    bench.ingress.answered(node, Answered(attempt, HttpAnswer(status), LOAD))
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]
    assert bench.answers[-1].is_own


def test_client_is_told_how_long_a_request_is_quarantined(bench):
    # Guards against a client that returns at once, because this node does not
    # know the crashes that the target knows.
    bench.arrive()
    node, attempt = bench.last()
    refusal = Refused(attempt, Refusal.QUARANTINED, 600.0, LOAD)
    bench.ingress.refused(node, refusal)
    answer = bench.answers[-1]
    assert answer.status == HTTPStatus.SERVICE_UNAVAILABLE
    assert float(answer.header(b'retry-after')) >= 600


def test_idempotent_request_leaves_a_target_whose_link_may_recover(bench):
    # Guards against lookups that wait for a paused node, and against a booking
    # that is given up or sent again although the node may still run it.
    bench.allow_retries()
    bench.arrive()
    node, attempt = bench.last()
    bench.ingress.link_lost(node, may_recover=True)
    assert bench.last()[0] != node
    assert (node, Cancel(attempt)) in bench.links.sent
    bench.arrive(idempotent=False)
    booking = bench.last()
    bench.ingress.link_lost(booking[0], may_recover=True)
    assert bench.last() == booking
    assert not bench.answers
