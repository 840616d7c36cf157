"""A simulated node: its engine, and the state that its shell would keep."""

from dataclasses import dataclass, field

from bilberryrail.bench.fabric import SimulatedNode
from bilberryrail.core.ids import (
    AttemptId,
    CallId,
    Incarnation,
    NodeId,
    Offset,
)
from bilberryrail.policy.actions import Action
from bilberryrail.policy.events import DispatchId, Event

#: Identifies an attempt or its answer: the node that sent it, and its id.
Received = tuple[NodeId, AttemptId]


@dataclass(slots=True)
class ProofNode(SimulatedNode):
    """A simulated node whose calls and answers have bodies.

    The body of a call, and of its answer, is the number of the submission.

    Attributes
    ----------
    alive, frozen
        Whether the process is running, and whether it is paused.
    waiting
        Events that are queued in sockets while the process is paused.
    unsent
        Actions that were decided but not carried out before the pause.
    bodies
        Submission of each attempt received.
    arrived
        Submission that each answer received belongs to.
    running, answers, kept
        Submission of each call running at the backend server, of each answer
        of the backend server, and of each answer kept for a reservation.
    open_calls
        Submissions at this ingress that have not ended.
    read_calls
        Submissions that this ingress has read from their sockets.
    stated_offset
        Lowest of the newest offsets that the log and the peers have stated to
        this incarnation; None if they have stated none.
    known_boot
        Number of the latest start of the backend server that the node has had
        evidence of.
    backend_down
        Whether the backend server refuses connections.
    applied
        Applied offset that was recorded last.
    """

    alive: bool = True
    frozen: bool = False
    waiting: list[Event] = field(default_factory=list)
    unsent: list[Action] = field(default_factory=list)
    bodies: dict[Received, int] = field(default_factory=dict)
    arrived: dict[Received, int | None] = field(default_factory=dict)
    answers: dict[DispatchId, int | None] = field(default_factory=dict)
    kept: dict[int, int | None] = field(default_factory=dict)
    running: dict[DispatchId, int | None] = field(default_factory=dict)
    open_calls: set[CallId] = field(default_factory=set)
    read_calls: set[CallId] = field(default_factory=set)
    stated_offset: Offset | None = None
    known_boot: int = 0
    backend_down: bool = False
    applied: Offset = Offset(-2)

    @property
    def name(self) -> NodeId:
        """Id of the node."""
        return self.identity.node

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the engine."""
        return self.engine.incarnation

    def offset_stated(self, offset: Offset) -> None:
        """Handle that the log or a peer has stated its newest offset."""
        if self.stated_offset is None or offset < self.stated_offset:
            self.stated_offset = offset
