"""Limits and nested calls of each running dispatch."""

from dataclasses import dataclass, field

from bilberryrail.core.ids import CallId, RegionId, Seconds, TenantId
from bilberryrail.policy.events import CallLimits, DispatchId


@dataclass(slots=True)
class _Context:
    """Remaining limits of the calls nested in one dispatch."""

    tenant: TenantId
    deadline: Seconds
    retry_budget: int
    home_regions: tuple[RegionId, ...]
    nested: dict[CallId, None] = field(default_factory=dict)


class Ledger:
    """Limits that nested calls share, by parent dispatch.

    All queries accept unknown dispatches, because the backend server may send
    any number as the parent of a call.
    """

    def __init__(self) -> None:
        self._contexts: dict[DispatchId, _Context] = {}
        self._parents: dict[CallId, DispatchId] = {}

    def open(
        self,
        dispatch: DispatchId,
        limits: CallLimits,
        tenant: TenantId,
        now: Seconds,
    ) -> None:
        """Add a dispatch that starts running."""
        self._contexts[dispatch] = _Context(
            tenant=tenant,
            deadline=Seconds(now + limits.remaining_s),
            retry_budget=limits.retry_budget,
            home_regions=limits.home_regions,
        )

    def context(self, dispatch: DispatchId, now: Seconds) -> CallLimits | None:
        """Return the limits of nested calls; None if it does not run."""
        context = self._contexts.get(dispatch)
        if context is None:
            return None
        return CallLimits(
            remaining_s=context.deadline - now,
            retry_budget=context.retry_budget,
            home_regions=context.home_regions,
        )

    def tenant(self, dispatch: DispatchId) -> TenantId | None:
        """Return the tenant of a dispatch; None if it does not run."""
        context = self._contexts.get(dispatch)
        return None if context is None else context.tenant

    def spend(self, dispatch: DispatchId, count: int) -> bool:
        """Spend from the retry budget; return whether it was sufficient."""
        context = self._contexts.get(dispatch)
        if context is None or context.retry_budget < count:
            return False
        context.retry_budget -= count
        return True

    def attach(self, dispatch: DispatchId, call: CallId) -> bool:
        """Add a nested call; return whether its parent is running."""
        context = self._contexts.get(dispatch)
        if context is None:
            return False
        context.nested[call] = None
        self._parents[call] = dispatch
        return True

    def detach(self, call: CallId) -> None:
        """Remove a nested call that has ended."""
        parent = self._parents.pop(call, None)
        if parent is not None:
            self._contexts[parent].nested.pop(call)

    def close(self, dispatch: DispatchId) -> tuple[CallId, ...]:
        """Remove a dispatch; return its nested calls that still run."""
        context = self._contexts.pop(dispatch, None)
        if context is None:
            return ()
        nested = tuple(context.nested)
        for call in nested:
            self._parents.pop(call)
        return nested
