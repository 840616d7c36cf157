"""Ingress role: handles each call from its arrival to its one result."""

import math
from collections.abc import Iterable
from http import HTTPStatus
from random import Random
from typing import Final

from result import Err

from bilberryrail.control.messages import (
    CloseLink,
    DrainRequested,
    LinkDown,
    LinkUp,
    Tick,
)
from bilberryrail.core.ids import AttemptId, CallId, NodeId, Seconds
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.policy import events
from bilberryrail.policy.actions import (
    Action,
    CompleteCall,
    GrantReservation,
)
from bilberryrail.policy.calls import (
    Attempt,
    Call,
    CallTable,
    Refusal,
    TimerKind,
)
from bilberryrail.policy.intake import (
    RETRY_AFTER_S,
    Arrival,
    Intake,
    TokenTarget,
    token_of,
)
from bilberryrail.policy.lifecycle import CallLifecycle
from bilberryrail.policy.retries import CallLedger, RetryPolicy
from bilberryrail.policy.sending import Sender
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.view import ClusterView

#: Refusal reasons that do not count as errors of the target. If they did,
#: one caller that sends invalid tokens could make this node avoid a healthy
#: target for all other callers.
_NEUTRAL_REASONS: Final = frozenset(
    (
        Reason.CANCELLED,
        Reason.RESERVATION_INVALID,
        Reason.RESERVATION_EXPIRED,
        Reason.OTHER_INCARNATION,
        Reason.ANSWER_NOT_KEPT,
        Reason.TOO_LARGE,
    ),
)


class IngressRole:
    """Accepts calls from callers and sends them to targets.

    Parameters
    ----------
    ledger
        Dispatches that run at this node, for the limits of nested calls.
    token_target
        Returns the node that issued a reservation token.
    """

    def __init__(
        self,
        settings: EngineSettings,
        random: Random,
        ledger: CallLedger,
        token_target: TokenTarget,
    ) -> None:
        self.settings = settings
        self.table = CallTable()
        self.retries = RetryPolicy(settings.retries)
        self.intake = Intake(
            settings.identity,
            settings.retries,
            ledger,
            token_target,
        )
        self.sender = Sender(settings, random, self.table, self.retries)
        self.lifecycle = CallLifecycle(self.sender, ledger)
        self.draining = False
        self._view: ClusterView | None = None

    @property
    def wakeup_at(self) -> Seconds:
        """Time at which the next deadline or hedge is due.

        Silent targets and probes need no timer of their own; they are checked
        at each tick of the engine.
        """
        due_at = self.table.next_due()
        return Seconds(math.inf) if due_at is None else due_at

    @property
    def idle(self) -> bool:
        """Whether no call is in flight."""
        return not self.table.calls

    def handle(
        self,
        event: events.Event,
        now: Seconds,
        view: ClusterView,
    ) -> tuple[Action, ...]:
        """Handle an event; events for other parts are ignored."""
        if view is not self._view:
            self._update_view(view)
        match event:
            case events.CallArrived() | events.ReservationAsked():
                self._arrive(event, now, view)
            case events.CallerGone():
                self.lifecycle.end(event.call, None)
            case events.AnswerReceived():
                self._answer(event, now, view)
            case events.RefusalReceived():
                self._refuse(event, now, view)
            case events.ReservationGranted():
                self._grant(event, now)
            case events.ProbeReplied():
                self.sender.prober.replied(
                    event.peer,
                    event.probe,
                    event.load,
                    now,
                )
            case LinkUp():
                self._link_up(event.member.node, now)
            case LinkDown():
                self._link_down(event.peer, now, view)
            case DrainRequested():
                self.draining = True
            case Tick():
                self._tick(now, view)
        return self._take_actions()

    def cancel_nested(
        self,
        nested: Iterable[CallId],
    ) -> tuple[Action, ...]:
        """Cancel nested calls whose parent dispatch has ended."""
        for call_id in nested:
            call = self.table.calls.get(call_id)
            if call is not None:
                self.lifecycle.give_up(call, Reason.CANCELLED)
        return self._take_actions()

    def resumed(self, now: Seconds) -> None:
        """Restart silence timers so that an own pause suspects no target."""
        self.sender.estimates.resumed(now)
        self.sender.prober.resumed()

    def is_link_needed(self, peer: NodeId) -> bool:
        """Return whether the link to a peer is kept open for calls."""
        return peer in self.sender.needed_links

    def link_closed(self, peer: NodeId) -> None:
        """Remove a link that the control plane has closed."""
        self.sender.links.pop(peer, None)

    def _take_actions(self) -> tuple[Action, ...]:
        actions = tuple(self.sender.actions)
        self.sender.actions.clear()
        return actions

    def _update_view(self, view: ClusterView) -> None:
        """Remember the view, and forget nodes that are no longer members."""
        self._view = view
        known = {*self.sender.estimates.by_node, *self.sender.links}
        for node in known - {self.settings.identity.node}:
            if view.member(node) is None and not self.table.at_peer(node):
                self.sender.estimates.forget(node)
                self.sender.needed_links.discard(node)
                if self.sender.links.pop(node, None) is not None:
                    self.sender.actions.append(CloseLink(node))

    def _arrive(
        self,
        arrival: Arrival,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        # Even a draining node forwards a call with a token, because only the
        # target knows whether the call has already run.
        is_new = arrival.parent is None and token_of(arrival) is None
        if self.draining and is_new:
            refusal = Refusal(
                Outcome.NOT_RUN,
                Reason.DRAINING,
                RETRY_AFTER_S,
            )
            self.lifecycle.reject(arrival.call, refusal)
            return
        admitted = self.intake.admit(arrival, now, view)
        if isinstance(admitted, Err):
            self.lifecycle.reject(arrival.call, admitted.err_value)
            return
        self.lifecycle.start(admitted.ok_value, now, view)

    def _answer(
        self,
        event: events.AnswerReceived,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        attempt = self._find(event.peer, event.attempt)
        if attempt is not None:
            self.sender.answered(attempt, event.size, now)
            if event.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                self.sender.estimates.failed(event.peer)
        self._message_received(event.peer, event.load, now)
        if attempt is None:
            return
        call = attempt.call
        self.sender.release(attempt, ran=True)
        is_error = event.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_error and self.lifecycle.retry_after_error(call, now, view):
            return
        self.lifecycle.end(
            call.call,
            CompleteCall(
                call.call,
                event.peer,
                event.attempt,
                event.status,
            ),
        )

    def _grant(self, event: events.ReservationGranted, now: Seconds) -> None:
        attempt = self._find(event.peer, event.attempt)
        self._message_received(event.peer, event.load, now)
        if attempt is None:
            return
        call = attempt.call
        self.sender.release(attempt, ran=True)
        self.lifecycle.end(call.call, GrantReservation(call.call, event.token))

    def _refuse(
        self,
        event: events.RefusalReceived,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        attempt = self._find(event.peer, event.attempt)
        if attempt is not None and event.reason not in _NEUTRAL_REASONS:
            self.sender.estimates.failed(event.peer)
        self._message_received(event.peer, event.load, now)
        if attempt is None:
            return
        call = attempt.call
        refusal = Refusal(event.outcome, event.reason, event.retry_after_s)
        if (
            call.pinned_node is not None
            and event.reason is not Reason.LINK_LOST
        ):
            # The node that issued the token has answered, and its outcome
            # covers earlier submissions of the token.
            call.may_have_run = False
        # A member that changed its service is not the caller's error, so
        # the call is retried elsewhere.
        misrouted = (
            event.reason is Reason.WRONG_SERVICE and not call.pinned_node
        )
        if event.outcome is Outcome.INVALID and not misrouted:
            self.sender.release(attempt, ran=False)
            self._invalid(call, refusal)
        else:
            self.lifecycle.attempt_failed(attempt, refusal, now, view)

    def _invalid(self, call: Call, refusal: Refusal) -> None:
        """End a call that a target refused as invalid."""
        if call.may_have_started:
            self.lifecycle.give_up(call, refusal.reason)
        else:
            self.lifecycle.end(call.call, None)
            self.lifecycle.reject(call.call, refusal)

    def _link_up(self, peer: NodeId, now: Seconds) -> None:
        self.sender.links[peer] = True
        self._message_received(peer, None, now)
        for attempt in self.table.at_peer(peer):
            if attempt.sent_at is None:
                self.sender.send(attempt, now)

    def _link_down(
        self,
        peer: NodeId,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        self.sender.links.pop(peer, None)
        if peer in self.sender.estimates.by_node:
            self.sender.estimates.suspect(peer, now)
        for attempt in self.table.at_peer(peer):
            sent = attempt.sent_at is not None
            # Without an answer of the target it is unknown whether a call
            # with this token has run before.
            unknown = sent or attempt.call.pinned_node is not None
            outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
            if sent:
                self.sender.estimates.failed(peer)
            refusal = Refusal(outcome, Reason.LINK_LOST, RETRY_AFTER_S)
            self.lifecycle.attempt_failed(attempt, refusal, now, view)

    def _tick(self, now: Seconds, view: ClusterView) -> None:
        due = self.table.pop_due(now)
        while due is not None:
            call, kind = due
            if kind is TimerKind.DEADLINE:
                self.lifecycle.expire(call)
            else:
                self.lifecycle.hedge(call, now, view)
            due = self.table.pop_due(now)
        timeout_s = self.settings.routing.suspect_after_s
        for silent in tuple(self.sender.estimates.suspect_silent(now)):
            self.lifecycle.log('suspect', target=silent, evidence='attempt')
            self.lifecycle.reroute_from_silent(silent, now, view)
        for lost in self.sender.prober.suspect_unanswered(now, timeout_s):
            self.lifecycle.log('suspect', target=lost, evidence='probe')
        self.sender.probe_suspect(now, view)

    def _message_received(
        self,
        peer: NodeId,
        load: LoadReport | None,
        now: Seconds,
    ) -> None:
        if peer in self.sender.estimates.by_node:
            self.sender.estimates.message_received(peer, load, now)

    def _find(self, peer: NodeId, attempt_id: AttemptId) -> Attempt | None:
        """Return an attempt in flight.

        There is none if the message is late or comes from another peer than
        the one the attempt was sent to.
        """
        attempt = self.table.attempts.get(attempt_id)
        if attempt is None or attempt.member.node != peer:
            return None
        return None if attempt.sent_at is None else attempt
