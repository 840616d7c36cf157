"""Guards against limits that overload or underuse a backend server."""

import random

from bilberryrail.core.records import BackendLimits
from bilberryrail.policy.cold_start import ColdStart, ColdStartDetector
from bilberryrail.policy.limiter import LatencyLimiter
from bilberryrail.policy.settings import AdmissionSettings

_LIMITS = BackendLimits(slots=10, connections=8, cold_slots=2, warm_up_s=10)


def test_noise_does_not_lower_the_limit_and_bounds_hold():
    """Guards against a limit that falls without a slowdown."""
    rng = random.Random(4)
    limiter = LatencyLimiter(AdmissionSettings())
    lowest = 8
    for step in range(60_000):
        limiter.answered(rng.expovariate(200), 8, _LIMITS, step / 1600)
        lowest = min(lowest, limiter.limit(_LIMITS))
    assert lowest == limiter.limit(_LIMITS) == 8


def test_limit_grows_only_while_it_is_used():
    """Guards against a limit that grows while concurrency stays below it."""
    limiter = LatencyLimiter(AdmissionSettings(minimum_limit=2))
    limiter.answered(0.005, 1, _LIMITS, 0)
    for step in range(20):
        limiter.call_rejected(_LIMITS, step)
    assert limiter.limit(_LIMITS) == 2
    for step in range(100):
        limiter.answered(0.005, 1, _LIMITS, 20 + step)
    assert limiter.limit(_LIMITS) == 2
    for step in range(100):
        limiter.answered(0.005, 8, _LIMITS, 120 + step)
    assert limiter.limit(_LIMITS) == 8


def test_ramp_needs_time_and_answers():
    """Guards against full load on a cold backend server."""
    ramp = ColdStart(100)
    assert ramp.limit(_LIMITS, 200) == 2
    for _ in range(8):
        ramp.answered()
    assert ramp.limit(_LIMITS, 100) == 2
    assert ramp.limit(_LIMITS, 200) == 4
    ramp.answers = 1000
    assert ramp.limit(_LIMITS, 105) == 5
    assert not ramp.is_cold(_LIMITS, 110)


def test_signs_of_a_cold_start_need_unchanged_concurrency():
    """Guards against missing an unreported restart or seeing one in a burst."""
    detector = ColdStartDetector()
    for normal_at in range(100):
        assert not detector.answered(0.005, 4, normal_at / 100)
    for burst_at in range(100, 109):
        assert not detector.answered(0.05, 20, burst_at / 100)
    noticed = [
        silent_at
        for silent_at in range(110, 115)
        if detector.answered(0.05, 4, silent_at / 100)
    ]
    assert noticed == [114]
