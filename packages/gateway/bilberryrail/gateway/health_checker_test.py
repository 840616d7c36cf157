"""Tests of health checks of the backend server."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryrail.forwarding.backend_test import heartbeat
from bilberryrail.forwarding.load_report import HealthResult
from bilberryrail.forwarding.target_test import Bench as TargetBench
from bilberryrail.gateway import health_checker
from bilberryrail.gateway.answer_reader import RawAnswer
from bilberryrail.gateway.http_channel import ChannelError
from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.settings import Address


class FakeChannel:
    """Keeps checks until the test ends them."""

    waiting = []

    def __init__(self, *_):
        """Ignore the address."""

    def ask(self, *_):
        FakeChannel.waiting.append(Deferred())
        return FakeChannel.waiting[-1]


class FakeDialect:
    """Says what the test wants about each answer."""

    def health(self, status, headers):
        return HealthResult(is_healthy=status == 200, cold_s=0)


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
    # Guards against checks that pile up at a backend server that hangs.
    bench.checker.start()
    bench.checker.reactor.advance(1)
    assert len(FakeChannel.waiting) == 1


def test_refused_connection_means_down(bench):
    # Guards against requests for a backend server that has ended.
    bench.checker.start()
    FakeChannel.waiting[0].errback(ChannelError('Connection was refused'))
    assert bench.backend.down


def test_good_answer_brings_it_back(bench):
    # Guards against a backend server that stays out after a restart.
    bench.backend.down = True
    bench.checker.start()
    FakeChannel.waiting[0].callback(RawAnswer(status=200))
    assert not bench.backend.down


def test_checks_go_on_after_one_that_broke(bench):
    # Guards against an error that ends all later checks.
    bench.checker.start()
    FakeChannel.waiting[0].errback(ValueError('unexpected'))
    bench.checker.reactor.advance(1)
    assert len(FakeChannel.waiting) == 2


def test_nothing_is_asked_without_a_configuration(bench):
    # Guards against checks of a path that is not known yet.
    bench.backend.rules = None
    bench.backend.heartbeat_received(heartbeat(), 200)
    bench.checker.start()
    assert not FakeChannel.waiting


def test_look_is_a_check_between_two_others(bench):
    # Guards against a request that waits for the next regular check.
    bench.checker.start()
    FakeChannel.waiting[0].callback(RawAnswer(status=200))
    bench.checker.reactor.advance(0.01)
    bench.checker.look()
    bench.checker.look()
    assert len(FakeChannel.waiting) == 2
    bench.checker.reactor.advance(0.1)
    FakeChannel.waiting[1].callback(RawAnswer(status=200))
    assert (
        bench.target.backend.service_time.reported_slowdown.health_check_s
        > 0.005
    )
