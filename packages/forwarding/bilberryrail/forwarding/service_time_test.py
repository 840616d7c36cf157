"""Tests of how long a backend server is expected to take."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.records import RouteId
from bilberryrail.forwarding.service_time import ServiceTimeEstimator, Start

LONG = RouteId('long')
SHORT = RouteId('short')


def learn_runs(pace, slowdown_of):
    """Let runs begin on a calm and on a slow host by turns."""
    for number in range(200):
        now = Seconds(number)
        stated = 4.0 if number % 4 == 0 else 1.0
        pace.load_reported(LoadReport(1, 0, 6, stated), now)
        start = pace.begin(LONG, now)
        slowdown = slowdown_of(stated, pace.reported_slowdown.average)
        pace.learn(LONG, 0.1 * slowdown, now, start)


@pytest.mark.parametrize(
    ('slowdown_of', 'share'),
    [
        (lambda stated, mean: stated, 1.0),
        (lambda stated, mean: mean + (stated - mean) / 2, 0.5),
        (lambda stated, mean: mean, 0.0),
    ],
)
def test_what_the_start_decides_is_learned(slowdown_of, share):
    # Guards against keeping long work away from a host that is slow for a
    # moment only, and against starting it where the start decides all of it.
    pace = ServiceTimeEstimator()
    learn_runs(pace, slowdown_of)
    assert pace.by_route[LONG].start_share == pytest.approx(share, abs=0.1)


def test_each_route_has_its_own_usual_duration():
    # Guards against a backend server that looks slow whenever a long request
    # ends and fast whenever a short one does.
    pace = ServiceTimeEstimator()
    for second in range(20):
        pace.learn(LONG, 0.4, Seconds(second))
        pace.learn(SHORT, 0.04, Seconds(second))
    assert pace.usual_s(LONG) == pytest.approx(0.4)
    assert pace.usual_s(SHORT) == pytest.approx(0.04)
    assert pace.slowdown(Seconds(20)) == pytest.approx(1)


def test_usual_duration_is_that_on_a_calm_host():
    # Guards against a usual duration that grows with the noise of the hosts.
    pace = ServiceTimeEstimator()
    learn_runs(pace, lambda stated, mean: stated)
    assert pace.usual_s(LONG) == pytest.approx(0.1)
    assert pace.unstated(Seconds(200)) == pytest.approx(1)


def test_run_whose_start_is_not_known_teaches_nothing():
    # Guards against noise that is taken for a longer usual duration.
    pace = ServiceTimeEstimator()
    learn_runs(pace, lambda stated, mean: stated)
    unknown = Start(1.75, 1.75, is_known=False)
    pace.learn(LONG, 0.4, Seconds(200), unknown)
    assert pace.usual_s(LONG) == pytest.approx(0.1)


def test_slow_backend_server_shows_in_its_pace():
    # Guards against a backend server that is slow and does not say so.
    pace = ServiceTimeEstimator()
    for second in range(30):
        pace.learn(LONG, 0.1, Seconds(second))
    for _ in range(10):
        pace.learn(LONG, 0.5, Seconds(30))
    assert pace.slowdown(Seconds(30)) > 2
