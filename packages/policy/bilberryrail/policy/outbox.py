"""Collects the actions of a target and counts its decisions."""

from collections import Counter
from dataclasses import dataclass, field

from bilberryrail.control.messages import LogEvent
from bilberryrail.core.ids import TenantId
from bilberryrail.core.load import LoadReport, Reason
from bilberryrail.policy import actions
from bilberryrail.policy.admission import Refusal
from bilberryrail.policy.work import Submitter


@dataclass(slots=True)
class Counters:
    """Counters for metrics.

    Attributes
    ----------
    admitted
        Calls dispatched.
    queued
        Calls that had to wait in the queue.
    cold_limited
        Calls for which only the cold-start ramp left no free slot.
    refused
        Refusals and failures sent instead of an answer, by reason.
    """

    admitted: int = 0
    queued: int = 0
    cold_limited: int = 0
    refused: Counter[Reason] = field(default_factory=Counter)


class Outbox:
    """Collects actions until the target role returns them."""

    def __init__(self) -> None:
        self.actions: list[actions.Action] = []
        self.counters = Counters()

    def take(self) -> tuple[actions.Action, ...]:
        """Remove and return the collected actions."""
        collected = tuple(self.actions)
        self.actions.clear()
        return collected

    def add(self, action: actions.Action) -> None:
        """Collect an action."""
        self.actions.append(action)

    def drop_body(self, submitter: Submitter) -> None:
        """Drop a body in the shell that will not be dispatched."""
        self.add(actions.DropBody(submitter.peer, submitter.attempt))

    def refuse(
        self,
        submitter: Submitter,
        refusal: Refusal,
        tenant: TenantId | None,
        load: LoadReport,
    ) -> None:
        """Count, log and send a refusal or failure."""
        self.counters.refused[refusal.reason] += 1
        self.log('refuse', submitter, tenant, load, refusal.reason)
        self.add(
            actions.SendRefusal(
                peer=submitter.peer,
                attempt=submitter.attempt,
                outcome=refusal.outcome,
                reason=refusal.reason,
                retry_after_s=refusal.retry_after_s,
                load=load,
            ),
        )

    def log(
        self,
        decision: str,
        submitter: Submitter,
        tenant: TenantId | None,
        load: LoadReport,
        reason: Reason | None = None,
    ) -> None:
        """Write one line about an admission decision."""
        fields: dict[str, object] = {
            'decision': decision,
            'peer': submitter.peer,
            'attempt': submitter.attempt,
            'in_flight': load.in_flight,
            'limit': load.limit,
            'queued': load.queued,
        }
        if reason is not None:
            fields['reason'] = reason.value
        if tenant is not None:
            fields['tenant'] = tenant
        self.add(LogEvent('admission', fields))
