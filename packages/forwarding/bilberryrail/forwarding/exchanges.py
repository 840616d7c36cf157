"""Clients' requests and their attempts at targets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bilberryrail.core.ids import AttemptId, NodeId, Seconds, ServiceId
from bilberryrail.forwarding.candidates import Candidate
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    ConfigVersion,
    Fingerprint,
    HttpAnswer,
    HttpRequest,
    Route,
)
from bilberryrail.forwarding.selection import CandidateTable


@dataclass(slots=True, eq=False)
class Attempt:
    """A request that was sent to one target."""

    attempt: AttemptId
    exchange: 'Exchange'
    node: NodeId
    sent_at: Seconds


@dataclass(slots=True, eq=False)
class Exchange:
    """A client's request until it is answered.

    Attributes
    ----------
    version
        Version of the configuration in which the route was found.
    respond
        Sends the answer to the client.
    excluded
        Nodes that cannot run the request, or that it was sent to.
    is_trial
        Whether it is sent although its content is quarantined.
    busy
        Nodes that refused the request because they were busy or slow.
    reached
        Nodes whose backend server may have received it.
    late_refusals
        Number of nodes that refused it as late.
    may_have_run
        Whether an attempt ended without a known outcome.
    last_answer
        The newest server error of a backend server, if there is one.
    """

    request: HttpRequest
    request_id: str
    route: Route
    service: ServiceId
    version: ConfigVersion
    arrived_at: Seconds
    expires_at: Seconds
    respond: Callable[[HttpAnswer], None]
    fingerprint: Fingerprint = NO_FINGERPRINT
    is_trial: bool = False
    attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    excluded: set[NodeId] = field(default_factory=set)
    busy: set[NodeId] = field(default_factory=set)
    reached: set[NodeId] = field(default_factory=set)
    late_refusals: int = 0
    retry_after_s: float = 0
    may_have_run: bool = False
    last_answer: HttpAnswer | None = None
    is_over: bool = False
    timers: list[Any] = field(default_factory=list)

    def target_latency_left_s(self, now: Seconds) -> float:
        """Return the remaining time until the target latency is missed."""
        target_at = self.arrived_at + self.route.target_latency_s
        return max(0, target_at - now)


class AttemptTable:
    """Attempts without an outcome; also counts them for each target."""

    def __init__(self, candidates: CandidateTable) -> None:
        self.candidates = candidates
        self.by_id: dict[AttemptId, Attempt] = {}

    def start(self, attempt: Attempt, candidate: Candidate) -> None:
        """Record an attempt that is sent."""
        self.by_id[attempt.attempt] = attempt
        attempt.exchange.attempts[attempt.attempt] = attempt
        candidate.sent += 1
        candidate.in_flight += 1

    def end(self, node: NodeId, attempt_id: AttemptId) -> Attempt | None:
        """Remove and return an attempt that has an outcome.

        Returns None for an outcome of an attempt that was cancelled, or that
        another node sent.
        """
        attempt = self.by_id.get(attempt_id)
        if attempt is None or attempt.node != node:
            return None
        self.forget(attempt)
        return attempt

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt."""
        self.by_id.pop(attempt.attempt, None)
        attempt.exchange.attempts.pop(attempt.attempt, None)
        candidate = self.candidates.by_node.get(attempt.node)
        if candidate is not None and candidate.in_flight:
            candidate.in_flight -= 1

    def at(self, node: NodeId) -> list[Attempt]:
        """Return the attempts at a target."""
        return [one for one in self.by_id.values() if one.node == node]
