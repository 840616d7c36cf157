"""Operators who plan and confirm changes through any node that answers."""

from dataclasses import dataclass

from result import Err

from bilberryrail.control import messages
from bilberryrail.control.intents import parse_intent
from bilberryrail.control.planning import Plan, change_of, plan
from bilberryrail.core.ids import RecordId
from bilberryrail.core.records import Verdict
from bilberryrail.proofs.node import ProofNode
from bilberryrail.proofs.world import World

#: Time in seconds after which an operator without a verdict tries another node.
RETRY_AFTER_S = 1.5


@dataclass(slots=True)
class Operator:
    """An operator who makes one change.

    Attributes
    ----------
    plan
        Plan that the operator confirmed; None if no plan could be made.
    """

    world: World
    name: str
    plan: Plan | None = None

    def change(self, node: ProofNode, intent: bytes) -> None:
        """Plan an intent on a node and confirm the plan."""
        if not node.alive or node.frozen:
            node = self._other(node)
        record_id = RecordId(f'by-{self.name}')
        parsed = parse_intent(intent)
        if isinstance(parsed, Err):
            return
        state = node.engine.plane.state
        planned = plan(state, parsed.ok_value, record_id)
        if isinstance(planned, Err):
            return
        self.plan = planned.ok_value
        self.confirm(node)
        self.world.scheduler.after(RETRY_AFTER_S, lambda: self.retry(node))

    def confirm(self, node: ProofNode) -> None:
        """Ask a node to append the change; repeating this has no effect."""
        if self.plan is not None and node.alive:
            change = change_of(self.plan, self.name)
            self.world.handle(node, messages.AppendRequested(change))

    def retry(self, node: ProofNode) -> None:
        """Confirm the same plan through another node if it has no verdict."""
        if self.verdict is None:
            self.confirm(self._other(node))

    @property
    def verdict(self) -> Verdict | None:
        """Verdict on the change; None while the log does not hold it."""
        if self.plan is None:
            return None
        outcomes = self.world.reference.outcomes
        outcome = outcomes.get(self.plan.record_id)
        return None if outcome is None else outcome.verdict

    def _other(self, node: ProofNode) -> ProofNode:
        return next(
            other
            for other in self.world.live()
            if other.name != node.name and not other.frozen
        )
