"""Limits on retries and hedged requests, per call tree and per node.

Every call tree has one retry budget, which is divided down the tree: an attempt
gets a part for its subtree, and the rest stays with the call for its own
retries. The part of an attempt is refunded only if the attempt certainly did
not run, so that all attempts of a tree together never exceed its budget.
"""

from typing import Protocol

from bilberryrail.core.ids import CallId, Seconds
from bilberryrail.policy.buckets import TokenBucket
from bilberryrail.policy.events import CallLimits, DispatchId
from bilberryrail.policy.settings import RetrySettings


class CallLedger(Protocol):
    """Interface of the ledger of running dispatches that the ingress uses."""

    def context(self, dispatch: DispatchId, now: Seconds) -> CallLimits | None:
        """Return the limits of nested calls; None if it does not run."""

    def attach(self, dispatch: DispatchId, call: CallId) -> None:
        """Add a nested call of a dispatch."""

    def detach(self, call: CallId) -> None:
        """Remove a nested call that has ended."""

    def spend(self, dispatch: DispatchId, count: int) -> bool:
        """Spend from the retry budget, if it is sufficient."""


class RootBudget:
    """Retry budget of a call that starts a call tree."""

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining

    def balance(self, now: Seconds) -> int:
        """Return the remaining budget."""
        return self.remaining

    def take(self, count: int) -> bool:
        """Take ``count``, all or nothing."""
        if count > self.remaining:
            return False
        self.remaining -= count
        return True

    def refund(self, count: int) -> None:
        """Add the part of an attempt that did not run back to the budget."""
        self.remaining += count


class NestedBudget:
    """Retry budget of a nested call, shared with its parent dispatch.

    Refunds of attempts that did not run stay with this call, because the
    budget in the ledger only shrinks.
    """

    def __init__(self, ledger: CallLedger, dispatch: DispatchId) -> None:
        self.ledger = ledger
        self.dispatch = dispatch
        self.refunded = 0

    def balance(self, now: Seconds) -> int:
        """Return the remaining budget.

        Only the refunds remain once the parent dispatch has ended.
        """
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
        """Keep the part of an attempt that did not run."""
        self.refunded += count


Budget = RootBudget | NestedBudget


class RetryPolicy:
    """Decides whether a call may be sent again."""

    def __init__(self, settings: RetrySettings) -> None:
        self.settings = settings
        self.bucket = TokenBucket(0, settings.budget_burst)

    def call_started(self) -> None:
        """Add the retry tokens of a new call to the node's token bucket."""
        self.bucket.add(self.settings.budget_ratio)

    def can_spend(self, budget: Budget, now: Seconds) -> bool:
        """Return whether the budgets allow a retry after a possible start."""
        return budget.balance(now) > 0 and self.bucket.can_take(1, now)

    def spend(self, budget: Budget, now: Seconds) -> bool:
        """Spend one retry or hedge after a possible start."""
        if not self.can_spend(budget, now) or not budget.take(1):
            return False
        return self.bucket.take(1, now)

    def refund(self, budget: Budget) -> None:
        """Refund a retry that was never sent."""
        budget.refund(1)
        self.bucket.add(1)

    def split_budget(
        self,
        budget: Budget,
        now: Seconds,
        *,
        keeps_part: bool,
    ) -> int:
        """Take and return the part of the budget for the next attempt.

        Parameters
        ----------
        keeps_part
            Whether the call itself may still retry after a possible start. If
            so, it keeps the larger half.
        """
        balance = budget.balance(now)
        part = balance // 2 if keeps_part else balance
        return part if part and budget.take(part) else 0
