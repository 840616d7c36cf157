"""Tests of health checks of the backend server."""

import math

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryrail.forwarding.backend_test import heartbeat
from bilberryrail.forwarding.load_report import HealthResult, Notice
from bilberryrail.forwarding.records import InstanceId
from bilberryrail.forwarding.target_test import Bench as TargetBench
from bilberryrail.gateway import health_checker
from bilberryrail.gateway.answer_reader import RawAnswer
from bilberryrail.gateway.http_channel import ChannelError
from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.settings import Address


class FakeChannel:
    """Records health checks; the test answers them."""

    waiting = []

    def __init__(self, *_):
        """Ignore the address."""

    def request(self, *_):
        FakeChannel.waiting.append(Deferred())
        return FakeChannel.waiting[-1]


class FakeDialect:
    """Reports a backend server as healthy if its answer has status 200."""

    def health(self, status, headers):
        return HealthResult(
            is_healthy=status == 200,
            cold_s=0,
            instance=InstanceId(dict(headers).get('instance', '')) or None,
            notice=Notice(dict(headers).get('limit', math.inf)),
        )


@pytest.fixture
def bench(monkeypatch):
    monkeypatch.setattr(health_checker, 'HttpChannel', FakeChannel)
    FakeChannel.waiting = []
    found = TargetBench()
    found.checker = health_checker.HealthChecker(
        Clock(),
        FakeDialect(),
        Address('10.0.0.1', 80),
        found.target,
        ignore,
    )
    return found


def test_one_check_at_a_time(bench):
    # Guards against checks that accumulate at a backend server that hangs.
    bench.checker.start()
    bench.checker.reactor.advance(1)
    assert len(FakeChannel.waiting) == 1


def test_refused_connection_means_down(bench):
    # Guards against sending requests to a backend server that has ended.
    bench.checker.start()
    FakeChannel.waiting[0].errback(ChannelError('Connection was refused'))
    assert bench.backend.down


def test_successful_check_means_up_again(bench):
    # Guards against a backend server that stays unused after a restart.
    bench.backend.down = True
    bench.checker.start()
    FakeChannel.waiting[0].callback(RawAnswer(status=200))
    assert not bench.backend.down


def test_checks_continue_after_an_unexpected_error(bench):
    # Guards against an error that ends all later checks.
    bench.checker.start()
    FakeChannel.waiting[0].errback(ValueError('unexpected'))
    bench.checker.reactor.advance(1)
    assert len(FakeChannel.waiting) == 2


def test_no_check_is_sent_without_a_configuration(bench):
    # Guards against health checks while their path is not known yet.
    bench.backend.rules = None
    bench.backend.heartbeat_received(heartbeat(), 200)
    bench.checker.start()
    assert not FakeChannel.waiting


def test_immediate_check_runs_between_two_regular_ones(bench):
    # Guards against a request that waits for the next regular check.
    bench.checker.start()
    FakeChannel.waiting[0].callback(RawAnswer(status=200))
    bench.checker.reactor.advance(0.01)
    bench.checker.check_now()
    bench.checker.check_now()
    assert len(FakeChannel.waiting) == 2
    bench.checker.reactor.advance(0.1)
    FakeChannel.waiting[1].callback(RawAnswer(status=200))
    assert (
        bench.target.backend.service_time.reported_slowdown.health_check_s
        > 0.005
    )


def test_limit_in_a_health_check_is_applied(bench):
    # Guards against a restarted node that learns a limit only from the answer
    # to its first request.
    bench.checker.start()
    headers = [('instance', 'i1'), ('limit', 7.5)]
    FakeChannel.waiting[0].callback(RawAnswer(status=200, headers=headers))
    assert bench.backend.statements.notice == Notice(7.5)


def test_health_check_without_a_limit_lifts_none(bench):
    # Guards against a limit that is forgotten because a backend server states
    # it only in answers to requests.
    bench.backend.statements.notice = Notice(7.5)
    bench.checker.start()
    headers = [('instance', 'i1')]
    FakeChannel.waiting[0].callback(RawAnswer(status=200, headers=headers))
    assert bench.backend.statements.notice == Notice(7.5)
