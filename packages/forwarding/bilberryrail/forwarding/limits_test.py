"""Tests of the retry budget and of the rate limit for cold servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.cold import ColdLimiter
from bilberryrail.forwarding.fixtures_test import BOARD
from bilberryrail.forwarding.retry_budget import (
    RetryBudget,
    RetryBudgetSettings,
)


# The default deadline of Hypothesis measures the machine and not the budget: on
# a busy machine, one example took 310 ms instead of 39 ms.
@settings(deadline=None)
@given(
    nodes=st.integers(2, 30),
    per_s=st.floats(0.1, 40),
    burst_at=st.integers(0, 200),
)
def test_all_nodes_together_stay_within_the_budget(nodes, per_s, burst_at):
    # Guards against nodes that each keep within their own share while their sum
    # exceeds the common bound, in any window and at any load.
    settings = RetryBudgetSettings(ratio=0.2, slack=64, window_s=10)
    budgets = [RetryBudget(settings) for _ in range(nodes)]
    for budget in budgets:
        budget.set_node_count(nodes)
    retries = []
    for tick in range(300):
        now = Seconds(tick / 10)
        for budget in budgets:
            for _ in range(int(per_s / 10) + (tick == burst_at) * 20):
                budget.deposit(BOARD)
            while budget.try_withdraw(BOARD, now):
                retries.append(tick)
    requests_per_step = nodes * int(per_s / 10)
    for start in range(200):
        taken = sum(start <= step < start + 100 for step in retries)
        requests = requests_per_step * 100
        if start <= burst_at < start + 100:
            requests += nodes * 20
        assert taken <= 0.2 * requests + 64


def test_new_node_has_an_empty_retry_budget():
    # Guards against restarts that each bring a new allowance of retries.
    budget = RetryBudget(RetryBudgetSettings())
    assert not budget.try_withdraw(BOARD, Seconds(0))


@given(
    st.lists(st.floats(0, 0.2), min_size=1, max_size=300),
    st.floats(0, 10),
)
def test_no_second_exceeds_the_cold_rate(pauses, cold_s):
    # Guards against bursts at the boundary of two counting windows, also while
    # nearly the whole rate is used because the cold start is announced.
    limiter = ColdLimiter()
    limiter.turned_cold(cold_s, Seconds(0))
    sent = []
    now = 0.0
    for pause in pauses:
        now += pause
        if limiter.has_capacity(50, Seconds(now)):
            limiter.request_sent(Seconds(now))
            sent.append(now)
    for start in sent:
        assert sum(start <= at < start + 1 for at in sent) <= 50


def test_requests_before_the_cold_start_count():
    # Guards against allowing the full rate right after an unannounced cold
    # start.
    limiter = ColdLimiter()
    for index in range(40):
        limiter.request_sent(Seconds(index / 100))
    assert not limiter.has_capacity(50, Seconds(0.5))
    assert limiter.has_capacity(50, limiter.next_slot_at(50, Seconds(0.5)))


def test_announced_cold_start_allows_a_higher_rate():
    # Guards against a recovery from a power failure that leaves a quarter of
    # the cold backend servers' capacity unused.
    announced, unknown = ColdLimiter(), ColdLimiter()
    announced.turned_cold(3, Seconds(0))
    counts = []
    for limiter in (announced, unknown):
        count = 0
        while limiter.has_capacity(50, Seconds(0.5)):
            limiter.request_sent(Seconds(0.5))
            count += 1
        counts.append(count)
    assert counts == [47, 40]
