"""Tests of a request's life at its ingress: attempts, repeats, its answer."""

from http import HTTPStatus
from random import Random

import pytest
from twisted.internet.task import Clock

from bilberryrail.core.ids import NodeId, RegionId, Seconds
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
    """An ingress on a paused clock, with three targets in its region."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(100)
        candidates = CandidateTable(SETTINGS, Random(1))
        candidates.update([peer('a'), peer('b'), peer('c')])
        self.links = FakeLinks()
        self.ingress = Ingress(
            SETTINGS, self.clock, Random(1), candidates, self.links
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
    # Guards against a late second answer to the same request.
    bench.arrive()
    bench.answer()
    bench.answer()
    assert bench.statuses() == [200]
    assert bench.ingress.is_idle


def test_request_that_is_late_everywhere_is_refused_early(bench):
    # Guards against a request that asks every target of a crowded service in
    # turn while its caller waits.
    bench.ingress.candidates.update([peer(f'd{number}') for number in range(9)])
    bench.arrive()
    for _ in range(3):
        bench.refuse(Refusal.LATE)
    assert bench.statuses() == [503]
    assert len(bench.forwards()) == 3


def test_request_waits_after_two_detours(bench):
    # Guards against a request that is passed on from one busy target to the
    # next: one was sent 21 times.
    bench.ingress.candidates.update([peer(f'd{number}') for number in range(9)])
    bench.arrive()
    bounds = []
    for _ in range(3):
        bounds.append(bench.forwards()[-1][1].max_answer_s > 0)
        bench.refuse(Refusal.BUSY)
    assert bounds == [True, True, False]


def test_request_to_another_region_has_no_bound(bench):
    # Guards against a body that crosses the link between regions again for
    # each busy target.
    bench.ingress.candidates.update(
        [peer(f'd{number}', region='away') for number in range(9)]
    )
    bench.arrive()
    assert bench.forwards()[-1][1].max_answer_s == 0


def test_late_answer_is_tried_elsewhere_in_time_for_the_aim(bench):
    # Guards against a second attempt that starts when the aim is missed: the
    # first host may be slow for a moment.
    bench.allow_retries()
    for node in 'abc':
        bench.ingress.candidates.load_reported(NodeId(node), LOAD, Seconds(100))
    bench.arrive()
    bench.clock.advance(0.29)
    assert len(bench.forwards()) == 2


def test_no_second_attempt_in_time_where_there_is_no_room(bench):
    # Guards against second attempts that fill an overloaded service.
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
    # Guards against a refusal while other targets are free.
    bench.arrive(idempotent=False)
    first = bench.refuse()
    assert bench.last()[0] != first
    bench.answer()
    assert bench.statuses() == [200]


def test_request_that_nobody_can_take_is_refused_at_once(bench):
    # Guards against holding a request that cannot be served.
    bench.arrive(idempotent=False)
    for _ in range(3):
        bench.refuse()
    assert bench.statuses() == [503]
    names = [name for name, _ in bench.answers[0].headers]
    assert names == [b'Retry-After']


@pytest.mark.parametrize('reason', list(Failure))
def test_non_idempotent_request_is_never_sent_again(bench, reason):
    # Guards against a booking that runs twice, and against a refusal that
    # says "not run" of one that may have run.
    bench.allow_retries()
    bench.arrive(idempotent=False)
    bench.fail(reason)
    assert len(bench.forwards()) == 1
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]


def test_lost_link_fails_what_was_sent_over_it(bench):
    # Guards against a booking that counts as not run because its link broke.
    bench.allow_retries()
    bench.arrive(idempotent=False)
    bench.ingress.link_lost(bench.last()[0])
    assert len(bench.forwards()) == 1
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]


def test_lost_link_says_nothing_about_the_load(bench):
    # Guards against a target that counts as full for ever because a refusal
    # that this node made up carried an empty load.
    candidates = bench.ingress.candidates
    for node in 'abc':
        candidates.load_reported(NodeId(node), LOAD, Seconds(100))
    bench.arrive()
    refused = bench.refuse(Refusal.LINK_DOWN)
    lost = bench.last()[0]
    bench.ingress.link_lost(lost)
    assert candidates.by_node[refused].load is LOAD
    assert candidates.by_node[lost].load is LOAD


def test_unsent_request_is_not_run(bench):
    # Guards against losing a booking whose link was never open.
    bench.arrive(idempotent=False)
    bench.refuse(Refusal.LINK_DOWN)
    bench.answer()
    assert bench.statuses() == [200]


def test_idempotent_request_is_repeated_within_the_budget(bench):
    # Guards against storms of repeats, and against giving up too early.
    bench.arrive()
    bench.fail()
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]
    bench.allow_retries()
    bench.arrive()
    first = bench.fail()
    assert bench.last()[0] != first
    bench.answer()
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY, 200]


def test_most_attempts_bind(bench):
    # Guards against more backend servers than the route allows.
    bench.allow_retries()
    bench.arrive(max_attempts=2)
    bench.fail()
    bench.fail()
    assert len(bench.forwards()) == 2
    assert bench.statuses() == [HTTPStatus.BAD_GATEWAY]


def test_shed_request_counts_as_an_attempt(bench):
    # Guards against refusals of backend servers that escape the budget.
    bench.allow_retries()
    bench.arrive(idempotent=False, max_attempts=2)
    bench.refuse(Refusal.SHED)
    bench.refuse(Refusal.SHED)
    assert len(bench.forwards()) == 2
    assert bench.statuses() == [503]


def test_error_of_a_backend_server_is_passed_on_if_repeats_fail(bench):
    # Guards against replacing a backend server's answer by one of our own.
    bench.allow_retries()
    bench.arrive(max_attempts=2)
    bench.answer(500)
    bench.fail()
    assert bench.statuses() == [500]
    assert bench.answers[0].body == b'body'


def test_time_limit_of_the_route_ends_a_request(bench):
    # Guards against a client that waits longer than operators allow, and
    # against work for an answer that nobody waits for.
    bench.arrive(idempotent=False, timeout_s=0.5)
    bench.clock.advance(0.5)
    assert bench.statuses() == [HTTPStatus.GATEWAY_TIMEOUT]
    assert isinstance(bench.links.sent[-1][1], Cancel)


def test_client_that_leaves_cancels_its_request(bench):
    # Guards against work for a client that has gone.
    exchange = bench.arrive()
    bench.ingress.abandon(exchange)
    assert isinstance(bench.links.sent[-1][1], Cancel)
    assert not bench.answers
    assert bench.ingress.is_idle


def test_late_idempotent_request_gets_a_second_attempt(bench):
    # Guards against answers that get lost without a sign.
    bench.allow_retries()
    bench.arrive()
    first = bench.last()[0]
    bench.clock.advance(0.6)
    assert len(bench.forwards()) == 2
    assert bench.last()[0] != first
    bench.answer()
    assert bench.statuses() == [200]
    assert isinstance(bench.links.sent[-1][1], Cancel)


def test_late_non_idempotent_request_gets_none(bench):
    # Guards against a booking that runs twice because it was slow.
    bench.allow_retries()
    bench.arrive(idempotent=False)
    bench.clock.advance(0.9)
    assert len(bench.forwards()) == 1


def test_busy_targets_let_the_request_wait(bench):
    # Guards against refusing a request that a short wait would serve.
    bench.arrive()
    for _ in range(3):
        if len(bench.forwards()) > 3:
            break
        bench.refuse(Refusal.BUSY)
    node, message = bench.forwards()[-1]
    assert not bench.answers
    bench.answer()
    assert bench.statuses() == [200]


def test_home_regions_refuse_rather_than_leave_home(bench):
    # Guards against a request that is served where it must not be.
    bench.arrive(home_regions=(RegionId('away'),))
    assert not bench.forwards()
    assert bench.statuses() == [503]


def test_reply_of_another_node_is_ignored(bench):
    # Guards against an answer that belongs to another node's request.
    bench.arrive()
    _, attempt = bench.last()
    answer = Answered(attempt, HttpAnswer(200), LOAD)
    bench.ingress.answered(NodeId('stranger'), answer)
    assert not bench.answers
