"""Results of a load of callers, compared with what was executed."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

#: Range of recorded latencies in microseconds, and their significant digits.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000
US_PER_S = 1_000_000
MEDIAN_PERCENTILE = 50
TAIL_PERCENTILE = 99


def new_histogram() -> HdrHistogram:
    """Make a histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Final result of one call, after all its submissions.

    Attributes
    ----------
    outcome
        Last value of ``Bilberryrail-Outcome``, or ``lost`` if the last
        submission got no complete answer.
    may_have_run
        Whether the answers leave it possible that the call was executed.
    cut
        Whether a submission got no complete answer or the outcome "unknown".
    wrong
        Whether an answer was damaged, belonged to another request or came
        from a region outside the tenant's home regions.
    """

    request: str
    idempotent: bool
    outcome: str
    may_have_run: bool = False
    cut: bool = False
    wrong: bool = False


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Summary of a load.

    Attributes
    ----------
    lost
        Calls without a final response.
    missing
        Calls answered as completed that no backend server executed.
    doubled
        Non-idempotent calls that were executed more than once.
    false_not_run
        Calls that were executed although every answer said "not run".
    cut
        Calls with a submission that got no complete answer or the outcome
        "unknown". A crash may cut calls, but a graceful shutdown must not.
    wrong
        Calls with an answer that was damaged, belonged to another request or
        came from a region outside the tenant's home regions.
    p50_ms, p99_ms, max_ms
        Time from the arrival of a call to its complete answer, in
        milliseconds, including the reservation, waits and retries.
    reasons
        Number of answers to all submissions, by outcome and reason.
    """

    calls: int
    outcomes: Mapping[str, int]
    lost: int
    missing: int
    doubled: int
    false_not_run: int
    cut: int
    wrong: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    reasons: Mapping[str, int] = field(default_factory=dict)

    @property
    def refused(self) -> int:
        """Return the number of calls that ended as "not run"."""
        return self.outcomes.get('not-run', 0)

    @property
    def invalid(self) -> int:
        """Return the number of calls that ended as "invalid"."""
        return self.outcomes.get('invalid', 0)

    @property
    def has_violations(self) -> bool:
        """Return whether any call was lost, executed twice or answered falsely.

        Calls refused as invalid count too, because the load sends only valid
        ones.
        """
        violations = (
            self.lost,
            self.invalid,
            self.missing,
            self.doubled,
            self.false_not_run,
            self.wrong,
        )
        return any(violations)


def make_report(
    calls: tuple[CallResult, ...],
    executions: Mapping[str, int],
    histogram: HdrHistogram,
    reasons: Mapping[str, int],
) -> LoadReport:
    """Compare the callers' results with the executions by request id."""
    outcomes = Counter(call.outcome for call in calls)
    return LoadReport(
        calls=len(calls),
        outcomes=outcomes,
        lost=outcomes['lost'],
        missing=sum(
            call.outcome == 'completed' and not executions.get(call.request)
            for call in calls
        ),
        doubled=sum(
            not call.idempotent and executions.get(call.request, 0) > 1
            for call in calls
        ),
        false_not_run=sum(
            not call.may_have_run and executions.get(call.request, 0) > 0
            for call in calls
        ),
        cut=sum(call.cut for call in calls),
        wrong=sum(call.wrong for call in calls),
        p50_ms=_percentile(histogram, MEDIAN_PERCENTILE),
        p99_ms=_percentile(histogram, TAIL_PERCENTILE),
        max_ms=histogram.get_max_value() / US_PER_MS,
        reasons=reasons,
    )


def _percentile(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / US_PER_MS
