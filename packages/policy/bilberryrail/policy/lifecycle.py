"""Lifecycle of a call: first attempt, retries, hedged request and end."""

from bilberryrail.control.messages import LogEvent
from bilberryrail.core.ids import CallId, NodeId, Seconds
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy.actions import Action, RejectCall
from bilberryrail.policy.calls import Attempt, Call, Refusal
from bilberryrail.policy.intake import RETRY_AFTER_S
from bilberryrail.policy.retries import CallLedger
from bilberryrail.policy.routing import Choice
from bilberryrail.policy.sending import Sender, Trigger
from bilberryrail.policy.view import ClusterView


class CallLifecycle:
    """Advances calls and appends the actions to ``Sender.actions``."""

    def __init__(self, sender: Sender, ledger: CallLedger) -> None:
        self.sender = sender
        self.ledger = ledger
        self.table = sender.table
        self.retries = sender.retries

    def start(self, call: Call, now: Seconds, view: ClusterView) -> None:
        """Send a new call to its first target; end it if there is none."""
        self.table.add(call)
        if call.parent is not None:
            self.ledger.attach(call.parent, call.call)
        self.retries.call_started()
        choice = self.sender.choose(call, now, view)
        if choice is not None:
            self.sender.place(call, choice, Trigger.FIRST, now, view)
        elif call.pinned_node is None:
            self.give_up(call, Reason.NO_TARGET)
        else:
            # The node that issued the token is gone, and the call may have run
            # there before.
            call.may_have_run = True
            self.give_up(call, Reason.OTHER_INCARNATION)

    def attempt_failed(
        self,
        attempt: Attempt,
        refusal: Refusal,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        """End an attempt that got no answer, and retry or end its call."""
        call = attempt.call
        may_have_run = refusal.outcome is Outcome.UNKNOWN
        call.last_refusal = refusal
        call.may_have_run = call.may_have_run or may_have_run
        self.sender.release(attempt, ran=may_have_run)
        # Another attempt in flight may still answer.
        if not call.attempts and not self._retry(call, now, view):
            self.give_up(call, Reason.NO_TARGET)

    def retry_after_error(
        self,
        call: Call,
        now: Seconds,
        view: ClusterView,
    ) -> bool:
        """Retry a call whose answer was a server error.

        Returns
        -------
        bool
            Whether another attempt is in flight; if not, the caller gets the
            error.
        """
        call.may_have_run = True
        return bool(call.attempts) or self._retry(call, now, view)

    def hedge(
        self,
        call: Call,
        now: Seconds,
        view: ClusterView,
        *,
        is_silent: bool = False,
    ) -> None:
        """Send a hedged request for a slow call to a second target.

        Parameters
        ----------
        is_silent
            Whether the first target is silent. If it is not, the second
            target must have spare slots.
        """
        if call.hedged or not call.is_repeatable or len(call.attempts) != 1:
            return
        trigger = Trigger.SILENCE if is_silent else Trigger.HEDGE
        call.hedged = self._send_again(call, trigger, now, view)

    def reroute_from_silent(
        self,
        peer: NodeId,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        """Send the calls at a silent target to other targets.

        Calls that were already sent are hedged. A call that still waits for
        the link is moved, or keeps waiting if no other target can be used.
        """
        for attempt in self.table.at_peer(peer):
            call = attempt.call
            if attempt.sent_at is not None:
                self.hedge(call, now, view, is_silent=True)
            elif self.sender.choose(call, now, view) is not None:
                refusal = Refusal(
                    Outcome.NOT_RUN,
                    Reason.LINK_LOST,
                    RETRY_AFTER_S,
                )
                self.attempt_failed(attempt, refusal, now, view)

    def expire(self, call: Call) -> None:
        """End a call at its deadline; count it as an error of its targets."""
        for attempt in call.attempts.values():
            if attempt.sent_at is not None:
                self.sender.estimates.failed(attempt.member.node)
        call.last_refusal = None
        self.give_up(call, Reason.DEADLINE)

    def give_up(self, call: Call, reason: Reason) -> None:
        """End a call without an answer.

        Parameters
        ----------
        reason
            Reason reported if no target gave one.
        """
        refusal = call.last_refusal or Refusal(
            Outcome.NOT_RUN,
            reason,
            RETRY_AFTER_S,
        )
        outcome = Outcome.UNKNOWN if call.may_have_started else Outcome.NOT_RUN
        self.end(call.call, None)
        self.reject(
            call.call,
            Refusal(
                outcome,
                refusal.reason,
                refusal.retry_after_s or RETRY_AFTER_S,
            ),
        )

    def reject(self, call: CallId, refusal: Refusal) -> None:
        """Refuse a call and log it without its tenant."""
        self.log(
            'refuse',
            call=call,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )
        self.sender.actions.append(
            RejectCall(
                call,
                refusal.outcome,
                refusal.reason,
                refusal.retry_after_s,
            ),
        )

    def end(self, call_id: CallId, action: Action | None) -> None:
        """End a call: cancel its attempts, then add the action, if any.

        A call that has already ended is ignored.
        """
        call = self.table.calls.get(call_id)
        if call is None:
            return
        for attempt in tuple(call.attempts.values()):
            self.sender.cancel(attempt)
        self.table.remove(call)
        if call.parent is not None:
            self.ledger.detach(call.call)
        if action is not None:
            self.sender.actions.append(action)

    def log(self, name: str, **fields: object) -> None:
        """Add an action that writes one log line."""
        self.sender.actions.append(LogEvent(name, fields))

    def _has_spare_slots(self, choice: Choice, now: Seconds) -> bool:
        return self.sender.estimates.of(choice.member.node).has_spare_slots(now)

    def _retry(self, call: Call, now: Seconds, view: ClusterView) -> bool:
        if call.may_have_run and not call.is_repeatable:
            return False
        return self._send_again(call, Trigger.RETRY, now, view)

    def _send_again(
        self,
        call: Call,
        trigger: Trigger,
        now: Seconds,
        view: ClusterView,
    ) -> bool:
        """Send a call again.

        A retry token is spent if an attempt may have started.
        """
        if call.pinned_node is not None:
            return False
        if call.sent_count >= self.retries.settings.max_attempts:
            return False
        if call.may_have_started and not self.retries.can_spend(
            call.budget, now
        ):
            return False
        choice = self.sender.choose(call, now, view)
        if choice is None:
            return False
        if trigger is Trigger.HEDGE and not self._has_spare_slots(choice, now):
            return False
        if call.may_have_started and not self.retries.spend(call.budget, now):
            return False
        self.sender.place(call, choice, trigger, now, view)
        return True
