"""State of the calls that an ingress has accepted but not yet ended."""

import heapq
from dataclasses import dataclass, field
from enum import Enum

from bilberryrail.core.ids import (
    AttemptId,
    CallId,
    NodeId,
    RegionId,
    Seconds,
    TenantId,
)
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import Member, ServiceConfig
from bilberryrail.policy.events import CallLimits, DispatchId, Token
from bilberryrail.policy.retries import Budget


class CallKind(Enum):
    """What the caller asked for."""

    CALL = 'call'
    RESERVATION = 'reservation'


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call is not answered, and when the caller may retry."""

    outcome: Outcome
    reason: Reason
    retry_after_s: float


@dataclass(slots=True)
class Attempt:
    """One attempt to run a call at one target.

    Attributes
    ----------
    retry_budget
        Part of the call's retry budget that was sent with the attempt.
    charged
        Whether a retry token was spent on it, because an earlier attempt may
        have started.
    sent_at
        When it was sent; None while it waits for the link to the target.
    """

    attempt: AttemptId
    call: 'Call'
    member: Member
    retry_budget: int
    charged: bool = False
    sent_at: Seconds | None = None


@dataclass(slots=True)
class Call:
    """A call of a caller.

    Attributes
    ----------
    home_regions
        Regions that may serve it; empty allows every region.
    pinned_node
        Node that issued its token, the only one that may run it.
    tried_nodes
        Nodes chosen for any of its attempts.
    sent_count
        Attempts that were sent to a target or still wait for a link to one.
    may_have_run
        Whether a finished attempt, or an earlier submission of the token, may
        have started.
    """

    call: CallId
    kind: CallKind
    service: ServiceConfig
    tenant: TenantId
    size: int
    deadline_at: Seconds
    home_regions: tuple[RegionId, ...]
    budget: Budget
    token: Token | None = None
    pinned_node: NodeId | None = None
    parent: DispatchId | None = None
    attempts: dict[AttemptId, Attempt] = field(default_factory=dict)
    tried_nodes: set[NodeId] = field(default_factory=set)
    sent_count: int = 0
    may_have_run: bool = False
    hedged: bool = False
    last_refusal: Refusal | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the call may be sent again if an attempt may have started."""
        if self.kind is CallKind.RESERVATION:
            return True
        return self.service.idempotent and self.token is None

    @property
    def may_have_started(self) -> bool:
        """Whether any attempt, finished or not, may have started."""
        return self.may_have_run or any(
            attempt.sent_at is not None for attempt in self.attempts.values()
        )

    def remaining_s(self, now: Seconds) -> float:
        """Return the time until the deadline."""
        return self.deadline_at - now

    def limits(self, retry_budget: int, now: Seconds) -> CallLimits:
        """Return the limits to send with an attempt."""
        return CallLimits(
            remaining_s=self.remaining_s(now),
            retry_budget=retry_budget,
            home_regions=self.home_regions,
        )


class TimerKind(Enum):
    """Purpose of a timer of a call."""

    DEADLINE = 'deadline'
    HEDGE = 'hedge'


class CallTable:
    """Calls, their attempts and their timers, by id."""

    def __init__(self) -> None:
        self.calls: dict[CallId, Call] = {}
        self.attempts: dict[AttemptId, Attempt] = {}
        self._timers: list[tuple[Seconds, CallId, str]] = []

    def add(self, call: Call) -> None:
        """Add a call and its deadline."""
        self.calls[call.call] = call
        self.set_timer(call, TimerKind.DEADLINE, call.deadline_at)

    def remove(self, call: Call) -> None:
        """Remove a call; its timers are ignored when they expire."""
        self.calls.pop(call.call)

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt to its call."""
        call = attempt.call
        self.attempts[attempt.attempt] = attempt
        call.attempts[attempt.attempt] = attempt
        call.tried_nodes.add(attempt.member.node)
        call.sent_count += 1

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt from its call."""
        self.attempts.pop(attempt.attempt)
        attempt.call.attempts.pop(attempt.attempt)
        if attempt.sent_at is None:
            attempt.call.sent_count -= 1

    def at_peer(self, peer: NodeId) -> tuple[Attempt, ...]:
        """List the attempts at a peer, oldest first."""
        return tuple(
            attempt
            for attempt in self.attempts.values()
            if attempt.member.node == peer
        )

    def set_timer(self, call: Call, kind: TimerKind, due_at: Seconds) -> None:
        """Set a timer of a call."""
        heapq.heappush(self._timers, (due_at, call.call, kind.value))

    def pop_due(self, now: Seconds) -> tuple[Call, TimerKind] | None:
        """Remove and return the next timer that is due, if there is one."""
        while self._timers and self._timers[0][0] <= now:
            _, call_id, kind = heapq.heappop(self._timers)
            call = self.calls.get(call_id)
            if call is not None:
                return call, TimerKind(kind)
        return None

    def next_due(self) -> Seconds | None:
        """Return when the next timer of an unfinished call is due."""
        while self._timers and self._timers[0][1] not in self.calls:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None
