"""Retries and hedges, bounded per call tree and per node.

Every call tree has one budget. It is split on the way down: an attempt gets a
part for its subtree, and the rest stays with the call for its own retries.
A part that was handed out comes back only with a true "not run", so all
attempts of a tree together never spend more than the budget of the tree.
"""

from typing import Protocol

from bilberryrail.core.ids import CallId, Seconds
from bilberryrail.policy.buckets import TokenBucket
from bilberryrail.policy.events import CallLimits, DispatchId
from bilberryrail.policy.settings import RetrySettings


class CallLedger(Protocol):
    """What the ingress needs of the ledger of running dispatches."""

    def context(self, dispatch: DispatchId, now: Seconds) -> CallLimits | None:
        """Return what a dispatch may still use, None if it is not running."""

    def attach(self, dispatch: DispatchId, call: CallId) -> None:
        """Note a nested call of a dispatch."""

    def detach(self, call: CallId) -> None:
        """Note that a nested call has ended."""

    def spend(self, dispatch: DispatchId, count: int) -> bool:
        """Take from the retry budget of a dispatch, all or nothing."""


class RootBudget:
    """Budget of a call that starts a tree."""

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def balance(self, now: Seconds) -> int:
        """Return what is left."""
        return self.remaining

    def take(self, count: int) -> bool:
        """Take ``count``, all or nothing."""
        if count > self.remaining:
            return False
        self.remaining -= count
        return True

    def refund(self, count: int) -> None:
        """Return what an attempt that did not run was given."""
        self.remaining += count


class NestedBudget:
    """Budget of a nested call: that of the dispatch that encloses it.

    What an attempt that did not run gives back stays with this call, because
    the ledger only shrinks.
    """

    def __init__(self, ledger: CallLedger, dispatch: DispatchId) -> None:
        self.ledger = ledger
        self.dispatch = dispatch
        self.refunded = 0

    def balance(self, now: Seconds) -> int:
        """Return what is left; nothing once the dispatch has ended."""
        context = self.ledger.context(self.dispatch, now)
        shared = 0 if context is None else context.retry_budget
        return self.refunded + shared

    def take(self, count: int) -> bool:
        """Take ``count``, all or nothing."""
        own = min(count, self.refunded)
        if count > own and not self.ledger.spend(self.dispatch, count - own):
            return False
        self.refunded -= own
        return True

    def refund(self, count: int) -> None:
        """Keep what an attempt that did not run was given."""
        self.refunded += count


Budget = RootBudget | NestedBudget


class RetryPolicy:
    """Decides whether a call may be sent once more."""

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.bucket = TokenBucket(0, settings.budget_burst)

    def call_started(self) -> None:
        """Earn what a call contributes to the node's retry tokens."""
        self.bucket.add(self.settings.budget_ratio)

    def can_spend(self, budget: Budget, now: Seconds) -> bool:
        """Tell whether a retry after a possible start could be paid."""
        return budget.balance(now) > 0 and self.bucket.holds(1, now)

    def spend(self, budget: Budget, now: Seconds) -> bool:
        """Pay for one retry or hedge after a possible start."""
        if not self.can_spend(budget, now) or not budget.take(1):
            return False
        return self.bucket.take(1, now)

    def refund(self, budget: Budget) -> None:
        """Return the price of a retry that was never sent."""
        budget.refund(1)
        self.bucket.add(1)

    def split_budget(
        self,
        budget: Budget,
        now: Seconds,
        *,
        keeps_part: bool,
    ) -> int:
        """Split off the part of the budget that the next attempt gets.

        Parameters
        ----------
        keeps_part
            Whether the call itself may still retry after a possible start;
            it then keeps the larger half.
        """
        balance = budget.balance(now)
        part = balance // 2 if keeps_part else balance
        return part if part and budget.take(part) else 0
