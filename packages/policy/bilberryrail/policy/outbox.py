"""Actions that a target has decided on, and counters of its decisions."""

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
        Calls that had to wait.
    cold_limited
        Calls that found no slot only because of the cold-start ramp.
    refused
        Final messages without an answer, by reason.
    """

    admitted: int = 0
    queued: int = 0
    cold_limited: int = 0
    refused: Counter[Reason] = field(default_factory=Counter)


class Outbox:
    """Collects actions until the role returns them."""

    def __init__(self) -> None:
        self.actions: list[actions.Action] = []
        self.counters = Counters()

    def take(self) -> tuple[actions.Action, ...]:
        """Return the collected actions, once."""
        collected = tuple(self.actions)
        self.actions.clear()
        return collected

    def add(self, action: actions.Action) -> None:
        """Collect an action."""
        self.actions.append(action)

    def drop_body(self, submitter: Submitter) -> None:
        """Tell the shell that a body will not be dispatched."""
        self.add(actions.DropBody(submitter.peer, submitter.attempt))

    def refuse(
        self,
        submitter: Submitter,
        refusal: Refusal,
        tenant: TenantId | None,
        load: LoadReport,
    ) -> None:
        """Send a final message without an answer."""
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
