"""Ingress role: handles a client's request until it is answered once."""

import itertools
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Any, Final, Protocol

from bilberryrail.core.ids import AttemptId, NodeId, RegionId, Seconds
from bilberryrail.forwarding.bounds import MAX_DURATION_S
from bilberryrail.forwarding.exchanges import (
    Attempt,
    AttemptTable,
    Exchange,
)
from bilberryrail.forwarding.hedging import Hedging
from bilberryrail.forwarding.messages import (
    Answered,
    Cancel,
    Failed,
    Forward,
    Refused,
)
from bilberryrail.forwarding.own_answers import (
    refusal_answer,
    replace_misleading,
)
from bilberryrail.forwarding.quarantine import Permission, Quarantine
from bilberryrail.forwarding.records import (
    REACHED_BACKEND,
    BackendLoad,
    Failure,
    HttpAnswer,
    Refusal,
)
from bilberryrail.forwarding.retry_budget import RetryBudget
from bilberryrail.forwarding.selection import (
    CandidateTable,
    Choice,
    Demand,
)
from bilberryrail.forwarding.settings import ForwardingSettings

#: Multiple of the next best target's expected time above which a target refuses
#: the request so that it goes to another one. Sending it again costs a round
#: trip and the transfer of the body, so a small advantage is not worth it.
MAX_ANSWER_FACTOR: Final = 1.5

#: Number of busy targets after which a request waits at the next one, because
#: each refusal costs a round trip.
_MAX_BUSY_REFUSALS: Final = 2

#: Number of targets that may refuse a request as late before it is answered
#: with a refusal. They are the best targets known, so others would hardly be
#: faster.
_MAX_LATE_REFUSALS: Final = 3

#: Refusals that show a lack of capacity.
_OVERLOADED: Final = frozenset((Refusal.BUSY, Refusal.SLOW, Refusal.LATE))

#: Refusals after which a request may be sent to the same target again, to wait
#: there.
_WAIT_ALLOWED: Final = frozenset((Refusal.BUSY, Refusal.SLOW))


class TargetLinks(Protocol):
    """Sends messages to targets, through links or within this node."""

    def send(self, node: NodeId, message: Forward | Cancel) -> None:
        """Send a message.

        If a request cannot be sent, the ingress receives a refusal for it.
        """


class Ingress:
    """Sends clients' requests to targets and answers the clients.

    Parameters
    ----------
    clock
        The reactor or a test clock, for the time and for timers.
    random
        Random numbers for the jitter of retry times.
    candidates
        Targets that requests can be sent to.
    links
        Sends messages to targets.
    quarantine
        Decides which requests may be sent.

    Attributes
    ----------
    exchanges
        Requests that have not been answered.
    on_decision
        Called with the event, the exchange and fields for the decision log.
    on_finished
        Called with each answered exchange and its status, for the metrics.
    """

    def __init__(
        self,
        settings: ForwardingSettings,
        clock: Any,
        random: Random,
        candidates: CandidateTable,
        links: TargetLinks,
        quarantine: Quarantine,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.candidates = candidates
        self.links = links
        self.quarantine = quarantine
        self.retry_budget = RetryBudget(settings.repeats)
        self.exchanges: set[Exchange] = set()
        self.attempts = AttemptTable(candidates)
        self.hedging = Hedging(
            settings.hedge, clock, candidates, self._send_hedge
        )
        self.on_decision: Callable[..., None] = _ignore
        self.on_finished: Callable[[Exchange, int], None] = _ignore_end
        self._ids = itertools.count(1)

    @property
    def is_idle(self) -> bool:
        """Whether no request waits for its answer."""
        return not self.exchanges

    def serve(self, exchange: Exchange) -> None:
        """Start to serve a request, or refuse it if it is quarantined."""
        self.exchanges.add(exchange)
        permission = self.quarantine.admit(exchange.fingerprint)
        if permission is Permission.QUARANTINED:
            self._refuse_quarantined(exchange)
            return
        exchange.is_trial = permission is Permission.TRIAL
        self.retry_budget.deposit(exchange.service)
        left_s = max(0, exchange.expires_at - self._now())
        expiry = self.clock.callLater(left_s, self.expire, exchange)
        exchange.timers.append(expiry)
        self._send_to_best(exchange, is_retry=False)

    def abandon(self, exchange: Exchange) -> None:
        """Cancel a request whose client has disconnected."""
        if not exchange.is_over:
            self.on_decision('abandoned', exchange)
            self._close(exchange)

    def refused(self, node: NodeId, reply: Refused) -> None:
        """Try another target, because this one has not run the request."""
        now = self._now()
        self.load_reported(node, reply.load)
        attempt = self.attempts.end(node, reply.attempt)
        if reply.reason in {Refusal.LINK_DOWN, Refusal.CONNECT_FAILED}:
            self.candidates.avoid(node, now)
        if attempt is None:
            return
        exchange = attempt.exchange
        _exclude(exchange, node, reply.reason)
        if reply.reason in _OVERLOADED:
            self.candidates.overload_reported(node, now)
        if reply.reason in REACHED_BACKEND:
            exchange.reached.add(node)
        exchange.retry_after_s = max(
            exchange.retry_after_s,
            reply.retry_after_s,
        )
        self.on_decision(
            'refused',
            exchange,
            target=node,
            reason=reply.reason.value,
        )
        if exchange.attempts:
            return
        if reply.reason is Refusal.QUARANTINED:
            self._refuse_quarantined(exchange)
            return
        if exchange.late_refusals >= _MAX_LATE_REFUSALS:
            self._give_up(exchange, 'late')
            return
        is_retry = bool(exchange.reached)
        if is_retry and not self._withdraw_retry(exchange):
            self._give_up(exchange, 'no-repeat-left')
            return
        self._send_to_best(exchange, is_retry=is_retry)

    def answered(self, node: NodeId, reply: Answered) -> None:
        """Answer the client, or retry if the answer is a server error."""
        self.load_reported(node, reply.load)
        attempt = self.attempts.end(node, reply.attempt)
        if attempt is None:
            return
        exchange = attempt.exchange
        self.candidates.estimates.route_time_reported(
            exchange.route.route, reply.usual_s
        )
        exchange.reached.add(node)
        answer = replace_misleading(reply.answer)
        status = answer.status
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self.quarantine.answered(exchange.fingerprint)
        is_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_error and exchange.route.idempotent:
            exchange.last_answer = answer
            if exchange.attempts:
                return
            if self._withdraw_retry(exchange):
                self._send_to_best(exchange, is_retry=True)
                return
        self._respond(exchange, answer, node)

    def failed(self, node: NodeId, reply: Failed) -> None:
        """Retry an idempotent request; otherwise report an unknown outcome."""
        now = self._now()
        self.load_reported(node, reply.load)
        if reply.reason is Failure.LINK_LOST:
            self.candidates.avoid(node, now)
        attempt = self.attempts.end(node, reply.attempt)
        if attempt is None:
            return
        exchange = attempt.exchange
        exchange.reached.add(node)
        exchange.may_have_run = True
        exchange.excluded.add(node)
        self.on_decision(
            'failed',
            exchange,
            target=node,
            reason=reply.reason.value,
        )
        if exchange.attempts:
            return
        if exchange.route.idempotent and self._withdraw_retry(exchange):
            self._send_to_best(exchange, is_retry=True)
        else:
            self._give_up(exchange, reply.reason.value)

    def link_lost(self, node: NodeId, *, may_recover: bool = False) -> None:
        """Treat the requests at a node whose link is lost as failed.

        If the link may recover, requests that must not be repeated wait for
        their outcome, and the others are cancelled.
        """
        for attempt in self.attempts.at(node):
            if may_recover and not attempt.exchange.route.idempotent:
                continue
            if may_recover:
                self.links.send(node, Cancel(attempt.attempt))
            failure = Failed(attempt.attempt, Failure.LINK_LOST, None)
            self.failed(node, failure)

    def expire(self, exchange: Exchange) -> None:
        """Answer at the deadline, the route's time limit or the node's end."""
        if exchange.is_over:
            return
        if exchange.attempts:
            exchange.may_have_run = True
            for attempt in exchange.attempts.values():
                self.candidates.avoid(attempt.node, self._now())
        self._give_up(exchange, 'timeout', HTTPStatus.GATEWAY_TIMEOUT)

    def load_reported(self, node: NodeId, load: BackendLoad | None) -> None:
        """Apply a load report.

        Outcomes that this node creates itself, for example when a link is lost,
        have none.
        """
        if load is not None:
            self.candidates.load_reported(node, load, self._now())

    def _now(self) -> Seconds:
        return Seconds(self.clock.seconds())

    def _send_to_best(self, exchange: Exchange, *, is_retry: bool) -> None:
        """Send the request to the best available target."""
        now = self._now()
        choice = self._choose(exchange, now)
        if choice is None:
            self.on_decision(
                'no_target',
                exchange,
                version=exchange.version,
                known=len(self.candidates.by_service.get(exchange.service, ())),
                excluded=len(exchange.excluded),
                zones_out=','.join(sorted(self.candidates.zones_out)),
            )
            self._give_up(exchange, 'no-target')
            return
        self._send(exchange, choice, now, is_retry=is_retry)

    def _choose(self, exchange: Exchange, now: Seconds) -> Choice | None:
        demand = Demand(
            exchange.service,
            exchange.route.route,
            exchange.route.home_regions,
            exchange.target_latency_left_s(now),
        )
        return self.candidates.choose(
            demand,
            exchange.excluded,
            exchange.busy,
            now,
        )

    def _send(
        self,
        exchange: Exchange,
        choice: Choice,
        now: Seconds,
        *,
        is_retry: bool,
    ) -> None:
        node = choice.candidate.peer.node
        attempt = Attempt(
            attempt=AttemptId(next(self._ids)),
            exchange=exchange,
            node=node,
            sent_at=now,
        )
        self.attempts.start(attempt, choice.candidate)
        exchange.excluded.add(node)
        self.on_decision(
            'send',
            exchange,
            target=node,
            why=choice.reason,
            version=exchange.version,
            repeat=is_retry,
            content=exchange.fingerprint.hex(),
            expected_s=round(choice.expected_s, 4),
            aim_left_s=round(exchange.target_latency_left_s(now), 3),
            report_age_s=round(now - choice.candidate.load_at, 3),
        )
        self.hedging.schedule(exchange, choice, now)
        message = Forward(
            attempt=attempt.attempt,
            request_id=exchange.request_id,
            route=exchange.route.route,
            request=exchange.request,
            remaining_s=max(0, exchange.expires_at - now),
            target_latency_left_s=exchange.target_latency_left_s(now),
            max_answer_s=_max_answer_s(exchange, choice, self.settings.region),
            priority=exchange.route.priority,
            idempotent=exchange.route.idempotent,
            fingerprint=exchange.fingerprint,
            is_trial=exchange.is_trial,
            service=exchange.service,
        )
        self.links.send(node, message)

    def _send_hedge(
        self,
        exchange: Exchange,
        is_worthwhile: Callable[[Choice], bool],
    ) -> None:
        """Send a hedged request to another target if that is worthwhile."""
        now = self._now()
        choice = self._choose(exchange, now)
        if choice is None or choice.candidate.is_closed(now):
            return
        if not is_worthwhile(choice):
            return
        exchange.reached.update(
            attempt.node for attempt in exchange.attempts.values()
        )
        if self._withdraw_retry(exchange):
            self._send(exchange, choice, now, is_retry=True)

    def _withdraw_retry(self, exchange: Exchange) -> bool:
        """Withdraw one retry; return whether the request may be sent again.

        It may not if the route's attempts or the retry budget are used up, or
        if it may have crashed a backend server before.
        """
        if self.quarantine.is_suspect(exchange.fingerprint):
            return False
        if len(exchange.reached) >= exchange.route.max_attempts:
            return False
        return self.retry_budget.try_withdraw(exchange.service, self._now())

    def _refuse_quarantined(self, exchange: Exchange) -> None:
        """Refuse a request that crashes backend servers."""
        ledger = self.quarantine.ledger
        self.on_decision(
            'quarantined',
            exchange,
            content=exchange.fingerprint.hex(),
            crashes=ledger.crash_count(exchange.fingerprint),
        )
        exchange.retry_after_s = max(
            exchange.retry_after_s,
            ledger.remaining_s(exchange.fingerprint),
        )
        self._give_up(exchange, 'quarantined')

    def _give_up(
        self,
        exchange: Exchange,
        reason: str,
        unknown_status: int = HTTPStatus.BAD_GATEWAY,
    ) -> None:
        """Answer a request that is not served.

        The answer is an error of a backend server if there is one. Otherwise
        its status says whether the request may have run.
        """
        if exchange.last_answer is not None:
            self._respond(exchange, exchange.last_answer, reason)
        elif exchange.may_have_run:
            answer = HttpAnswer(unknown_status, is_own=True)
            self._respond(exchange, answer, reason)
        else:
            answer = refusal_answer(exchange.retry_after_s, self.random)
            self._respond(exchange, answer, reason)

    def _respond(
        self,
        exchange: Exchange,
        answer: HttpAnswer,
        why: str,
    ) -> None:
        self.on_decision(
            'answer',
            exchange,
            status=int(answer.status),
            why=why,
            took_s=round(self._now() - exchange.arrived_at, 4),
        )
        self.on_finished(exchange, int(answer.status))
        self._close(exchange)
        exchange.respond(answer)

    def _close(self, exchange: Exchange) -> None:
        exchange.is_over = True
        self.exchanges.discard(exchange)
        for timer in exchange.timers:
            if timer.active():
                timer.cancel()
        exchange.timers.clear()
        for attempt in tuple(exchange.attempts.values()):
            self.attempts.forget(attempt)
            self.links.send(attempt.node, Cancel(attempt.attempt))


def _max_answer_s(
    exchange: Exchange, choice: Choice, own_region: RegionId
) -> float:
    """Return the expected time above which the target refuses the request.

    Zero means that there is no limit, so the request waits at the target. That
    is so for targets in other regions: how loaded other targets there are is
    not known here, and each further attempt sends the body over the link between
    regions again.
    """
    is_far = choice.candidate.peer.region != own_region
    if is_far or len(exchange.busy) >= _MAX_BUSY_REFUSALS:
        return 0
    return min(choice.next_best_s * MAX_ANSWER_FACTOR, MAX_DURATION_S)


def _exclude(exchange: Exchange, node: NodeId, reason: Refusal) -> None:
    """Exclude a target for a request, unless the request may wait there."""
    if reason is Refusal.LATE:
        exchange.late_refusals += 1
    if reason in _WAIT_ALLOWED and node not in exchange.busy:
        exchange.busy.add(node)
        exchange.excluded.discard(node)
    else:
        exchange.excluded.add(node)


def _ignore(event: str, exchange: Exchange, **fields: object) -> None:
    """Discard a decision; used until a log is attached."""


def _ignore_end(exchange: Exchange, status: int) -> None:
    """Discard a finished exchange; used until metrics are attached."""
