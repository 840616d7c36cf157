"""Bodies of calls and answers by id; the engine handles only the ids."""

from dataclasses import dataclass, field

from bilberryrail.core.ids import AttemptId, CallId, NodeId, TenantId
from bilberryrail.policy import actions, events
from bilberryrail.wire.content import AnswerContent, CallContent, Payload

_Attempt = tuple[NodeId, AttemptId]


@dataclass(frozen=True, slots=True)
class StoredAttempt:
    """Data of an attempt that the dispatch action does not contain."""

    payload: CallContent
    tenant: TenantId


@dataclass(slots=True)
class Bodies:
    """Bodies that a later action of the engine may refer to.

    Attributes
    ----------
    calls
        Bodies from callers, kept until the caller has its final response.
    attempts
        Bodies from ingresses, kept until the dispatch or ``DropBody``.
    answers
        Answers from targets, kept while their event is handled.
    backend_answers
        Answers from the backend server, kept while their event is handled.
    kept
        Answers of calls with a reservation, kept until ``DropAnswer``.
    """

    calls: dict[CallId, CallContent] = field(default_factory=dict)
    attempts: dict[_Attempt, StoredAttempt] = field(default_factory=dict)
    answers: dict[_Attempt, AnswerContent] = field(default_factory=dict)
    backend_answers: dict[events.DispatchId, AnswerContent] = field(
        default_factory=dict
    )
    kept: dict[int, AnswerContent] = field(default_factory=dict)

    def store(self, event: events.Event, payload: Payload | None) -> None:
        """Store the body that came with an event.

        Drops the body of a call whose caller has disconnected.
        """
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
        """Keep an answer in case its reservation is submitted again."""
        payload = self.backend_answers.get(action.dispatch)
        if payload is not None:
            self.kept[action.sequence] = payload

    def answer_for(
        self,
        action: actions.SendAnswer | actions.SendKeptAnswer,
    ) -> AnswerContent | None:
        """Return the answer that an action sends to the ingress, if stored."""
        match action:
            case actions.SendAnswer(dispatch=dispatch):
                return self.backend_answers.get(dispatch)
            case actions.SendKeptAnswer(sequence=sequence):
                return self.kept.get(sequence)

    def drop_unclaimed(self) -> None:
        """Drop answers that no action has used, such as duplicates."""
        self.answers.clear()
        self.backend_answers.clear()
