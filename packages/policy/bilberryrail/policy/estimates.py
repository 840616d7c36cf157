"""What an ingress knows about each candidate, and how long it would take.

Estimates move on evidence only. A candidate that is slow, fails or is
suspected recovers through replies to probes, so callers' calls are not used
to find out whether it is well again.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bilberryrail.core.ids import NodeId, Seconds
from bilberryrail.core.load import LoadReport
from bilberryrail.policy.settings import RoutingSettings

#: Latency assumed for a candidate that has never answered, in seconds.
_UNKNOWN_LATENCY_S: Final = 0.005
#: Weight of the newest outcome in the error rate; two errors in a row make
#: three quarters of the deadline the expected time.
_ERROR_WEIGHT: Final = 0.5
#: Age from which a report says nothing about the calls at a candidate. A
#: candidate that was full once would otherwise be avoided until it is probed.
_REPORT_AGE_S: Final = 1.0
_BACKOFF_FACTOR: Final = 2
#: Share of a candidate's limit up to which it has slots to spare. Hedges
#: into fuller ones turned 95% load into an overload (1% of calls refused).
_SPARE_SHARE: Final = 0.7


@dataclass(slots=True)
class Estimate:
    """State of one candidate as this ingress sees it.

    Attributes
    ----------
    in_flight
        Own attempts at the candidate without an outcome.
    sent_since_report
        Own attempts sent after ``load`` was received.
    latency_s
        Time to an answer; rises at once and falls slowly.
    error_rate
        Share of recent attempts that failed, from 0 to 1.
    silent_since
        When the candidate began to owe an answer; None if it owes none.
    retry_probe_at
        When a suspected candidate is probed; None if it is not suspected.
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
        """Whether the candidate is avoided until it gives a sign of life."""
        return self.retry_probe_at is not None

    def occupancy(self, now: Seconds) -> int:
        """Count the calls that a new one would find there."""
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
            Time that an error counts for.
        unknown_limit
            Limit assumed while the candidate has not reported one.
        """
        limit, cold = unknown_limit, True
        service_s = self.latency_s
        if self.load is not None:
            limit, cold = self.load.limit, self.load.cold
            service_s = self.load.latency_s or service_s
        if limit < 1:
            # The target takes nothing until it has tried a call.
            return deadline_s
        waiting = self.occupancy(now) + 1 - limit
        if cold and waiting > 0:
            return deadline_s
        queueing_s = max(0, waiting) / max(1, limit) * service_s
        answer_s = self.latency_s + queueing_s
        return answer_s + self.error_rate * max(0, deadline_s - answer_s)

    def has_spare_slots(self, now: Seconds) -> bool:
        """Tell whether the candidate said that it has slots to spare."""
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
    """Estimates of all candidates that this ingress has dealt with."""

    def __init__(self, settings: RoutingSettings) -> None:
        self.settings = settings
        self.by_node: dict[NodeId, Estimate] = {}
        self.busy: dict[NodeId, Estimate] = {}
        self.suspects: dict[NodeId, Estimate] = {}

    def of(self, node: NodeId) -> Estimate:
        """Return the estimate of a candidate, a neutral one if it is new."""
        return self.by_node.get(node) or _NEUTRAL

    def sent(self, node: NodeId, now: Seconds) -> None:
        """Note an attempt that was given to a candidate."""
        estimate = self._get_or_create(node)
        estimate.in_flight += 1
        estimate.sent_since_report += 1
        if estimate.silent_since is None:
            estimate.silent_since = now
        self.busy[node] = estimate

    def finished(self, node: NodeId) -> None:
        """Note that an attempt has an outcome or was given up."""
        estimate = self._get_or_create(node)
        estimate.in_flight = max(0, estimate.in_flight - 1)
        if not estimate.in_flight:
            estimate.silent_since = None
            self.busy.pop(node, None)

    def answered(self, node: NodeId, latency_s: float, now: Seconds) -> None:
        """Learn from an answer that took ``latency_s`` seconds."""
        estimate = self._get_or_create(node)
        self._update_latency(estimate, latency_s, now)
        estimate.error_rate *= 1 - _ERROR_WEIGHT

    def failed(self, node: NodeId) -> None:
        """Learn from an error, however fast it came."""
        estimate = self._get_or_create(node)
        estimate.error_rate += _ERROR_WEIGHT * (1 - estimate.error_rate)

    def replied(
        self,
        node: NodeId,
        load: LoadReport,
        latency_s: float,
        now: Seconds,
    ) -> None:
        """Learn from the reply to a probe that took ``latency_s`` seconds.

        The latency that an idle target reports is that of its last calls,
        perhaps long ago, so it does not count.
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
        """Note a sign of life, with a load report if there was one."""
        estimate = self._get_or_create(node)
        estimate.load = load
        estimate.sent_since_report = 0
        estimate.last_message_at = now
        estimate.silent_since = now if estimate.in_flight else None
        estimate.retry_probe_at = None
        estimate.backoff_s = 0
        self.suspects.pop(node, None)

    def suspect(self, node: NodeId, now: Seconds) -> None:
        """Avoid a candidate, for twice as long each time."""
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
        """Suspect candidates that owe answers for too long; name them."""
        for node, estimate in tuple(self.busy.items()):
            since = estimate.silent_since
            if estimate.is_suspected or since is None:
                continue
            if now - since >= self.settings.suspect_after_s:
                self.suspect(node, now)
                yield node

    def resumed(self, now: Seconds) -> None:
        """Forget silence that this node's own pause caused."""
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
        """Move the latency to a sample; return how much of the past stays."""
        kept: float = 0
        if estimate.last_message_at is not None:
            elapsed = now - estimate.last_message_at
            kept = math.exp(-elapsed / self.settings.latency_decay_s)
        excess = max(0, estimate.latency_s - sample_s)
        estimate.latency_s = sample_s + excess * kept
        return kept


_NEUTRAL: Final = Estimate()
