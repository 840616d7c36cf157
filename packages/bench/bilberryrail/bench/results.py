"""Figures of one run: latencies in a histogram, and counts."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

_MICROSECONDS = 1_000_000
_LONGEST_US = 60_000_000
_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Make a histogram of microseconds up to a minute."""
    return HdrHistogram(1, _LONGEST_US, _DIGITS)


@dataclass(slots=True)
class RunResult:
    """What a run produced.

    A call that was not answered in time counts in ``latency`` with its whole
    deadline, so that refusing calls cannot improve a quantile.

    Attributes
    ----------
    messages, control_bytes, call_bytes
        Messages and bytes sent to measure load, and bytes of calls.
    into_zone
        Calls dispatched in the availability zone later than 3 s after it was
        taken out.
    by_second
        Latencies by second of arrival.
    """

    latency: HdrHistogram = field(default_factory=new_histogram)
    by_slice: dict[int, HdrHistogram] = field(default_factory=dict)
    calls: int = 0
    in_time: int = 0
    refused: int = 0
    lost: int = 0
    failed: int = 0
    probes: int = 0
    probe_bytes: int = 0
    call_bytes: int = 0
    over_cold_limit: int = 0
    into_zone: int = 0
    decision_s: float = 0.0
    simulated_s: float = 0.0

    def record(
        self, arrived_s: float, latency_s: float, slice_s: float
    ) -> None:
        """Count a call that took ``latency_s``."""
        microseconds = max(1, int(latency_s * _MICROSECONDS))
        self.latency.record_value(microseconds)
        key = int(arrived_s / slice_s)
        histogram = self.by_slice.setdefault(key, new_histogram())
        histogram.record_value(microseconds)

    def quantile_ms(self, percent: float) -> float:
        """Give a latency quantile in milliseconds."""
        return self.latency.get_value_at_percentile(percent) / 1000
