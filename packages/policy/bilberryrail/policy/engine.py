"""Composes the control plane and both roles of a node into one object.

The engine has no sockets, threads or timers. The shell passes events to it
and carries out the actions that it returns.
"""

from collections.abc import Iterable, Iterator
from random import Random

from bilberryrail.control import messages
from bilberryrail.core.ids import Seconds
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy import events
from bilberryrail.policy.actions import (
    Action,
    DrainInput,
    DropBody,
    RejectCall,
    SendRefusal,
    Stop,
)
from bilberryrail.policy.held_work import HeldWork, NewWork
from bilberryrail.policy.intake import (
    RETRY_AFTER_S,
    outcome_if_unsent,
    token_of,
)
from bilberryrail.policy.parts import EngineParts, default_parts
from bilberryrail.policy.pause import PauseDetector
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.view import ClusterView


class NodeEngine:
    """Makes all decisions of one node.

    Parameters
    ----------
    random
        Source of all randomness.
    parts
        Parts to compose; made from the settings if None.

    Attributes
    ----------
    incarnation
        Identifies this run of the node in tokens and announcements.
    plane
        Control plane, for the operators' endpoint.
    view
        Configuration and membership on which decisions about calls are
        based.
    """

    def __init__(
        self,
        settings: EngineSettings,
        random: Random,
        parts: EngineParts | None = None,
    ) -> None:
        self.settings = settings
        self.parts = parts or default_parts(settings, random)
        self.identity = settings.identity
        self.incarnation = self.parts.incarnation
        self.plane = self.parts.plane
        self.pause_detector = PauseDetector(settings.pause)
        self.held_work = HeldWork()
        self.view = self._make_view(None)
        self.draining = False
        self.stopped = False
        self._quiet_since = Seconds(0)
        self._version = self.parts.plane.view_version
        self._handled_at = Seconds(0)

    @property
    def wakeup_at(self) -> Seconds:
        """Latest time at which ``Tick`` must be handled."""
        tick_at = self._handled_at + self.settings.pause.tick_interval_s
        due_at = min(tick_at, self.parts.plane.wakeup_at)
        if self.pause_detector.draining_input:
            # The roles get no ticks until the input that arrived during the
            # pause has been read.
            return Seconds(due_at)
        return Seconds(
            min(
                due_at,
                self.parts.target.wakeup_at,
                self.parts.ingress.wakeup_at,
            ),
        )

    def handle(
        self,
        event: events.Event,
        now: Seconds,
    ) -> tuple[Action, ...]:
        """Handle an event and return the actions for the shell, in order."""
        self._handled_at = now
        pause_s = self.pause_detector.observe(now)
        actions: list[Action] = []
        if pause_s:
            self.parts.ingress.resumed(now)
            actions.append(messages.LogEvent('pause', {'length_s': pause_s}))
            actions.append(DrainInput())
        # If a new pause has just been detected, an InputDrained event belongs
        # to an earlier drain of the input and is ignored.
        if not pause_s or not isinstance(event, events.InputDrained):
            actions.extend(self._dispatch(event, now))
        actions.extend(self._stop(now))
        return tuple(actions)

    def _dispatch(
        self,
        event: events.Event,
        now: Seconds,
    ) -> Iterable[Action]:
        match event:
            case (
                events.CallArrived()
                | events.ReservationAsked()
                | events.AttemptReceived()
                | events.ReservationReceived()
            ):
                return self._accept(event, now)
            case events.CallerGone() | events.CancelReceived():
                return self._cancel(event, now)
            case (
                events.AnswerReceived()
                | events.RefusalReceived()
                | events.ReservationGranted()
                | events.ProbeReplied()
            ):
                return self.parts.ingress.handle(event, now, self.view)
            case (
                events.ProbeReceived()
                | events.BackendAnswered()
                | events.BackendFailed()
                | events.BackendHealth()
            ):
                return self._target(event, now)
            case events.InputDrained():
                return self._input_drained(now)
        return self._control(event, now)

    def _accept(self, event: NewWork, now: Seconds) -> Iterable[Action]:
        """Pass new work to its role, hold it back or refuse it."""
        if self.pause_detector.draining_input:
            self.held_work.hold(event, now, self.pause_detector.pause_s)
            return ()
        reason = self._refusal_reason(now)
        if reason is not None:
            return self._refuse(event, reason, now)
        if isinstance(event, events.CallArrived | events.ReservationAsked):
            return self.parts.ingress.handle(event, now, self.view)
        return self._target(event, now)

    def _cancel(
        self,
        event: events.CallerGone | events.CancelReceived,
        now: Seconds,
    ) -> Iterable[Action]:
        dropped = self.held_work.cancel(event)
        if dropped is not None:
            return dropped
        if isinstance(event, events.CallerGone):
            return self.parts.ingress.handle(event, now, self.view)
        return self._target(event, now)

    def _input_drained(self, now: Seconds) -> Iterator[Action]:
        self.pause_detector.input_drained()
        for event in self.held_work.release(now, self.view):
            yield from self._accept(event, now)

    def _control(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> Iterator[Action]:
        """Handle an event of the control plane, and of the roles if needed."""
        for action in self.parts.plane.handle(event, now):
            if not self._keep_link(action):
                yield action
        self._refresh_view()
        if isinstance(event, messages.DrainRequested):
            self.draining = True
            self._quiet_since = now
        if self._affects_calls(event):
            yield from self._target(event, now)
            yield from self.parts.ingress.handle(event, now, self.view)

    def _affects_calls(self, event: messages.ControlEvent) -> bool:
        match event:
            case messages.Tick():
                # Deadlines are not enforced until answers that wait in
                # sockets have been read.
                return not self.pause_detector.draining_input
            case (
                messages.LinkUp()
                | messages.LinkDown()
                | messages.DrainRequested()
            ):
                return True
        return False

    def _keep_link(self, action: Action) -> bool:
        """Return whether to keep a link that the control plane closes.

        Links that calls still need are kept.
        """
        if not isinstance(action, messages.CloseLink):
            return False
        if self.parts.ingress.is_link_needed(action.peer):
            return True
        self.parts.ingress.link_closed(action.peer)
        return False

    def _target(self, event: events.Event, now: Seconds) -> Iterator[Action]:
        """Let the target role handle an event, and cancel nested calls.

        Nested calls are cancelled when their parent dispatch ends, so that
        they occupy no slots for a result that nobody waits for.
        """
        yield from self.parts.target.handle(event, now, self.view)
        nested = self.parts.target.pop_cancelled_nested()
        yield from self.parts.ingress.cancel_nested(nested)

    def _refusal_reason(self, now: Seconds) -> Reason | None:
        """Return why this node cannot serve calls; None if it can."""
        plane = self.parts.plane
        if self.stopped:
            return Reason.DRAINING
        if not plane.caught_up:
            return Reason.CATCHING_UP
        stale = self.pause_detector.is_stale(
            now,
            plane.offset_reported_at,
            has_peers=self.view.has_peers,
        )
        return Reason.STALE_VIEW if stale else None

    def _refuse(
        self,
        event: NewWork,
        reason: Reason,
        now: Seconds,
    ) -> Iterator[Action]:
        match event:
            case events.CallArrived() | events.ReservationAsked():
                yield RejectCall(
                    event.call,
                    outcome_if_unsent(token_of(event)),
                    reason,
                    RETRY_AFTER_S,
                )
            case events.AttemptReceived() | events.ReservationReceived():
                yield SendRefusal(
                    peer=event.peer,
                    attempt=event.attempt,
                    outcome=self._outcome_if_refused(event),
                    reason=reason,
                    retry_after_s=RETRY_AFTER_S,
                    load=self.parts.target.load(now),
                )
        if isinstance(event, events.AttemptReceived):
            yield DropBody(event.peer, event.attempt)

    def _outcome_if_refused(
        self,
        event: events.AttemptReceived | events.ReservationReceived,
    ) -> Outcome:
        """Return whether a call that is refused now may already run."""
        if isinstance(event, events.ReservationReceived) or not event.token:
            return Outcome.NOT_RUN
        return self.parts.target.outcome_if_refused(event.token)

    def _stop(self, now: Seconds) -> tuple[Action, ...]:
        """Stop when a draining node has been idle for long enough.

        The node's Leave record must have been appended before. A process that
        exits earlier would stay a member until it is evicted.
        """
        if (
            not self.draining
            or self.stopped
            or self.pause_detector.draining_input
        ):
            return ()
        is_idle = self.parts.target.idle and self.parts.ingress.idle
        if not (is_idle and self.plane.has_left):
            self._quiet_since = now
            return ()
        if now - self._quiet_since < self.settings.drain_quiet_s:
            return ()
        self.stopped = True
        return (Stop(),)

    def _refresh_view(self) -> None:
        version = self.parts.plane.view_version
        if version != self._version:
            self._version = version
            self.view = self._make_view(self.view)

    def _make_view(self, previous: ClusterView | None) -> ClusterView:
        plane = self.parts.plane
        return ClusterView(
            plane.state,
            self.settings.identity,
            plane.unlogged,
            frozenset(plane.leaving),
            previous,
        )
