"""Tests of how long a backend server is expected to take."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import LoadReport
from bilberryrail.forwarding.pace import SLOWDOWN_LASTS_S, Pace, duration_s
from bilberryrail.forwarding.records import RouteId

LONG = RouteId('long')
SHORT = RouteId('short')


def test_long_work_outlasts_a_short_slowdown():
    # Guards against keeping long requests away from a host that is slow for
    # a moment, and short ones on it.
    assert duration_s(0.02, 4, 2) == pytest.approx(0.08)
    long_s = duration_s(1.0, 4, 2)
    assert long_s == pytest.approx(SLOWDOWN_LASTS_S + (1 - 0.0375) * 2)


def test_each_route_has_its_own_usual_duration():
    # Guards against a backend server that looks slow whenever a long request
    # ends and fast whenever a short one does.
    pace = Pace()
    for second in range(20):
        pace.learn(LONG, 0.4, Seconds(second))
        pace.learn(SHORT, 0.04, Seconds(second))
    assert pace.usual_s(LONG) == pytest.approx(0.4)
    assert pace.usual_s(SHORT) == pytest.approx(0.04)
    assert pace.slowdown(Seconds(20)) == pytest.approx(1)


def test_work_is_counted_without_the_stated_slowdown():
    # Guards against a usual duration that grows with the noise of the hosts.
    pace = Pace()
    at = 10.0
    pace.work(Seconds(at))
    before = pace.work(Seconds(at))
    for slowdown in (4.0, 1.0, 4.0, 1.0):
        pace.reported(LoadReport(1, 0, 6, slowdown), Seconds(at))
        at += 0.2
    done = pace.work(Seconds(at)) - before
    assert done == pytest.approx(2 * 0.2 / 4 + 2 * 0.2)


def test_slow_backend_server_shows_in_its_pace():
    # Guards against a backend server that is slow and does not say so.
    pace = Pace()
    for second in range(30):
        pace.learn(LONG, 0.1, Seconds(second))
    for _ in range(10):
        pace.learn(LONG, 0.5, Seconds(30))
    assert pace.slowdown(Seconds(30)) > 2
