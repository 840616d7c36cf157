"""Tests of how long a backend server is expected to take."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.records import RouteId
from bilberryrail.forwarding.service_time import ServiceTimeEstimator, Start

LONG = RouteId('long')
SHORT = RouteId('short')


def learn_runs(estimator, slowdown_of):
    """Let runs run_started on a calm and on a slow host by turns."""
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
def test_what_the_start_decides_is_learned(slowdown_of, share):
    # Guards against keeping long work away from a host that is slow for a
    # moment only, and against starting it where the start decides all of it.
    estimator = ServiceTimeEstimator()
    learn_runs(estimator, slowdown_of)
    assert estimator.by_route[LONG].start_share == pytest.approx(share, abs=0.1)


def test_each_route_has_its_own_usual_duration():
    # Guards against a backend server that looks slow whenever a long request
    # ends and fast whenever a short one does.
    estimator = ServiceTimeEstimator()
    for second in range(20):
        estimator.learn(LONG, 0.4, Seconds(second))
        estimator.learn(SHORT, 0.04, Seconds(second))
    assert estimator.usual_s(LONG) == pytest.approx(0.4)
    assert estimator.usual_s(SHORT) == pytest.approx(0.04)
    assert estimator.slowdown(Seconds(20)) == pytest.approx(1)


def test_usual_duration_is_that_on_a_calm_host():
    # Guards against a usual duration that grows with the noise of the hosts.
    estimator = ServiceTimeEstimator()
    learn_runs(estimator, lambda reported, mean: reported)
    assert estimator.usual_s(LONG) == pytest.approx(0.1)
    assert estimator.residual_slowdown(Seconds(200)) == pytest.approx(1)


def test_run_whose_start_is_not_known_teaches_nothing():
    # Guards against noise that is taken for a longer usual duration.
    estimator = ServiceTimeEstimator()
    learn_runs(estimator, lambda reported, mean: reported)
    unknown = Start(1.75, 1.75, is_known=False)
    estimator.learn(LONG, 0.4, Seconds(200), unknown)
    assert estimator.usual_s(LONG) == pytest.approx(0.1)


def test_slow_backend_server_shows_in_its_pace():
    # Guards against a backend server that is slow and does not say so.
    estimator = ServiceTimeEstimator()
    for second in range(30):
        estimator.learn(LONG, 0.1, Seconds(second))
    for _ in range(10):
        estimator.learn(LONG, 0.5, Seconds(30))
    assert estimator.slowdown(Seconds(30)) > 2
