"""Results of one run: histograms of latency, and counts."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Make a histogram of latencies in microseconds, up to one minute."""
    return HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class RunResult:
    """Results of one run.

    A call that fails, is refused or is not answered in time enters the
    histograms with its whole deadline as latency, so that refusals cannot
    improve a quantile.

    Attributes
    ----------
    by_slice
        Latencies by slice of the time of arrival.
    lost
        Calls that had no outcome at their deadline.
    probes, probe_bytes, call_bytes
        Probes sent to measure load, their bytes, and the bytes of calls.
    into_zone
        Calls dispatched in an availability zone later than 3 s after it was
        taken out.
    decision_s
        Time that the engines spent on decisions, in seconds of real time.
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
        """Add the latency of a call to the histograms."""
        microseconds = max(1, int(latency_s * _US_PER_S))
        self.latency.record_value(microseconds)
        key = int(arrived_s / slice_s)
        histogram = self.by_slice.setdefault(key, new_histogram())
        histogram.record_value(microseconds)

    def quantile_ms(self, percent: float) -> float:
        """Return a latency quantile in milliseconds."""
        return self.latency.get_value_at_percentile(percent) / 1000
