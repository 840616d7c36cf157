"""Bodies of calls and answers by id, while the engine decides about them."""

from dataclasses import dataclass, field

from bilberryrail.core.ids import AttemptId, CallId, NodeId, TenantId
from bilberryrail.policy import actions, events
from bilberryrail.wire.content import AnswerContent, CallContent, Payload

_Attempt = tuple[NodeId, AttemptId]


@dataclass(frozen=True, slots=True)
class StoredAttempt:
    """What the backend server needs besides the dispatch."""

    payload: CallContent
    tenant: TenantId


@dataclass(slots=True)
class Bodies:
    """Bodies that some later action of the engine may name.

    Attributes
    ----------
    calls
        From a caller, until the caller has its final response.
    attempts
        From an ingress, until the dispatch or ``DropBody``.
    answers, dispatched
        Answers, while the event that announced them is handled.
    kept
        Answers of reservations, until ``DropAnswer``.
    """

    calls: dict[CallId, CallContent] = field(default_factory=dict)
    attempts: dict[_Attempt, StoredAttempt] = field(default_factory=dict)
    answers: dict[_Attempt, AnswerContent] = field(default_factory=dict)
    backend_answers: dict[events.DispatchId, AnswerContent] = field(
        default_factory=dict
    )
    kept: dict[int, AnswerContent] = field(default_factory=dict)

    def store(self, event: events.Event, payload: Payload | None) -> None:
        """Keep the payload that came with an event, and drop ended calls."""
        match (event, payload):
            case (events.CallArrived(call=call), CallContent()):
                self.calls[call] = payload
            case (
                events.AttemptReceived(peer=peer, attempt=attempt),
                CallContent(),
            ):
                stored = StoredAttempt(payload, event.tenant)
                self.attempts[peer, attempt] = stored
            case (
                events.AnswerReceived(peer=peer, attempt=attempt),
                AnswerContent(),
            ):
                self.answers[peer, attempt] = payload
            case (events.BackendAnswered(dispatch=dispatch), AnswerContent()):
                self.backend_answers[dispatch] = payload
            case (events.CallerGone(call=call), _):
                self.calls.pop(call, None)

    def keep(self, action: actions.KeepAnswer) -> None:
        """Keep an answer for later submissions of its reservation."""
        payload = self.backend_answers.get(action.dispatch)
        if payload is not None:
            self.kept[action.sequence] = payload

    def answer_for(
        self,
        action: actions.SendAnswer | actions.SendKeptAnswer,
    ) -> AnswerContent | None:
        """Find the answer that an action sends to the ingress."""
        match action:
            case actions.SendAnswer(dispatch=dispatch):
                return self.backend_answers.get(dispatch)
            case actions.SendKeptAnswer(sequence=sequence):
                return self.kept.get(sequence)

    def drop_unclaimed(self) -> None:
        """Drop answers that no action asked for, such as duplicates."""
        self.answers.clear()
        self.backend_answers.clear()
