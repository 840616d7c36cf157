"""Tests of what reported slowdowns predict about the near future."""

from itertools import repeat

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.reported_slowdown import (
    INITIAL_DURATION_S,
    ReportedSlowdown,
)


def feed_reports(reported, slowdowns, *, every_s, rounds):
    at = 100.0
    for _ in repeat(None, rounds):
        for slowdown in slowdowns:
            reported.report_received(slowdown, Seconds(at))
            at += every_s
    return Seconds(at - every_s)


@pytest.mark.parametrize('episode_reports', [2, 6, 12])
def test_duration_of_episodes_is_learned(episode_reports):
    # Guards against a constant that fits one deployment only: elsewhere, other
    # work on a host starts and ends several times as often or as rarely.
    reported = ReportedSlowdown()
    normal = repeat(1.0, 3 * episode_reports)
    slow = repeat(5.0, episode_reports)
    feed_reports(reported, [*normal, *slow], every_s=0.05, rounds=40)
    usual_s = episode_reports * 0.05
    assert reported.episode_s == pytest.approx(usual_s, rel=0.2)
    expected_s = 1 / (1 / usual_s + 1 / (3 * usual_s))
    assert reported.memory_s == pytest.approx(expected_s, rel=0.2)
    assert reported.average == pytest.approx(2.0, rel=0.2)


def test_nothing_is_known_at_first():
    # Guards against decisions of a node that are based on values it has not
    # observed.
    reported = ReportedSlowdown()
    assert reported.current(Seconds(5)) == 1
    assert reported.episode_s == INITIAL_DURATION_S
    assert not reported.is_shared
    assert not reported.is_slow(Seconds(5))


def test_few_reports_change_the_estimate_little():
    # Guards against one long episode that stops all health checks before
    # requests.
    reported = ReportedSlowdown()
    now = feed_reports(reported, [1.0, 1.0, 1.0, 5.0], every_s=0.1, rounds=50)
    before = reported.episode_s
    reported.report_received(5.0, Seconds(now + 0.1))
    reported.report_received(5.0, Seconds(now + 0.3))
    assert reported.episode_s < before * 1.3


def test_old_report_is_replaced_by_the_average():
    # Guards against an old report that keeps requests away from a host.
    reported = ReportedSlowdown()
    now = feed_reports(reported, [1.0, 5.0], every_s=0.1, rounds=100)
    assert reported.is_slow(now)
    assert reported.current(now) == pytest.approx(5.0)
    later = Seconds(now + 10 * reported.memory_s)
    assert not reported.is_slow(later)
    assert reported.current(later) == pytest.approx(reported.average, rel=0.01)


def test_unshared_host_needs_no_health_checks():
    # Guards against the cost of health checks that show nothing.
    reported = ReportedSlowdown()
    feed_reports(reported, [1.0, 1.05, 0.95], every_s=0.1, rounds=50)
    assert not reported.is_shared
