"""Tests of the limit on requests that a backend server states."""

import math
from itertools import repeat

from hypothesis import given
from hypothesis import strategies as st

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.fleet_harness_test import most_in_window
from bilberryrail.forwarding.stated_rate import MIN_RATE_PER_S, StatedRate

WINDOW_S = 4.0
STEP_S = 0.05


def send_all(rate, now):
    """Send as many requests as are allowed now; return their number."""
    count = 0
    while not rate.wait_s(0, now):
        rate.request_sent(now)
        count += 1
    return count


@given(
    per_s=st.floats(0.1, 60),
    pauses=st.lists(st.integers(1, 60), min_size=1, max_size=40),
)
def test_no_window_exceeds_one_and_a_half_times_the_limit(per_s, pauses):
    # Guards against bursts after pauses that overrun a backend server in need.
    rate = StatedRate()
    rate.state(per_s, Seconds(0))
    tick, sent = 0, []
    for pause in pauses:
        tick += pause
        now = Seconds(tick * STEP_S)
        sent.extend(repeat(now, send_all(rate, now)))
    most = most_in_window(sent, WINDOW_S)
    assert most <= 1.5 * per_s * WINDOW_S + 5


@given(limits=st.lists(st.floats(5, 10), min_size=60, max_size=60))
def test_limit_that_changes_all_the_time_is_used(limits):
    # Guards against a limit that allows nothing because each small change
    # takes back the requests that it had allowed.
    rate = StatedRate()
    count = 0
    for tick, per_s in enumerate(limits):
        rate.state(per_s, Seconds(tick * STEP_S))
        count += send_all(rate, Seconds(tick * STEP_S))
    assert 5 * 3 - 1 <= count <= 10 * 3 + 1


def test_new_limit_allows_no_burst():
    # Guards against a burst on top of the requests that were sent before the
    # limit was known.
    rate = StatedRate()
    rate.state(10, Seconds(0))
    assert send_all(rate, Seconds(0)) == 0
    assert send_all(rate, Seconds(0.11)) == 1


def test_lifted_limit_allows_everything():
    # Guards against a backend server that stays limited after its recovery.
    rate = StatedRate()
    rate.state(10, Seconds(0))
    rate.state(math.inf, Seconds(1))
    assert rate.wait_s(1000, Seconds(1)) == 0


def test_limit_of_zero_lets_a_request_show_its_end():
    # Guards against a backend server that is never used again, because only an
    # answer shows that it accepts requests.
    rate = StatedRate()
    rate.state(0, Seconds(0))
    counts = [send_all(rate, Seconds(second)) for second in range(1, 9)]
    assert sum(counts) == 8 * MIN_RATE_PER_S


def test_wait_counts_the_requests_ahead():
    # Guards against a queue that promises all its requests the next free slot.
    rate = StatedRate()
    rate.state(10, Seconds(0))
    assert math.isclose(rate.wait_s(4, Seconds(0)), 0.5)
    assert rate.credit(4, Seconds(0)) == -4
