"""One node of a run: the engine, and what its shell would hold."""

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

#: Attempt as its target sees it.
Received = tuple[NodeId, AttemptId]


@dataclass(slots=True)
class ProofNode(SimulatedNode):
    """A node with bodies of calls, which are the numbers of submissions.

    Attributes
    ----------
    alive, frozen
        Whether the process exists, and whether it is paused.
    waiting
        Events that wait in sockets while the process is paused.
    unsent
        Actions that were not carried out before the pause.
    bodies
        Submission that came with each attempt received.
    arrived
        Submission whose answer came with each answer received.
    running, answers, kept
        Submission of each call at the backend server, of each of its
        answers, and of each answer kept for a reservation.
    open_calls, read_calls
        Submissions of callers at this ingress without an end, and those that
        were read from their sockets.
    stated
        Lowest newest offset that this incarnation was told.
    known_boot
        Start of the backend server that the node has had a sign of.
    backend_down
        Whether the backend server accepts no connection.
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
        """Note that the log or a peer stated its newest offset."""
        if self.stated_offset is None or offset < self.stated_offset:
            self.stated_offset = offset
