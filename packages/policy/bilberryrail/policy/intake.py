"""Validates the calls of callers before anything is sent to a target."""

from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import NodeId, RegionId, Seconds
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import ServiceConfig, TenantConfig
from bilberryrail.policy.calls import Call, CallKind, Refusal
from bilberryrail.policy.events import (
    CallArrived,
    CallLimits,
    ReservationAsked,
    Token,
)
from bilberryrail.policy.retries import (
    Budget,
    CallLedger,
    NestedBudget,
    RootBudget,
)
from bilberryrail.policy.settings import RetrySettings
from bilberryrail.policy.view import ClusterView

#: Returns the node that issued a token; any error makes the token invalid.
TokenTarget = Callable[[Token], Result[NodeId, object]]
Arrival = CallArrived | ReservationAsked

#: Retry-after time, in seconds, if no target stated one.
RETRY_AFTER_S: Final = 0.1


class Intake:
    """Creates calls from arrivals, or refuses them with a reason."""

    def __init__(
        self,
        identity: NodeIdentity,
        settings: RetrySettings,
        ledger: CallLedger,
        token_target: TokenTarget,
    ) -> None:
        self.identity = identity
        self.settings = settings
        self.ledger = ledger
        self.token_target = token_target

    def admit(
        self,
        arrival: Arrival,
        now: Seconds,
        view: ClusterView,
    ) -> Result[Call, Refusal]:
        """Check an arrival.

        If several checks fail, the first one determines the reason returned.
        """
        service = view.service(arrival.service)
        if service is None:
            return _invalid(Reason.UNKNOWN_SERVICE)
        tenant = view.tenant(arrival.tenant)
        if tenant is None:
            return _invalid(Reason.UNKNOWN_TENANT)
        limits = self._limits(arrival, service, tenant, now)
        if isinstance(limits, Err):
            return limits
        home_regions = limits.ok_value.home_regions
        if home_regions and self.identity.region not in home_regions:
            return _invalid(Reason.HOME_REGION)
        if limits.ok_value.remaining_s <= 0:
            return _unsent(arrival, Reason.DEADLINE)
        return self._with_token(arrival, service, limits.ok_value, now)

    def _limits(
        self,
        arrival: Arrival,
        service: ServiceConfig,
        tenant: TenantConfig,
        now: Seconds,
    ) -> Result[CallLimits, Refusal]:
        remaining_s = arrival.deadline_s
        if remaining_s is None:
            remaining_s = service.deadline_s
        if arrival.parent is None:
            return Ok(
                CallLimits(
                    remaining_s,
                    self.settings.tree_budget,
                    tenant.home_regions,
                ),
            )
        context = self.ledger.context(arrival.parent, now)
        if context is None:
            return _invalid(Reason.UNKNOWN_PARENT)
        shared = shared_regions(context.home_regions, tenant.home_regions)
        if shared is None:
            return _invalid(Reason.HOME_REGION)
        return Ok(
            CallLimits(
                min(remaining_s, context.remaining_s),
                context.retry_budget,
                shared,
            ),
        )

    def _with_token(
        self,
        arrival: Arrival,
        service: ServiceConfig,
        limits: CallLimits,
        now: Seconds,
    ) -> Result[Call, Refusal]:
        call = Call(
            call=arrival.call,
            kind=CallKind.RESERVATION,
            service=service,
            tenant=arrival.tenant,
            size=0,
            deadline_at=Seconds(now + limits.remaining_s),
            home_regions=limits.home_regions,
            budget=self._budget(arrival, limits),
            parent=arrival.parent,
        )
        if isinstance(arrival, ReservationAsked):
            return Ok(call)
        call.kind = CallKind.CALL
        call.size = arrival.size
        if arrival.token is not None:
            return self._pin(call, arrival.token)
        if not service.idempotent:
            return _invalid(Reason.RESERVATION_REQUIRED)
        return Ok(call)

    def _pin(self, call: Call, token: Token) -> Result[Call, Refusal]:
        target = self.token_target(token)
        if isinstance(target, Err):
            return _invalid(Reason.RESERVATION_INVALID)
        call.token = token
        call.pinned_node = target.ok_value
        call.may_have_run = outcome_if_unsent(token) is Outcome.UNKNOWN
        return Ok(call)

    def _budget(self, arrival: Arrival, limits: CallLimits) -> Budget:
        if arrival.parent is None:
            return RootBudget(limits.retry_budget)
        return NestedBudget(self.ledger, arrival.parent)


def shared_regions(
    first: tuple[RegionId, ...],
    second: tuple[RegionId, ...],
) -> tuple[RegionId, ...] | None:
    """Return the intersection of two sets of home regions.

    An empty set allows every region. None means that no region is allowed.
    """
    if not first or not second:
        return first or second
    shared = tuple(region for region in first if region in second)
    return shared or None


def _invalid(reason: Reason) -> Err[Refusal]:
    return Err(Refusal(Outcome.INVALID, reason, 0))


def outcome_if_unsent(token: Token | None) -> Outcome:
    """Return the outcome to report for a call that was not sent.

    A call with a token may have been submitted through another node before.
    Only the node that issued the token knows whether it has run.
    """
    return Outcome.NOT_RUN if token is None else Outcome.UNKNOWN


def token_of(arrival: Arrival) -> Token | None:
    """Return the token of an arrival; None if it has none."""
    return arrival.token if isinstance(arrival, CallArrived) else None


def _unsent(arrival: Arrival, reason: Reason) -> Err[Refusal]:
    outcome = outcome_if_unsent(token_of(arrival))
    return Err(Refusal(outcome, reason, RETRY_AFTER_S))
