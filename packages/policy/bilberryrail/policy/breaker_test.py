"""Guards against a failing backend server that keeps getting calls."""

from bilberryrail.policy.breaker import Breaker, BreakerState
from bilberryrail.policy.settings import AdmissionSettings

SETTINGS = AdmissionSettings(breaker_backoff_s=0.1, breaker_backoff_max_s=0.4)


def opened(now=0):
    breaker = Breaker(SETTINGS)
    for _ in range(5):
        breaker.failed(now)
    return breaker


def test_opens_after_failures_in_a_row_only():
    """Guards against one tenant's failures that stop the calls of others."""
    breaker = Breaker(SETTINGS)
    for _ in range(20):
        for _ in range(4):
            breaker.failed(0)
        breaker.answered()
    assert breaker.state(0) is BreakerState.CLOSED
    assert opened().limit(0) == 0


def test_tries_one_call_after_a_growing_backoff():
    """Guards against trial calls at a steady rate while a server fails."""
    breaker = opened()
    waits = []
    now = 0
    for _ in range(5):
        waits.append(round(breaker.retry_at - now, 3))
        now = breaker.retry_at
        assert breaker.limit(now) == 1
        breaker.failed(now)
    assert waits == [0.1, 0.2, 0.4, 0.4, 0.4]


def test_late_failures_do_not_lengthen_the_wait():
    """Guards against a backoff that concurrent failures extend.

    Ten calls that were running when the breaker opened would otherwise add
    six steps of backoff.
    """
    breaker = opened()
    for _ in range(10):
        breaker.failed(0.01)
    assert breaker.limit(0.1) == 1


def test_closes_on_success():
    """Guards against withholding calls from a server that has recovered."""
    breaker = opened()
    breaker.answered()
    assert breaker.state(0) is BreakerState.CLOSED
