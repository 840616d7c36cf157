"""Ledger of running dispatches and the nested calls they make."""

from dataclasses import dataclass, field

from bilberryrail.core.ids import CallId, RegionId, Seconds, TenantId
from bilberryrail.policy.events import CallLimits, DispatchId


@dataclass(slots=True)
class _Context:
    """What the call tree below one dispatch may still use."""

    tenant: TenantId
    deadline: Seconds
    retry_budget: int
    home_regions: tuple[RegionId, ...]
    nested: dict[CallId, None] = field(default_factory=dict)


class Ledger:
    """Shared limits of nested calls, by the dispatch that makes them.

    All queries accept dispatches that are not open, since the backend server
    may name any number as parent.
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
        """Open the account of a dispatch."""
        self._contexts[dispatch] = _Context(
            tenant=tenant,
            deadline=Seconds(now + limits.remaining_s),
            retry_budget=limits.retry_budget,
            home_regions=limits.home_regions,
        )

    def context(self, dispatch: DispatchId, now: Seconds) -> CallLimits | None:
        """Return what nested calls may use; None if it is not open."""
        context = self._contexts.get(dispatch)
        if context is None:
            return None
        return CallLimits(
            remaining_s=context.deadline - now,
            retry_budget=context.retry_budget,
            home_regions=context.home_regions,
        )

    def tenant(self, dispatch: DispatchId) -> TenantId | None:
        """Return the tenant of a dispatch; None if it is not open."""
        context = self._contexts.get(dispatch)
        return None if context is None else context.tenant

    def spend(self, dispatch: DispatchId, count: int) -> bool:
        """Take retries from the budget; tell whether it held enough."""
        context = self._contexts.get(dispatch)
        if context is None or context.retry_budget < count:
            return False
        context.retry_budget -= count
        return True

    def attach(self, dispatch: DispatchId, call: CallId) -> bool:
        """Note a nested call; tell whether its parent is open."""
        context = self._contexts.get(dispatch)
        if context is None:
            return False
        context.nested[call] = None
        self._parents[call] = dispatch
        return True

    def detach(self, call: CallId) -> None:
        """Note that a nested call has ended."""
        parent = self._parents.pop(call, None)
        if parent is not None:
            self._contexts[parent].nested.pop(call)

    def close(self, dispatch: DispatchId) -> tuple[CallId, ...]:
        """Close an account; return its nested calls that still run."""
        context = self._contexts.pop(dispatch, None)
        if context is None:
            return ()
        nested = tuple(context.nested)
        for call in nested:
            self._parents.pop(call)
        return nested
