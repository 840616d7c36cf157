"""Tests of the estimated duration of requests."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.records import RouteId
from bilberryrail.forwarding.service_time import ServiceTimeEstimator, Start

LONG = RouteId('long')
SHORT = RouteId('short')


def learn_runs(estimator, slowdown_of):
    """Learn from requests on a host that is slow for one in four."""
    for number in range(200):
        now = Seconds(number)
        reported = 4.0 if number % 4 == 0 else 1.0
        estimator.load_reported(LoadReport(1, 0, 6, reported), now)
        start = estimator.run_started(LONG, now)
        slowdown = slowdown_of(reported, estimator.reported_slowdown.average)
        estimator.learn(LONG, 0.1 * slowdown, now, start)


@pytest.mark.parametrize(
    ('slowdown_of', 'share'),
    [
        (lambda reported, mean: reported, 1.0),
        (lambda reported, mean: mean + (reported - mean) / 2, 0.5),
        (lambda reported, mean: mean, 0.0),
    ],
)
def test_share_of_duration_decided_at_the_start_is_learned(slowdown_of, share):
    # Guards against keeping long requests away from a host that is slow for a
    # moment only, and against starting them there if their whole duration
    # depends on the speed at the start.
    estimator = ServiceTimeEstimator()
    learn_runs(estimator, slowdown_of)
    assert estimator.by_route[LONG].start_share == pytest.approx(share, abs=0.1)


def test_each_route_has_its_own_usual_duration():
    # Guards against a backend server that seems slow whenever a long request
    # ends and fast whenever a short one does.
    estimator = ServiceTimeEstimator()
    for second in range(20):
        estimator.learn(LONG, 0.4, Seconds(second))
        estimator.learn(SHORT, 0.04, Seconds(second))
    assert estimator.usual_s(LONG) == pytest.approx(0.4)
    assert estimator.usual_s(SHORT) == pytest.approx(0.04)
    assert estimator.slowdown(Seconds(20)) == pytest.approx(1)


def test_usual_duration_excludes_slow_episodes():
    # Guards against a usual duration that grows with the slow episodes of
    # hosts.
    estimator = ServiceTimeEstimator()
    learn_runs(estimator, lambda reported, mean: reported)
    assert estimator.usual_s(LONG) == pytest.approx(0.1)
    assert estimator.residual_slowdown(Seconds(200)) == pytest.approx(1)


def test_request_with_unknown_start_is_not_learned():
    # Guards against learning a longer usual duration from a slow episode.
    estimator = ServiceTimeEstimator()
    learn_runs(estimator, lambda reported, mean: reported)
    unknown = Start(1.75, 1.75, is_known=False)
    estimator.learn(LONG, 0.4, Seconds(200), unknown)
    assert estimator.usual_s(LONG) == pytest.approx(0.1)


def test_unreported_slowdown_is_learned():
    # Guards against a backend server that is slow and does not report it.
    estimator = ServiceTimeEstimator()
    for second in range(30):
        estimator.learn(LONG, 0.1, Seconds(second))
    for _ in range(10):
        estimator.learn(LONG, 0.5, Seconds(30))
    assert estimator.slowdown(Seconds(30)) > 2
