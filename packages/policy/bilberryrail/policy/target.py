"""Target role of a node: admits calls to its backend server."""

import random

from result import Err, Ok

from bilberryrail.control.messages import DrainRequested, LinkDown
from bilberryrail.core.ids import (
    CallId,
    Incarnation,
    NodeId,
    Seconds,
    TenantId,
)
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.core.records import ClusterState
from bilberryrail.policy import actions, events
from bilberryrail.policy.admission import (
    Gate,
    Refusal,
    Request,
    reservation_refusal,
)
from bilberryrail.policy.dispatcher import Dispatcher
from bilberryrail.policy.ledger import Ledger
from bilberryrail.policy.reservations import ReservationEntry, ReservationTable
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.tokens import KEY_BYTES, TokenSigner
from bilberryrail.policy.view import ClusterView
from bilberryrail.policy.work import Submitter, Work


class TargetRole:
    """Decides which calls are sent to this node's backend server.

    Parameters
    ----------
    settings
        Settings of the engine.
    ledger
        Running dispatches, shared with the ingress role.
    rng
        Source of the token key and of the first dispatch id.
    incarnation
        Incarnation written into the tokens that this target issues.

    Attributes
    ----------
    counters
        Counters of decisions, for metrics.
    """

    def __init__(
        self,
        settings: EngineSettings,
        ledger: Ledger,
        rng: random.Random,
        incarnation: Incarnation,
    ) -> None:
        self.settings = settings
        signer = TokenSigner(
            settings.identity.node,
            incarnation,
            rng.randbytes(KEY_BYTES),
        )
        self.reservations = ReservationTable(settings.reservations, signer)
        self.gate = Gate(settings)
        self.dispatcher = Dispatcher(settings, ledger, self.reservations, rng)
        self.outbox = self.dispatcher.outbox
        self.counters = self.outbox.counters
        self.wakeup_at = Seconds(0)
        self._started = False
        self._state: ClusterState | None = None

    @property
    def idle(self) -> bool:
        """Whether no call runs or waits."""
        dispatcher = self.dispatcher
        return not dispatcher.table.running and not len(dispatcher.queue)

    def load(self, now: Seconds) -> LoadReport:
        """Return the current load of this target."""
        return self.dispatcher.capacity.load(now)

    def outcome_if_refused(self, token: events.Token) -> Outcome:
        """Return the outcome of a call refused before it is dispatched.

        It is ``UNKNOWN`` if the token may have been used before.
        """
        sequence = self.reservations.sequence_of(token)
        is_held = sequence in self.dispatcher.table.by_sequence
        if is_held or self.reservations.may_have_run(token):
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def pop_cancelled_nested(self) -> tuple[CallId, ...]:
        """Remove and return the nested calls that the ingress must cancel.

        The engine collects them after each ``handle``.
        """
        nested = tuple(self.dispatcher.cancelled_nested)
        self.dispatcher.cancelled_nested.clear()
        return nested

    def handle(
        self,
        event: events.Event,
        now: Seconds,
        view: ClusterView,
    ) -> tuple[actions.Action, ...]:
        """Handle an event; events for other parts only advance the time."""
        self._apply_view(now, view)
        self._handle_call_event(event, now, view)
        self._handle_backend_event(event, now)
        refusal = self.gate.refuse_queued(view, self.dispatcher.backend, now)
        if refusal is not None:
            self.dispatcher.refuse_all_waiting(refusal, now)
        self.dispatcher.dispatch_waiting(now)
        if self.dispatcher.backend.is_check_due(now):
            self.outbox.add(actions.CheckHealth())
        self.wakeup_at = self.dispatcher.capacity.wakeup_at(now)
        return self.outbox.take()

    def _apply_view(self, now: Seconds, view: ClusterView) -> None:
        backend = self.dispatcher.backend
        if not self._started:
            self._started = True
            backend.ramp.restart(now)
            backend.check_at = now
        config = view.service(self.settings.identity.service)
        if config is not None:
            self.dispatcher.capacity.limits = config.limits
        is_out = view.is_zone_out(self.settings.identity.zone)
        backend.update_zone(now, out=is_out)
        self.reservations.expire(now)
        if view.state is not self._state:
            self._state = view.state
            self._recheck_waiting(now, view)

    def _recheck_waiting(self, now: Seconds, view: ClusterView) -> None:
        """Refuse waiting calls that a new configuration no longer allows."""
        for work in self.dispatcher.queue.works():
            refusal = self.gate.refuse_tenant(work.tenant, work.limits, view)
            if refusal is not None:
                work.logged_tenant = None
                self.dispatcher.refuse_waiting(work, refusal, now)

    def _handle_call_event(
        self,
        event: events.Event,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        match event:
            case events.AttemptReceived():
                self._attempt(event, now, view)
            case events.ReservationReceived():
                self._reserve(event, now, view)
            case events.CancelReceived(peer, attempt):
                self.dispatcher.cancel(Submitter(peer, attempt))
            case events.ProbeReceived(peer, probe):
                reply = actions.SendProbeReply(peer, probe, self.load(now))
                self.outbox.add(reply)
            case LinkDown(peer):
                self._link_down(peer)

    def _handle_backend_event(self, event: events.Event, now: Seconds) -> None:
        match event:
            case events.BackendAnswered():
                if event.report is not None:
                    self.dispatcher.backend.reported(event.report, now)
                self.dispatcher.answered(event, now)
            case events.BackendFailed():
                self.dispatcher.failed(event, now)
            case events.BackendHealth(report):
                self.dispatcher.backend.health_checked(report, now)
            case DrainRequested():
                self.gate.draining = True
                self.dispatcher.capacity.draining = True

    def _link_down(self, peer: NodeId) -> None:
        # The attempts are always forgotten, because a restarted ingress may
        # reuse their ids and must not get the answers of older calls.
        abort = self.settings.admission.cancel_on_link_loss
        for submitter in self.dispatcher.table.of_peer(peer):
            self.dispatcher.cancel(submitter, abort=abort)

    def _attempt(
        self,
        attempt: events.AttemptReceived,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        submitter = Submitter(attempt.peer, attempt.attempt)
        if submitter in self.dispatcher.table.by_submitter:
            # The message is a duplicate of an attempt in progress, which
            # gets its answer or refusal later.
            return
        refusal = self.gate.refuse_request(attempt, view)
        if refusal is not None:
            # "Not run" would be wrong for a token that was used before.
            token = attempt.token
            if token and self.outcome_if_refused(token) is Outcome.UNKNOWN:
                refusal = Refusal(refusal.reason, outcome=Outcome.UNKNOWN)
        elif attempt.token is None:
            refusal = self._submit(attempt, None, now, view)
        else:
            refusal = self._submit_with_token(attempt, attempt.token, now, view)
        if refusal is not None:
            self._refuse(attempt, refusal, now, view)

    def _submit_with_token(
        self,
        attempt: events.AttemptReceived,
        token: events.Token,
        now: Seconds,
        view: ClusterView,
    ) -> Refusal | None:
        found = self.reservations.find(
            token,
            attempt.service,
            attempt.tenant,
            now,
        )
        match found:
            case Err(error):
                return reservation_refusal(error)
            case Ok(ReservationEntry(answer=None) as entry):
                return self._join_or_submit(attempt, entry, now, view)
            case Ok(entry):
                self._send_kept_answer(attempt, entry, now, view)
        return None

    def _join_or_submit(
        self,
        attempt: events.AttemptReceived,
        entry: ReservationEntry,
        now: Seconds,
        view: ClusterView,
    ) -> Refusal | None:
        held = self.dispatcher.table.by_sequence.get(entry.sequence)
        if held is None:
            return self._submit(attempt, entry, now, view)
        submitter = Submitter(attempt.peer, attempt.attempt)
        self.dispatcher.table.attach(held, submitter)
        self.outbox.log(
            'attach',
            submitter,
            held.logged_tenant,
            self.load(now),
        )
        self._drop_body(attempt)
        return None

    def _submit(
        self,
        attempt: events.AttemptReceived,
        entry: ReservationEntry | None,
        now: Seconds,
        view: ClusterView,
    ) -> Refusal | None:
        refusal = self.gate.refuse_work(view, self.dispatcher.backend, now)
        if refusal is not None:
            return refusal
        config = view.service(attempt.service)
        if entry is None and config is not None and not config.idempotent:
            return Refusal(
                Reason.RESERVATION_REQUIRED,
                outcome=Outcome.INVALID,
            )
        work: Work = self.gate.make_work(attempt, view, now)
        work.sequence = None if entry is None else entry.sequence
        self.dispatcher.submit(work, now)
        return None

    def _send_kept_answer(
        self,
        attempt: events.AttemptReceived,
        entry: ReservationEntry,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        if entry.answer is None:
            return
        self._drop_body(attempt)
        submitter = Submitter(attempt.peer, attempt.attempt)
        tenant = self.gate.logged_tenant(attempt.tenant, view)
        self.outbox.log('kept-answer', submitter, tenant, self.load(now))
        self.outbox.add(
            actions.SendKeptAnswer(
                peer=attempt.peer,
                attempt=attempt.attempt,
                sequence=entry.sequence,
                status=entry.answer.status,
                load=self.load(now),
            ),
        )

    def _reserve(
        self,
        request: events.ReservationReceived,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        refusal = self.gate.refuse_request(
            request,
            view,
        ) or self.gate.refuse_work(view, self.dispatcher.backend, now)
        if refusal is None and request.limits.remaining_s <= 0:
            refusal = Refusal(Reason.DEADLINE)
        if refusal is None:
            refusal = self._issue(request, now, view)
        if refusal is not None:
            self._refuse(request, refusal, now, view)

    def _issue(
        self,
        request: events.ReservationReceived,
        now: Seconds,
        view: ClusterView,
    ) -> Refusal | None:
        token = self.reservations.issue(request.service, request.tenant, now)
        if token is None:
            wait_s = self.reservations.next_expiry - now
            longest_s = self.settings.reservations.valid_s
            return Refusal(Reason.OVERLOADED, min(wait_s, longest_s))
        submitter = Submitter(request.peer, request.attempt)
        tenant = self.gate.logged_tenant(request.tenant, view)
        self.outbox.log('reserve', submitter, tenant, self.load(now))
        self.outbox.add(
            actions.SendToken(
                peer=request.peer,
                attempt=request.attempt,
                token=token,
                load=self.load(now),
            ),
        )
        return None

    def _refuse(
        self,
        request: Request,
        refusal: Refusal,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        if isinstance(request, events.AttemptReceived):
            self._drop_body(request)
        tenant: TenantId | None = self.gate.logged_tenant(request.tenant, view)
        submitter = Submitter(request.peer, request.attempt)
        self.outbox.refuse(submitter, refusal, tenant, self.load(now))

    def _drop_body(self, attempt: events.AttemptReceived) -> None:
        self.outbox.drop_body(Submitter(attempt.peer, attempt.attempt))
