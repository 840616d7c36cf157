"""Tests of what reported slowdowns tell about the next moments."""

from itertools import repeat

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.reported_slowdown import (
    INITIAL_DURATION_S,
    ReportedSlowdown,
)


def feed_reports(reported, figures, *, every_s, rounds):
    at = 100.0
    for _ in repeat(None, rounds):
        for figure in figures:
            reported.report_received(figure, Seconds(at))
            at += every_s
    return Seconds(at - every_s)


@pytest.mark.parametrize('episode_reports', [2, 6, 12])
def test_length_of_episodes_is_learned(episode_reports):
    # Guards against a figure of one deployment: on others, neighbours on a
    # host come and go several times slower or faster.
    reported = ReportedSlowdown()
    calm = repeat(1.0, 3 * episode_reports)
    slow = repeat(5.0, episode_reports)
    feed_reports(reported, [*calm, *slow], every_s=0.05, rounds=40)
    usual_s = episode_reports * 0.05
    assert reported.episode_s == pytest.approx(usual_s, rel=0.2)
    expected_s = 1 / (1 / usual_s + 1 / (3 * usual_s))
    assert reported.memory_s == pytest.approx(expected_s, rel=0.2)
    assert reported.average == pytest.approx(2.0, rel=0.2)


def test_nothing_is_known_at_first():
    # Guards against a node that decides on figures it has not seen.
    reported = ReportedSlowdown()
    assert reported.current(Seconds(5)) == 1
    assert reported.episode_s == INITIAL_DURATION_S
    assert not reported.is_shared
    assert not reported.is_slow(Seconds(5))


def test_few_reports_move_what_is_learned_little():
    # Guards against one long episode that stops all looks at the host.
    reported = ReportedSlowdown()
    now = feed_reports(reported, [1.0, 1.0, 1.0, 5.0], every_s=0.1, rounds=50)
    before = reported.episode_s
    reported.report_received(5.0, Seconds(now + 0.1))
    reported.report_received(5.0, Seconds(now + 0.3))
    assert reported.episode_s < before * 1.3


def test_old_report_says_as_much_as_the_average():
    # Guards against an old feed_reports that keeps work away from a host.
    reported = ReportedSlowdown()
    now = feed_reports(reported, [1.0, 5.0], every_s=0.1, rounds=100)
    assert reported.is_slow(now)
    assert reported.current(now) == pytest.approx(5.0)
    later = Seconds(now + 10 * reported.memory_s)
    assert not reported.is_slow(later)
    assert reported.current(later) == pytest.approx(reported.average, rel=0.01)


def test_host_without_neighbours_needs_no_looks():
    # Guards against paying for health checks that tell nothing.
    reported = ReportedSlowdown()
    feed_reports(reported, [1.0, 1.05, 0.95], every_s=0.1, rounds=50)
    assert not reported.is_shared
