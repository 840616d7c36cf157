"""Admission checks of a target that do not depend on free slots."""

from dataclasses import dataclass

from bilberryrail.core.ids import RegionId, Seconds, TenantId
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import TenantConfig
from bilberryrail.policy.backend_state import BackendState
from bilberryrail.policy.breaker import BreakerState
from bilberryrail.policy.events import (
    AttemptReceived,
    CallLimits,
    ReservationReceived,
)
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.tokens import ReservationError, TokenFault
from bilberryrail.policy.view import ClusterView
from bilberryrail.policy.work import Submitter, Work

Request = AttemptReceived | ReservationReceived


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal or failure that an attempt gets instead of an answer."""

    reason: Reason
    retry_after_s: float = 0
    outcome: Outcome = Outcome.NOT_RUN


class Gate:
    """Admission checks that do not depend on the queue and free slots.

    Each check returns None if it passes.

    Attributes
    ----------
    draining
        Whether this node is shutting down.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.identity = settings.identity
        self.draining = False

    def refuse_request(
        self,
        request: Request,
        view: ClusterView,
    ) -> Refusal | None:
        """Refuse a request that this node must not handle at all."""
        if request.service != self.identity.service:
            return Refusal(Reason.WRONG_SERVICE)
        return self.refuse_tenant(request.tenant, request.limits, view)

    def refuse_tenant(
        self,
        tenant: TenantId,
        limits: CallLimits,
        view: ClusterView,
    ) -> Refusal | None:
        """Refuse a call that may not be served in this region."""
        config = view.tenant(tenant)
        if config is None:
            return Refusal(Reason.UNKNOWN_TENANT)
        if not self._is_home(limits.home_regions, config):
            return Refusal(Reason.HOME_REGION)
        return None

    def refuse_work(
        self,
        view: ClusterView,
        backend: BackendState,
        now: Seconds,
    ) -> Refusal | None:
        """Refuse new work while this target accepts none."""
        if self.draining or backend.draining:
            return Refusal(Reason.DRAINING)
        return self.refuse_queued(view, backend, now)

    def refuse_queued(
        self,
        view: ClusterView,
        backend: BackendState,
        now: Seconds,
    ) -> Refusal | None:
        """Refuse work that already waits.

        Draining is no reason here, so that waiting work can finish.
        """
        if view.service(self.identity.service) is None:
            return Refusal(Reason.UNKNOWN_SERVICE)
        if view.is_zone_out(self.identity.zone):
            return Refusal(Reason.ZONE_OUT)
        if backend.down:
            return Refusal(
                Reason.BACKEND_DOWN,
                self.settings.admission.health_interval_s,
            )
        if backend.breaker.state(now) is BreakerState.OPEN:
            return Refusal(
                Reason.BACKEND_FAILED,
                backend.breaker.retry_at - now,
            )
        return None

    def logged_tenant(
        self,
        tenant: TenantId,
        view: ClusterView,
    ) -> TenantId | None:
        """Return the tenant if its id may be stored in this region."""
        config = view.tenant(tenant)
        if config is None or not self._is_home((), config):
            return None
        return tenant

    def make_work(
        self,
        attempt: AttemptReceived,
        view: ClusterView,
        now: Seconds,
    ) -> Work:
        """Create the work for an attempt that passed ``refuse_request``."""
        tenant = view.tenant(attempt.tenant) or TenantConfig(attempt.tenant)
        limits = CallLimits(
            remaining_s=attempt.limits.remaining_s,
            retry_budget=attempt.limits.retry_budget,
            home_regions=_narrow(attempt.limits.home_regions, tenant),
        )
        return Work(
            source=Submitter(attempt.peer, attempt.attempt),
            tenant=tenant.tenant,
            weight=tenant.weight,
            limits=limits,
            deadline=Seconds(now + limits.remaining_s),
            logged_tenant=self.logged_tenant(tenant.tenant, view),
        )

    def _is_home(
        self,
        home_regions: tuple[RegionId, ...],
        tenant: TenantConfig,
    ) -> bool:
        region = self.identity.region
        return (not home_regions or region in home_regions) and (
            not tenant.home_regions or region in tenant.home_regions
        )


def reservation_refusal(error: ReservationError) -> Refusal:
    """Return the refusal for a call whose reservation cannot be used."""
    match error.fault:
        case TokenFault.OTHER_INCARNATION:
            return Refusal(
                Reason.OTHER_INCARNATION,
                outcome=Outcome.UNKNOWN,
            )
        case TokenFault.VOID:
            return Refusal(Reason.RESERVATION_EXPIRED)
        case TokenFault.FORGOTTEN:
            return Refusal(
                Reason.RESERVATION_EXPIRED,
                outcome=Outcome.UNKNOWN,
            )
        case TokenFault.OUTCOME_UNKNOWN:
            return Refusal(Reason.BACKEND_FAILED, outcome=Outcome.UNKNOWN)
        case TokenFault.ANSWER_NOT_KEPT:
            return Refusal(Reason.ANSWER_NOT_KEPT, outcome=Outcome.COMPLETED)
    return Refusal(Reason.RESERVATION_INVALID, outcome=Outcome.INVALID)


def _narrow(
    home_regions: tuple[RegionId, ...],
    tenant: TenantConfig,
) -> tuple[RegionId, ...]:
    if not home_regions or not tenant.home_regions:
        return home_regions or tenant.home_regions
    return tuple(
        region for region in home_regions if region in tenant.home_regions
    )
