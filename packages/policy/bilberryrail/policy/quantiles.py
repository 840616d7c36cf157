"""Streaming latency quantile of a service, based on ``hdrhistogram``."""

from typing import Final

from hdrh.histogram import HdrHistogram

#: The unit of the histogram is 10 us. With one significant digit, a few hundred
#: counters then cover latencies of up to 100 s.
_UNITS_PER_S: Final = 100_000
_MAX_UNITS: Final = 10_000_000
_SIGNIFICANT_DIGITS: Final = 1
#: Number of answers after which a new window starts. The window before the
#: last one is dropped.
_WINDOW_ANSWERS: Final = 1024
#: Minimum number of answers for an estimate.
_MIN_ANSWERS: Final = 20
#: Number of answers between two computations; one takes about 60 us.
_REFRESH_INTERVAL: Final = 32
_PERCENT: Final = 100


class LatencyQuantile:
    """Latency quantile over the last one to two windows of answers.

    Parameters
    ----------
    quantile
        From 0 to 1.

    Attributes
    ----------
    estimate_s
        The quantile in seconds; None until there are enough answers.
    """

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.estimate_s: float | None = None
        self._recent = _histogram()
        self._older = _histogram()

    def add(self, latency_s: float) -> None:
        """Add the latency of one answer."""
        units = max(1, min(_MAX_UNITS, int(latency_s * _UNITS_PER_S)))
        self._recent.record_value(units)
        count = self._recent.get_total_count()
        if count == _MIN_ANSWERS or count % _REFRESH_INTERVAL == 0:
            self._refresh()
        if count >= _WINDOW_ANSWERS:
            self._older = self._recent
            self._recent = _histogram()

    def _refresh(self) -> None:
        merged = _histogram()
        merged.add(self._older)
        merged.add(self._recent)
        if merged.get_total_count() >= _MIN_ANSWERS:
            units = merged.get_value_at_percentile(self.quantile * _PERCENT)
            self.estimate_s = units / _UNITS_PER_S


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_UNITS, _SIGNIFICANT_DIGITS)
