"""Estimates of the load and latency of each candidate, kept by an ingress.

Estimates change only on evidence, such as answers, errors, load reports or
silence; they do not recover just because time passes. A candidate that is
slow, fails or is suspected recovers through replies to probes, so that
callers' calls are not used to find out whether it is healthy again.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import NodeId, Seconds
from bilberryrail.core.load import LoadReport
from bilberryrail.policy.settings import RoutingSettings

#: Latency in seconds assumed for a candidate that has never answered.
_UNKNOWN_LATENCY_S: Final = 0.005
#: Weight of the newest outcome in the error rate. After two errors in a row,
#: the expected time is three quarters of the time until the deadline.
_ERROR_WEIGHT: Final = 0.5
#: Age in seconds above which a load report is not used to count the calls at
#: a candidate. Otherwise a candidate that was full once would be avoided until
#: it is probed.
_REPORT_AGE_S: Final = 1.0
_BACKOFF_FACTOR: Final = 2
#: Share of a candidate's concurrency limit up to which it has spare slots.
#: Hedged requests to candidates with higher occupancy turned 95% load into an
#: overload, in which 1% of calls were refused.
_SPARE_SHARE: Final = 0.7


@dataclass(slots=True)
class Estimate:
    """State of one candidate as estimated by this ingress.

    Attributes
    ----------
    in_flight
        Attempts of this ingress at the candidate that have no outcome yet.
    sent_since_report
        Attempts of this ingress sent after ``load`` was received.
    latency_s
        Time to an answer; rises at once and falls slowly.
    error_rate
        Exponentially weighted share of attempts that failed, from 0 to 1.
    load
        Last load report.
    last_message_at
        When the last message of the candidate arrived.
    silent_since
        Time since which the candidate has sent nothing while it has attempts
        in flight; None if it has none.
    retry_probe_at
        When a suspected candidate is probed; None if it is not suspected.
    backoff_s
        Time for which the candidate was last avoided.
    """

    in_flight: int = 0
    sent_since_report: int = 0
    latency_s: float = _UNKNOWN_LATENCY_S
    error_rate: float = 0
    load: LoadReport | None = None
    last_message_at: Seconds | None = None
    silent_since: Seconds | None = None
    retry_probe_at: Seconds | None = None
    backoff_s: float = 0

    @property
    def is_suspected(self) -> bool:
        """Whether the candidate is avoided until a message of it arrives."""
        return self.retry_probe_at is not None

    def occupancy(self, now: Seconds) -> int:
        """Return the number of running and queued calls at the candidate."""
        if self.load is None or self._is_report_old(now):
            return self.in_flight
        reported = self.load.in_flight + self.load.queued
        return max(reported + self.sent_since_report, self.in_flight)

    def expected_s(
        self,
        deadline_s: float,
        unknown_limit: int,
        now: Seconds,
    ) -> float:
        """Estimate the time to an answer for one more call.

        Parameters
        ----------
        deadline_s
            Time until the deadline; an error counts as an answer that takes
            this long.
        unknown_limit
            Limit assumed while the candidate has not reported one.
        """
        limit, cold = unknown_limit, True
        service_s = self.latency_s
        if self.load is not None:
            limit, cold = self.load.limit, self.load.cold
            service_s = self.load.latency_s or service_s
        if limit < 1:
            # The target accepts no calls until its circuit breaker allows a
            # trial call.
            return deadline_s
        waiting = self.occupancy(now) + 1 - limit
        if cold and waiting > 0:
            return deadline_s
        queueing_s = max(0, waiting) / max(1, limit) * service_s
        answer_s = self.latency_s + queueing_s
        return answer_s + self.error_rate * max(0, deadline_s - answer_s)

    def has_spare_slots(self, now: Seconds) -> bool:
        """Return whether a recent report shows that there are spare slots."""
        if self.load is None or self._is_report_old(now):
            return False
        spare_limit = self.load.limit * _SPARE_SHARE
        return not self.load.cold and self.occupancy(now) < spare_limit

    def _is_report_old(self, now: Seconds) -> bool:
        return (
            self.last_message_at is None
            or now - self.last_message_at > _REPORT_AGE_S
        )


class EstimateTable:
    """Estimates of all candidates that this ingress has used or probed.

    Attributes
    ----------
    busy
        Candidates with attempts of this ingress in flight.
    suspects
        Candidates that are suspected and therefore avoided.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.by_node: dict[NodeId, Estimate] = {}
        self.busy: dict[NodeId, Estimate] = {}
        self.suspects: dict[NodeId, Estimate] = {}

    def of(self, node: NodeId) -> Estimate:
        """Return the estimate of a candidate, or defaults if it is new."""
        return self.by_node.get(node) or _NEUTRAL

    def sent(self, node: NodeId, now: Seconds) -> None:
        """Count an attempt assigned to a candidate."""
        estimate = self._get_or_create(node)
        estimate.in_flight += 1
        estimate.sent_since_report += 1
        if estimate.silent_since is None:
            estimate.silent_since = now
        self.busy[node] = estimate

    def finished(self, node: NodeId) -> None:
        """Count an attempt that has ended or was cancelled."""
        estimate = self._get_or_create(node)
        estimate.in_flight = max(0, estimate.in_flight - 1)
        if not estimate.in_flight:
            estimate.silent_since = None
            self.busy.pop(node, None)

    def answered(self, node: NodeId, latency_s: float, now: Seconds) -> None:
        """Update the estimate after an answer that took ``latency_s``."""
        estimate = self._get_or_create(node)
        self._update_latency(estimate, latency_s, now)
        estimate.error_rate *= 1 - _ERROR_WEIGHT

    def failed(self, node: NodeId) -> None:
        """Update the error rate after an error; its latency does not count."""
        estimate = self._get_or_create(node)
        estimate.error_rate += _ERROR_WEIGHT * (1 - estimate.error_rate)

    def replied(
        self,
        node: NodeId,
        load: LoadReport,
        latency_s: float,
        now: Seconds,
    ) -> None:
        """Update the estimate after a probe reply that took ``latency_s``.

        The latency that an idle target reports is ignored, because its last
        calls may have run long ago.
        """
        estimate = self._get_or_create(node)
        busy_s = load.latency_s if load.in_flight else 0
        estimate.error_rate *= self._update_latency(
            estimate, latency_s + busy_s, now
        )
        self.message_received(node, load, now)

    def message_received(
        self,
        node: NodeId,
        load: LoadReport | None,
        now: Seconds,
    ) -> None:
        """End the suspicion of a candidate and store its load report.

        ``load`` is None if the message had no load report.
        """
        estimate = self._get_or_create(node)
        estimate.load = load
        estimate.sent_since_report = 0
        estimate.last_message_at = now
        estimate.silent_since = now if estimate.in_flight else None
        estimate.retry_probe_at = None
        estimate.backoff_s = 0
        self.suspects.pop(node, None)

    def suspect(self, node: NodeId, now: Seconds) -> None:
        """Avoid a candidate, with an exponential backoff."""
        estimate = self._get_or_create(node)
        estimate.backoff_s = min(
            max(
                self.settings.suspect_backoff_s,
                estimate.backoff_s * _BACKOFF_FACTOR,
            ),
            self.settings.suspect_backoff_max_s,
        )
        estimate.retry_probe_at = Seconds(now + estimate.backoff_s)
        self.suspects[node] = estimate

    def suspect_silent(self, now: Seconds) -> Iterator[NodeId]:
        """Suspect candidates that are silent for too long and yield them."""
        for node, estimate in tuple(self.busy.items()):
            since = estimate.silent_since
            if estimate.is_suspected or since is None:
                continue
            if now - since >= self.settings.suspect_after_s:
                self.suspect(node, now)
                yield node

    def resumed(self, now: Seconds) -> None:
        """Restart the silence timers after a pause of this node."""
        for estimate in self.busy.values():
            estimate.silent_since = now

    def forget(self, node: NodeId) -> None:
        """Drop a node that is no longer a member."""
        self.by_node.pop(node, None)
        self.suspects.pop(node, None)
        self.busy.pop(node, None)

    def _get_or_create(self, node: NodeId) -> Estimate:
        estimate = self.by_node.get(node)
        if estimate is None:
            estimate = Estimate()
            self.by_node[node] = estimate
        return estimate

    def _update_latency(
        self, estimate: Estimate, sample_s: float, now: Seconds
    ) -> float:
        """Update the latency; return the remaining weight of older samples."""
        kept: float = 0
        if estimate.last_message_at is not None:
            elapsed = now - estimate.last_message_at
            kept = math.exp(-elapsed / self.settings.latency_decay_s)
        excess = max(0, estimate.latency_s - sample_s)
        estimate.latency_s = sample_s + excess * kept
        return kept


_NEUTRAL: Final = Estimate()
