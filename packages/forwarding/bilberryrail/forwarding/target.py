"""Target role: runs requests at the backend server beside this node."""

import itertools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, Protocol

from bilberryrail.core.ids import AttemptId, NodeId, Seconds, ServiceId
from bilberryrail.forwarding.admission import Admission
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.bounds import MAX_DURATION_S
from bilberryrail.forwarding.coalescing_timer import CoalescingTimer
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.load_report import Notice, NoticeSource
from bilberryrail.forwarding.messages import (
    Answered,
    Failed,
    Forward,
    Refused,
)
from bilberryrail.forwarding.paused_work import PausedWork
from bilberryrail.forwarding.quarantine import Quarantine
from bilberryrail.forwarding.records import (
    BackendLoad,
    BackendRun,
    Failure,
    HttpAnswer,
    InstanceId,
    Refusal,
)
from bilberryrail.forwarding.settings import ForwardingSettings
from bilberryrail.forwarding.target_capacity import TargetCapacity
from bilberryrail.forwarding.work_queue import Origin, Work, WorkQueue

#: Retry time in refusals whose cause has no known end, in seconds.
UNKNOWN_WAIT_S: Final = 0.25

#: Share of a request's expected duration that must remain until its deadline
#: for the request to be sent.
_MIN_SHARE_LEFT: Final = 0.5

#: Interval at which the queue is processed again while its first request cannot
#: be sent, in seconds. The end of a running request processes the queue at
#: once; the timer covers other changes, such as the end of a cold period.
_QUEUE_CHECK_INTERVAL_S: Final = 0.05

Reply = Answered | Refused | Failed


class TargetPort(Protocol):
    """Input and output that the target role needs from its node."""

    def dispatch(self, work: Work, instance: InstanceId) -> None:
        """Send a request to the backend server."""

    def abort(self, work: Work) -> None:
        """Close the connection on which a request runs."""

    def reply(self, node: NodeId, reply: Reply) -> None:
        """Send an outcome to the ingress node that sent the request."""

    def check_health(self) -> None:
        """Start a health check, whose result reports the host's slowdown."""


class Target:
    """Admits, queues or refuses requests for the backend server.

    Every request to the backend server passes through its target. The target
    therefore knows what it has sent, and no other part may report that a
    request has not run.

    Parameters
    ----------
    clock
        The reactor or a test clock, for the time and for timers.
    quarantine
        Decides which requests may be sent.

    Attributes
    ----------
    queue
        Requests that wait for a free slot.
    paused
        Requests that wait because the backend server's host is slow, or may be.
    capacity
        Decides whether another request can run.
    by_origin
        Requests that are queued, paused or in flight, by sender and attempt.
    in_flight
        Requests that were sent to the backend server, by number.
    on_decision
        Called with the event, the request and fields for the decision log.
    on_notice
        Called with the notice, the run and the source when the backend server
        states something new about itself.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Any,
        backend: Backend,
        port: TargetPort,
        quarantine: Quarantine,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.backend = backend
        self.port = port
        self.quarantine = quarantine
        self.queue = WorkQueue()
        self.paused = PausedWork(clock, port.check_health, self.process_queue)
        self.capacity = TargetCapacity(backend)
        self.admission = Admission(
            settings.admission, self.capacity, self.queue
        )
        self.by_origin: dict[Origin, Work] = {}
        self.in_flight: dict[int, Work] = {}
        self.on_decision: Callable[..., None] = _ignore
        self.on_notice: Callable[[Notice, BackendRun, NoticeSource], None] = (
            _ignore_notice
        )
        self._numbers = itertools.count(1)
        self.queue_timer = CoalescingTimer(
            clock, _QUEUE_CHECK_INTERVAL_S, self.process_queue
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is queued, paused or in flight."""
        return not self.by_origin

    def load(self) -> BackendLoad:
        """Return the load that is reported to other nodes."""
        waiting = len(self.queue) + len(self.paused)
        return self.capacity.load(self._now(), waiting)

    def offer(self, node: NodeId, message: Forward) -> None:
        """Admit, queue, pause or refuse a request from an ingress node.

        A request that is already known is ignored.
        """
        now = self._now()
        origin = Origin(node, message.attempt)
        if origin in self.by_origin:
            return
        work = Work(
            number=next(self._numbers),
            origin=origin,
            message=message,
            arrived_at=now,
            expires_at=Seconds(now + message.remaining_s),
        )
        reason = self.capacity.refusal_reason(now)
        denial = _denial(work, self.quarantine.ledger, self.backend.service)
        if denial is not None:
            self._refuse(work, *denial)
            return
        if reason is not None:
            self._refuse(work, reason, UNKNOWN_WAIT_S)
            return
        self.by_origin[origin] = work
        self._admit(work, now)

    def cancel(self, node: NodeId, attempt: AttemptId) -> None:
        """Cancel a request whose ingress no longer waits for the answer."""
        work = self.by_origin.get(Origin(node, attempt))
        if work is not None:
            self._drop(work)
            self.process_queue()

    def peer_lost(self, node: NodeId) -> None:
        """Cancel all requests of a node whose link is lost."""
        for work in tuple(self.by_origin.values()):
            if work.origin.node == node:
                self._drop(work)
        self.process_queue()

    def answered(self, work: Work, answer: HttpAnswer) -> None:
        """Pass the backend server's complete answer on to the ingress."""
        now = self._now()
        if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.backend.request_answered(work.number, now)
            self.quarantine.answered(work.message.fingerprint)
        else:
            self.backend.errors.failed(now)
        self.backend.crashes.responded(now)
        request = self.backend.running.get(work.number)
        ran_s = now - request.sent_at if request else 0
        self.on_decision(
            'answered',
            work,
            status=answer.status,
            ran_s=round(ran_s, 4),
            slowdown=round(self.backend.slowdown(now), 2),
        )
        self._remove(work)
        reply = Answered(
            work.origin.attempt,
            answer,
            self.load(),
            min(
                self.backend.service_time.usual_s(work.message.route),
                MAX_DURATION_S,
            ),
        )
        self.port.reply(work.origin.node, reply)
        self.process_queue()

    def failed(self, work: Work, reason: Failure) -> None:
        """Report a request that may have run and has no answer."""
        now = self._now()
        self.backend.errors.failed(now)
        self.backend.crashes.request_lost(work.number, now)
        self._remove(work)
        self.on_decision('failed', work, reason=reason.value)
        reply = Failed(work.origin.attempt, reason, self.load())
        self.port.reply(work.origin.node, reply)
        if reason is Failure.RESET:
            # Shows at once whether the backend server has ended.
            self.port.check_health()
        self.process_queue()

    def not_run(self, work: Work, reason: Refusal) -> None:
        """Report a request that the backend server did not run."""
        if reason is Refusal.CONNECT_FAILED:
            self.backend.down = True
        elif reason is Refusal.SHED:
            self.backend.errors.failed(self._now())
        self._remove(work)
        self._refuse(work, reason, UNKNOWN_WAIT_S)
        self.process_queue()

    def notice_received(
        self, notice: Notice, run: BackendRun, source: NoticeSource
    ) -> None:
        """Apply what a run of the backend server states about itself.

        A late answer of an earlier run is ignored.
        """
        present = self.backend.run
        is_present = present is not None and run.is_same_as(present)
        if not is_present or notice == self.backend.statements.notice:
            return
        self.backend.statements.noticed(notice, self._now())
        if notice.is_leaving:
            self.backend.instance_left(run.instance)
        self.on_notice(notice, run, source)

    def process_queue(self) -> None:
        """Send queued requests while slots are free; refuse expired ones.

        It is called whenever capacity, availability or the quarantine may have
        changed. If this target no longer accepts requests, it refuses all that
        are queued or paused.
        """
        now = self._now()
        ledger = self.quarantine.ledger
        for waiting in (*self.queue, *self.paused.work):
            denial = _denial(waiting, ledger, self.backend.service)
            if denial is not None:
                self.queue.cancel(waiting)
                self.paused.cancel(waiting)
                self._refuse(waiting, *denial)
        reason = self.capacity.refusal_reason(now)
        if reason is not None:
            for work in (*self.queue, *self.paused.release_all()):
                self.queue.cancel(work)
                self._refuse(work, reason, UNKNOWN_WAIT_S)
            return
        for resumed in self.paused.release_all():
            self._admit(resumed, now)
        for late in self.admission.expire_late(now):
            self._refuse(late, Refusal.LATE, self.admission.wait_s(late, now))
        next_work = self.queue.peek()
        while next_work is not None:
            if not self._try_start_next(next_work, now):
                self.queue_timer.start()
                return
            next_work = self.queue.peek()

    def _now(self) -> Seconds:
        return Seconds(self.clock.seconds())

    def _admit(self, work: Work, now: Seconds) -> None:
        """Send, pause, queue or refuse a request."""
        if len(self.queue) or not self.capacity.is_free(now):
            self._enqueue(work, now)
        elif self.admission.is_too_slow(work, now):
            self._refuse(work, Refusal.SLOW, 0)
        else:
            self._send_or_pause(work, now)

    def _send_or_pause(self, work: Work, now: Seconds) -> None:
        """Send a request, or pause it while the host is slow."""
        if not self.admission.is_better_paused(work, now):
            self._send(work, now)
            return
        if work.paused_at is None:
            work.paused_at = now
            slowdown = self.backend.service_time.reported_slowdown
            self.on_decision(
                'pause',
                work,
                slowdown=round(slowdown.current(now), 2),
                age_s=round(slowdown.age_s(now), 3),
                episode_s=round(slowdown.episode_s, 3),
            )
        self.paused.add(work)

    def _enqueue(self, work: Work, now: Seconds) -> None:
        """Queue a request, or refuse it if it would wait too long."""
        decision = self.admission.decide(work, now)
        if decision.refusal is not None:
            self._refuse(work, decision.refusal, decision.wait_s)
            return
        self.queue.push(work)
        self.on_decision(
            'queue',
            work,
            wait_s=round(decision.wait_s, 4),
            late=work.is_late,
        )
        self.queue_timer.start()

    def _try_start_next(self, work: Work, now: Seconds) -> bool:
        """Send or refuse the first queued request.

        Returns whether the request has left the queue.
        """
        min_left_s = self.admission.run_s(work, now) * _MIN_SHARE_LEFT
        if now + min_left_s > work.expires_at:
            self.queue.pop()
            self._refuse(work, Refusal.DEADLINE, UNKNOWN_WAIT_S)
            return True
        if not self.capacity.is_free(now):
            return False
        self.queue.pop()
        self._send_or_pause(work, now)
        return True

    def _send(self, work: Work, now: Seconds) -> None:
        instance = self.backend.instance
        if instance is None:
            self._refuse(work, Refusal.NO_BACKEND, UNKNOWN_WAIT_S)
            return
        self.in_flight[work.number] = work
        work.run = self.backend.run
        self.backend.request_started(
            work.number, work.message.route, now, work.message.fingerprint
        )
        self.on_decision(
            'dispatch',
            work,
            instance=instance,
            content=work.message.fingerprint.hex(),
            waited_s=round(now - work.arrived_at, 4),
            running=len(self.backend.running),
            limit=self.backend.limit(),
            slowdown=round(self.backend.slowdown(now), 2),
        )
        self.port.dispatch(work, instance)

    def _drop(self, work: Work) -> None:
        if work.number in self.in_flight:
            self.backend.crashes.request_lost(work.number, self._now())
            self._remove(work)
            self.port.abort(work)
        else:
            self.queue.cancel(work)
            self.paused.cancel(work)
            self.by_origin.pop(work.origin, None)

    def _remove(self, work: Work) -> None:
        self.in_flight.pop(work.number, None)
        self.by_origin.pop(work.origin, None)
        self.backend.request_ended(work.number)

    def _refuse(
        self,
        work: Work,
        reason: Refusal,
        retry_after_s: float,
    ) -> None:
        self.by_origin.pop(work.origin, None)
        self.on_decision(
            'refuse',
            work,
            reason=reason.value,
            wanted=work.message.service,
            service=self.backend.service,
        )
        reply = Refused(
            work.origin.attempt,
            reason,
            min(max(0, retry_after_s), MAX_DURATION_S),
            self.load(),
        )
        self.port.reply(work.origin.node, reply)


def _denial(
    work: Work, ledger: CrashLedger, service: ServiceId | None
) -> tuple[Refusal, float] | None:
    """Return why a request must not run here and its retry time, if it must not.

    It is quarantined, or the backend server is of another service than the
    ingress node knows: the address of a backend server that has ended may be
    given to one of another service.

    Parameters
    ----------
    service
        Service of the backend server; None if it is not known.
    """
    quarantined_s = _quarantined_s(work, ledger)
    if quarantined_s:
        return Refusal.QUARANTINED, quarantined_s
    wanted = work.message.service
    if wanted and service is not None and wanted != service:
        return Refusal.NO_BACKEND, UNKNOWN_WAIT_S
    return None


def _quarantined_s(work: Work, ledger: CrashLedger) -> float:
    """Return how long a request must not be sent; zero if it may be."""
    fingerprint = work.message.fingerprint
    if work.message.is_trial or not ledger.is_quarantined(fingerprint):
        return 0
    return ledger.remaining_s(fingerprint)


def _ignore(event: str, work: Work, **fields: object) -> None:
    """Discard a decision; used until a log is attached."""


def _ignore_notice(
    notice: Notice, run: BackendRun, source: NoticeSource
) -> None:
    """Discard a notice; used until a log is attached."""
