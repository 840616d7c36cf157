"""An engine without routing or admission, to run the shell over real sockets.

It sends every call to one fixed target, which admits every attempt.
"""

import itertools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from bilberryrail.control import messages
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import (
    AttemptId,
    CallId,
    Incarnation,
    NodeId,
    Seconds,
)
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.core.records import ClusterState
from bilberryrail.policy import actions, events

LOAD: Final = LoadReport(in_flight=1, limit=4, queued=0, latency_s=1)
LIMITS: Final = events.CallLimits(remaining_s=5, retry_budget=0)

#: Retry-after time that every refusal states, in seconds.
RETRY_AFTER_S: Final = 0.25
#: Number of events kept for tests to inspect; older ones are dropped.
_MAX_EVENTS: Final = 1000


@dataclass(slots=True)
class ScriptedPlane:
    """Stands in for the control plane that the operator endpoints query."""

    state: ClusterState = field(default_factory=ClusterState)
    unlogged: dict[NodeId, Any] = field(default_factory=dict)
    log_available: bool = True
    caught_up: bool = True

    def status(self, now: Seconds) -> dict[Any, messages.ZoneStatus]:
        """Report no availability zones."""
        return {}

    def outcome(self, record_id: str) -> Any:
        """Return the outcome of a record, or None if there is none."""
        return self.state.outcomes.get(record_id)


class ScriptedEngine:
    """Stands in for ``NodeEngine``.

    Attributes
    ----------
    target
        Node that every call is sent to.
    scripts
        Handlers by type of event; they replace the default handling.
    """

    def __init__(self, identity: NodeIdentity, target: NodeId) -> None:
        self.identity = identity
        self.incarnation = Incarnation(hash(identity.node) % 1000 + 1)
        self.target = target
        self.plane = ScriptedPlane()
        self.wakeup_at = Seconds(math.inf)
        self.events: deque[events.Event] = deque(maxlen=_MAX_EVENTS)
        self.scripts: dict[type, Callable[[Any], tuple[Any, ...]]] = {}
        self.calls: dict[AttemptId, CallId] = {}
        self.dispatches: dict[events.DispatchId, tuple[Any, ...]] = {}
        self.ids = itertools.count(1)
        self.is_draining = False

    def handle(self, event: events.Event, now: Seconds) -> tuple[Any, ...]:
        """Run the script for the type of the event, or the default handling."""
        self.events.append(event)
        script = self.scripts.get(type(event))
        requested = script(event) if script else self._handle(event)
        if self.is_draining and not (self.calls or self.dispatches):
            self.is_draining = False
            return (*requested, actions.Stop())
        return requested

    def seen(self, kind: type) -> list[Any]:
        """Return the kept events of a type."""
        return [event for event in self.events if isinstance(event, kind)]

    def _handle(self, event: events.Event) -> tuple[Any, ...]:
        match event:
            case events.CallArrived():
                return (self._attempt(event),)
            case events.ReservationAsked():
                return (self._reservation(event),)
            case events.CallerGone(call=call):
                return self._cancel(call)
            case events.AnswerReceived(attempt=attempt):
                return self._complete(event, attempt)
            case events.RefusalReceived(attempt=attempt):
                return self._reject(attempt, event.outcome, event.reason)
            case events.ReservationGranted(attempt=attempt, token=token):
                call = self.calls.pop(attempt)
                return (actions.GrantReservation(call, token),)
            case messages.LinkDown():
                return self._lose_link()
            case messages.DrainRequested():
                self.is_draining = True
        return self._handle_as_target(event)

    def _handle_as_target(self, event: events.Event) -> tuple[Any, ...]:
        match event:
            case events.AttemptReceived(peer=peer, attempt=attempt):
                dispatch = events.DispatchId(next(self.ids))
                self.dispatches[dispatch] = (peer, attempt)
                return (actions.Dispatch(dispatch, peer, attempt, 1.0),)
            case events.CancelReceived(peer=peer, attempt=attempt):
                return self._abort((peer, attempt))
            case events.ReservationReceived(peer=peer, attempt=attempt):
                token = events.Token('token-1')
                return (actions.SendToken(peer, attempt, token, LOAD),)
            case events.BackendAnswered(dispatch=dispatch, status=status):
                peer, attempt = self.dispatches.pop(dispatch)
                return (
                    actions.SendAnswer(peer, attempt, dispatch, status, LOAD),
                )
            case events.BackendFailed(dispatch=dispatch):
                return self._refuse(event, self.dispatches.pop(dispatch, None))
        return ()

    def _attempt(self, event: events.CallArrived) -> actions.SendAttempt:
        attempt = AttemptId(next(self.ids))
        self.calls[attempt] = event.call
        return actions.SendAttempt(
            self.target,
            attempt,
            event.call,
            event.service,
            event.tenant,
            LIMITS,
            event.token,
        )

    def _reservation(
        self,
        event: events.ReservationAsked,
    ) -> actions.SendReservation:
        attempt = AttemptId(next(self.ids))
        self.calls[attempt] = event.call
        return actions.SendReservation(
            self.target,
            attempt,
            event.service,
            event.tenant,
            LIMITS,
        )

    def _complete(
        self,
        event: events.AnswerReceived,
        attempt: AttemptId,
    ) -> tuple[Any, ...]:
        call = self.calls.pop(attempt, None)
        if call is None:
            return ()
        return (actions.CompleteCall(call, event.peer, attempt, event.status),)

    def _reject(
        self,
        attempt: AttemptId,
        outcome: Outcome,
        reason: Reason,
    ) -> tuple[Any, ...]:
        call = self.calls.pop(attempt, None)
        if call is None:
            return ()
        return (actions.RejectCall(call, outcome, reason, RETRY_AFTER_S),)

    def _cancel(self, call: CallId) -> tuple[Any, ...]:
        attempts = [key for key, found in self.calls.items() if found == call]
        for ended in attempts:
            self.calls.pop(ended)
        return tuple(
            actions.SendCancel(self.target, attempt) for attempt in attempts
        )

    def _abort(self, wanted: tuple[Any, ...]) -> tuple[Any, ...]:
        return tuple(
            actions.AbortDispatch(dispatch)
            for dispatch, key in self.dispatches.items()
            if key == wanted
        )

    def _lose_link(self) -> tuple[Any, ...]:
        return tuple(
            action
            for attempt in tuple(self.calls)
            for action in self._reject(
                attempt,
                Outcome.UNKNOWN,
                Reason.LINK_LOST,
            )
        )

    def _refuse(
        self,
        event: events.BackendFailed,
        key: tuple[Any, ...] | None,
    ) -> tuple[Any, ...]:
        if key is None:
            return ()
        outcome = Outcome.UNKNOWN if event.started else Outcome.NOT_RUN
        reason = Reason.BACKEND_FAILED
        if not event.started:
            reason = Reason.BACKEND_DOWN
        return (
            actions.SendRefusal(*key, outcome, reason, RETRY_AFTER_S, LOAD),
        )
