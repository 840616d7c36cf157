"""Calls that are queued or running at a target."""

from collections import Counter
from dataclasses import dataclass, field, replace

from bilberryrail.core.ids import AttemptId, NodeId, Seconds, TenantId
from bilberryrail.policy.events import CallLimits, DispatchId


@dataclass(frozen=True, slots=True)
class Submitter:
    """An attempt that waits for an answer or a refusal."""

    peer: NodeId
    attempt: AttemptId


@dataclass(slots=True, eq=False)
class Work:
    """One call and all attempts that wait for its result.

    Attributes
    ----------
    source
        Attempt whose body the shell keeps for this call.
    deadline
        Time by which the answer is needed.
    sequence
        Sequence number of its reservation, if it has one.
    submitters
        Attempts that get the answer or refusal; empty if all are cancelled.
    dispatch
        Set when the call is sent to the backend server.
    in_flight
        Calls running when it was dispatched, including this one.
    aborted
        Whether it was cancelled at the backend server.
    logged_tenant
        Tenant to write to the log; None if it must not be stored in this
        region.
    """

    source: Submitter
    tenant: TenantId
    weight: float
    limits: CallLimits
    deadline: Seconds
    sequence: int | None = None
    submitters: list[Submitter] = field(default_factory=list)
    dispatch: DispatchId | None = None
    started_at: Seconds = Seconds(0)
    in_flight: int = 0
    aborted: bool = False
    logged_tenant: TenantId | None = None

    def remaining_limits(self, now: Seconds) -> CallLimits:
        """Return the limits, with the time spent waiting subtracted."""
        return replace(self.limits, remaining_s=self.deadline - now)


class WorkTable:
    """Index of the calls that are queued or running at a target.

    Attributes
    ----------
    running
        Calls sent to the backend server that it has not finished.
    tenants
        Running calls of each tenant.
    """

    def __init__(self) -> None:
        self.running: dict[DispatchId, Work] = {}
        self.tenants: Counter[TenantId] = Counter()
        self.by_submitter: dict[Submitter, Work] = {}
        self.by_sequence: dict[int, Work] = {}

    def attach(self, work: Work, submitter: Submitter) -> None:
        """Add an attempt that waits for the result of a call."""
        work.submitters.append(submitter)
        self.by_submitter[submitter] = work
        if work.sequence is not None:
            self.by_sequence[work.sequence] = work

    def detach(self, submitter: Submitter) -> Work | None:
        """Remove an attempt and return the call that it waited for."""
        work = self.by_submitter.pop(submitter, None)
        if work is not None:
            work.submitters.remove(submitter)
        return work

    def of_peer(self, peer: NodeId) -> tuple[Submitter, ...]:
        """Return the attempts of an ingress node."""
        return tuple(
            submitter
            for submitter in self.by_submitter
            if submitter.peer == peer
        )

    def start(self, work: Work, dispatch: DispatchId, now: Seconds) -> None:
        """Mark a call as running."""
        work.dispatch = dispatch
        work.started_at = now
        self.running[dispatch] = work
        self.tenants[work.tenant] += 1
        work.in_flight = len(self.running)

    def finish(self, work: Work) -> tuple[Submitter, ...]:
        """Remove a call and return the attempts that waited for it."""
        if work.dispatch is not None:
            self.running.pop(work.dispatch)
            self.tenants -= Counter((work.tenant,))
        if work.sequence is not None:
            self.by_sequence.pop(work.sequence, None)
        waiting = tuple(work.submitters)
        for submitter in waiting:
            self.detach(submitter)
        return waiting

    def waiting_s(self, since: Seconds, now: Seconds) -> float:
        """Return the time that running calls have spent since ``since``.

        It is the sum over all running calls, in seconds. Aborted calls are
        not counted, because they produce no answer.
        """
        return sum(
            now - max(since, work.started_at)
            for work in self.running.values()
            if not work.aborted
        )
