"""Queueing, dispatch and completion of the calls that a target accepted."""

import itertools
import random
from typing import Final

from bilberryrail.core.ids import CallId, Seconds
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy import actions
from bilberryrail.policy.admission import Refusal
from bilberryrail.policy.capacity import Capacity
from bilberryrail.policy.events import (
    BackendAnswered,
    BackendFailed,
    DispatchId,
)
from bilberryrail.policy.ledger import Ledger
from bilberryrail.policy.outbox import Outbox
from bilberryrail.policy.reservations import ReservationTable
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.work import Submitter, Work

#: Size in bits of the random number at which dispatch ids start. It is random
#: so that a parent id from before a restart of the node does not match a new
#: dispatch.
_DISPATCH_BITS: Final = 52


class Dispatcher:
    """Manages queued and running calls and their reservations.

    Attributes
    ----------
    capacity
        Holds the queue, the running calls and the state of the backend
        server.
    cancelled_nested
        Nested calls to cancel that the engine has not collected yet.
    """

    def __init__(
        self,
        settings: EngineSettings,
        ledger: Ledger,
        reservations: ReservationTable,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.ledger = ledger
        self.reservations = reservations
        self.capacity = Capacity(settings.admission)
        self.table = self.capacity.table
        self.queue = self.capacity.queue
        self.backend = self.capacity.backend
        self.outbox = Outbox()
        self.cancelled_nested: list[CallId] = []
        self._ids = itertools.count(rng.getrandbits(_DISPATCH_BITS))

    def submit(self, work: Work, now: Seconds) -> None:
        """Dispatch, queue or refuse new work."""
        self.table.attach(work, work.source)
        if self.capacity.is_deadline_unreachable(work, now):
            self.refuse_work(work, self.capacity.deadline_refusal(now), now)
        elif not len(self.queue) and self.capacity.has_slot(now):
            self._dispatch(work, now)
        else:
            self._enqueue(work, now)

    def dispatch_waiting(self, now: Seconds) -> None:
        """Refuse calls past their deadline and dispatch waiting calls."""
        for late in self.queue.expire(now):
            self.refuse_work(late, self.capacity.deadline_refusal(now), now)
        self.backend.check_stall(self.table, self.capacity.limits, now)
        while len(self.queue) and self.capacity.has_slot(now):
            work = self.queue.pop(self.table.tenants)
            if work is not None:
                self._dispatch(work, now)
        self._drop_answers()

    def refuse_all_waiting(self, refusal: Refusal, now: Seconds) -> None:
        """Refuse all waiting calls."""
        for work in self.queue.clear():
            self.refuse_work(work, refusal, now)

    def refuse_waiting(
        self, work: Work, refusal: Refusal, now: Seconds
    ) -> None:
        """Refuse one waiting call."""
        self.queue.remove(work)
        self.refuse_work(work, refusal, now)

    def refuse_work(self, work: Work, refusal: Refusal, now: Seconds) -> None:
        """Refuse all attempts of a call that was not dispatched."""
        self.outbox.drop_body(work.source)
        for submitter in self.table.finish(work):
            self.outbox.refuse(
                submitter,
                refusal,
                work.logged_tenant,
                self.capacity.load(now),
            )

    def cancel(self, submitter: Submitter, *, abort: bool = True) -> None:
        """Forget an attempt, and cancel its call if no other attempt waits.

        A running call with a reservation continues, because its answer is
        kept for the reservation. If ``abort`` is false, no call is cancelled.
        """
        work = self.table.detach(submitter)
        if work is None or work.submitters or not abort:
            return
        if self.queue.remove(work):
            self.table.finish(work)
            self.outbox.drop_body(work.source)
        elif work.sequence is None and work.dispatch is not None:
            work.aborted = True
            self.outbox.add(actions.AbortDispatch(work.dispatch))
            self.cancelled_nested += self.ledger.close(work.dispatch)

    def answered(self, event: BackendAnswered, now: Seconds) -> None:
        """Send an answer to every attempt that waits for it."""
        work = self.table.running.get(event.dispatch)
        if work is None:
            return
        if not work.aborted:
            self.backend.answered(
                work,
                self.table,
                event.status,
                self.capacity.limits,
                now,
            )
        waiting = self._finish(work)
        self._keep_answer(work, event, now)
        load = self.capacity.load(now)
        for submitter in waiting:
            self.outbox.add(
                actions.SendAnswer(
                    peer=submitter.peer,
                    attempt=submitter.attempt,
                    dispatch=event.dispatch,
                    status=event.status,
                    load=load,
                ),
            )

    def failed(self, event: BackendFailed, now: Seconds) -> None:
        """Report a failed dispatch to every attempt that waits for it."""
        work = self.table.running.get(event.dispatch)
        if work is None:
            return
        self._record_failure(work, event, now)
        waiting = self._finish(work)
        if work.sequence is not None:
            self.reservations.fail(
                work.sequence,
                started=event.started,
                now=now,
            )
        refusal = self._failure(event)
        for submitter in waiting:
            self.outbox.refuse(
                submitter,
                refusal,
                work.logged_tenant,
                self.capacity.load(now),
            )

    def _enqueue(self, work: Work, now: Seconds) -> None:
        counters = self.outbox.counters
        counters.cold_limited += self.capacity.is_cold_limited(now)
        out = self.capacity.enqueue(work)
        counters.queued += out is not work
        if out is not None:
            self.refuse_work(out, self.capacity.capacity_refusal(now), now)

    def _dispatch(self, work: Work, now: Seconds) -> None:
        sequence = work.sequence
        if sequence is not None and not self.reservations.start(sequence, now):
            refusal = Refusal(Reason.RESERVATION_EXPIRED)
            self.refuse_work(work, refusal, now)
            return
        dispatch = DispatchId(next(self._ids))
        self.table.start(work, dispatch, now)
        self.outbox.counters.admitted += 1
        self.ledger.open(
            dispatch,
            work.remaining_limits(now),
            work.tenant,
            now,
        )
        self.outbox.log(
            'dispatch',
            work.source,
            work.logged_tenant,
            self.capacity.load(now),
        )
        self.outbox.add(
            actions.Dispatch(
                dispatch=dispatch,
                peer=work.source.peer,
                attempt=work.source.attempt,
                remaining_s=work.deadline - now,
            ),
        )

    def _finish(self, work: Work) -> tuple[Submitter, ...]:
        if work.dispatch is not None:
            self.cancelled_nested += self.ledger.close(work.dispatch)
        return self.table.finish(work)

    def _keep_answer(
        self,
        work: Work,
        event: BackendAnswered,
        now: Seconds,
    ) -> None:
        if work.sequence is None:
            return
        is_kept = self.reservations.complete(
            work.sequence,
            event.status,
            event.size,
            now,
        )
        # Older answers are dropped before the new one is kept, so that the
        # limit on the size of kept answers holds at all times.
        self._drop_answers()
        if is_kept:
            kept = actions.KeepAnswer(work.sequence, event.dispatch)
            self.outbox.add(kept)

    def _drop_answers(self) -> None:
        dropped = self.reservations.dropped
        for sequence in dropped:
            self.outbox.add(actions.DropAnswer(sequence))
        dropped.clear()

    def _record_failure(
        self,
        work: Work,
        event: BackendFailed,
        now: Seconds,
    ) -> None:
        if work.aborted:
            # The failure may be caused by the cancellation.
            return
        if not event.started:
            self.backend.connection_failed(now)
        else:
            self.backend.call_failed(now)

    def _failure(self, event: BackendFailed) -> Refusal:
        interval_s = self.settings.admission.health_interval_s
        if event.started:
            return Refusal(
                Reason.BACKEND_FAILED,
                interval_s,
                Outcome.UNKNOWN,
            )
        return Refusal(Reason.BACKEND_DOWN, interval_s)
