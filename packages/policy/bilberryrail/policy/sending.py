"""Sends the attempts and probes of an ingress and tracks their state."""

from enum import Enum
from random import Random
from typing import Final

from bilberryrail.control.messages import LogEvent, OpenLink
from bilberryrail.core.ids import AttemptId, NodeId, Seconds
from bilberryrail.core.records import Member
from bilberryrail.policy.actions import (
    Action,
    SendAttempt,
    SendCancel,
    SendProbe,
    SendReservation,
)
from bilberryrail.policy.calls import (
    Attempt,
    Call,
    CallKind,
    CallTable,
    TimerKind,
)
from bilberryrail.policy.estimates import EstimateTable
from bilberryrail.policy.probing import Prober
from bilberryrail.policy.quantiles import LatencyQuantile
from bilberryrail.policy.retries import RetryPolicy
from bilberryrail.policy.routing import (
    CandidateIndex,
    Choice,
    Group,
    Router,
    RouteReason,
    RouteRequest,
)
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.view import ClusterView

_MS_PER_S: Final = 1000


class Trigger(Enum):
    """Why an attempt is sent.

    ``SILENCE`` is a hedge sent because the first target is silent.
    """

    FIRST = 'first'
    RETRY = 'retry'
    HEDGE = 'hedge'
    SILENCE = 'silence'


class Sender:
    """Sends attempts to targets and opens the links they need.

    Attributes
    ----------
    actions
        Actions not yet returned by ``IngressRole``.
    links
        Peers with a link; True once it is up, False while it is opening.
    needed_links
        Peers whose link was opened for calls and is kept open.
    """

    def __init__(
        self,
        settings: EngineSettings,
        random: Random,
        table: CallTable,
        retries: RetryPolicy,
    ) -> None:
        region = settings.identity.region
        self.settings = settings
        self.table = table
        self.retries = retries
        self.actions: list[Action] = []
        self.links: dict[NodeId, bool] = {settings.identity.node: True}
        self.needed_links: set[NodeId] = set()
        self.estimates = EstimateTable(settings.routing)
        self.index = CandidateIndex(region)
        self.router = Router(settings.routing, region, self.estimates, random)
        self.prober = Prober(settings.probes, self.estimates, random)
        self.quantiles: dict[str, LatencyQuantile] = {}
        self._last_attempt = 0

    def choose(
        self,
        call: Call,
        now: Seconds,
        view: ClusterView,
    ) -> Choice | None:
        """Choose a target that was not yet chosen for this call."""
        if call.pinned_node is not None:
            return self._choose_pinned(call, view)
        service = call.service
        request = RouteRequest(
            service=service,
            home_regions=call.home_regions,
            avoid=frozenset(call.tried_nodes),
            remaining_s=call.remaining_s(now),
            size=call.size,
            now=now,
        )
        return self.router.choose(
            request,
            self._group(call, view),
            self.prober.fresh(service.service, now),
        )

    def place(
        self,
        call: Call,
        choice: Choice,
        trigger: Trigger,
        now: Seconds,
        view: ClusterView,
    ) -> None:
        """Send a call to a chosen target, now or as soon as the link is up."""
        member = choice.member
        self._last_attempt += 1
        attempt = Attempt(
            attempt=AttemptId(self._last_attempt),
            call=call,
            member=member,
            retry_budget=self._retry_budget(call, now),
            charged=trigger is not Trigger.FIRST and call.may_have_started,
        )
        self._log_route(attempt, choice, trigger, now)
        self.table.add_attempt(attempt)
        self.estimates.sent(member.node, now)
        self.prober.used(member)
        self.router.charge(member, call.size, now)
        if self.open_link(member):
            self.send(attempt, now)
        self.probe(self._group(call, view), now)

    def send(self, attempt: Attempt, now: Seconds) -> None:
        """Send an attempt over a link that is up."""
        call = attempt.call
        attempt.sent_at = now
        # A call that waits for a link adds to the probe budget only when it
        # is sent.
        self.prober.call_sent()
        limits = call.limits(attempt.retry_budget, now)
        if call.kind is CallKind.RESERVATION:
            action: Action = SendReservation(
                peer=attempt.member.node,
                attempt=attempt.attempt,
                service=call.service.service,
                tenant=call.tenant,
                limits=limits,
            )
        else:
            action = SendAttempt(
                peer=attempt.member.node,
                attempt=attempt.attempt,
                call=call.call,
                service=call.service.service,
                tenant=call.tenant,
                limits=limits,
                token=call.token,
            )
            self._set_hedge(call, now)
        self.actions.append(action)

    def release(self, attempt: Attempt, *, ran: bool) -> None:
        """End an attempt and refund its retry budget if it did not run.

        The cost of a retry is refunded only if it was never sent.
        """
        self.table.remove_attempt(attempt)
        self.estimates.finished(attempt.member.node)
        if not ran:
            attempt.call.budget.refund(attempt.retry_budget)
        if attempt.charged and attempt.sent_at is None:
            self.retries.refund(attempt.call.budget)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt, also at its target if it was sent."""
        self.release(attempt, ran=attempt.sent_at is not None)
        if attempt.sent_at is not None:
            self.actions.append(
                SendCancel(attempt.member.node, attempt.attempt),
            )

    def answered(self, attempt: Attempt, size: int, now: Seconds) -> None:
        """Update the estimates and quantiles after an answer."""
        latency_s = now - (attempt.sent_at or now)
        service = attempt.call.service.service
        self.estimates.answered(attempt.member.node, latency_s, now)
        self.router.charge(attempt.member, size, now)
        if service not in self.quantiles:
            self.quantiles[service] = LatencyQuantile(
                self.settings.retries.hedge_quantile,
            )
        self.quantiles[service].add(latency_s)

    def open_link(self, member: Member) -> bool:
        """Open a link if there is none; return whether it is up."""
        self.needed_links.add(member.node)
        if member.node not in self.links:
            self.links[member.node] = False
            self.actions.append(
                OpenLink(member.node, member.host, member.port),
            )
        return self.links[member.node]

    def probe(self, group: Group, now: Seconds) -> None:
        """Probe the most urgent candidate if the budget allows it."""
        if self.prober.can_probe(now):
            member = self.prober.pick(group, now)
            if member is not None:
                self._send_probe(member, now)

    def probe_suspect(self, now: Seconds, view: ClusterView) -> None:
        """Probe a suspected candidate whose backoff has ended."""
        if not self.estimates.suspects or not self.prober.can_probe(now):
            return
        node = self.prober.due_suspect(now)
        member = None if node is None else view.member(node)
        if member is not None:
            self._send_probe(member, now)

    def _send_probe(self, member: Member, now: Seconds) -> None:
        if self.open_link(member):
            number = self.prober.start(member, now)
            self.actions.append(SendProbe(member.node, number))
        elif self.estimates.of(member.node).is_suspected:
            self.estimates.suspect(member.node, now)

    def _group(self, call: Call, view: ClusterView) -> Group:
        return self.index.group(
            call.service.service,
            call.home_regions,
            view,
        )

    def _choose_pinned(self, call: Call, view: ClusterView) -> Choice | None:
        if call.pinned_node is None or call.pinned_node in call.tried_nodes:
            return None
        member = view.member(call.pinned_node)
        if member is None:
            return None
        if call.home_regions and member.region not in call.home_regions:
            return None
        expected_s = self.estimates.of(member.node).latency_s
        return Choice(member, RouteReason.TOKEN, expected_s)

    def _retry_budget(self, call: Call, now: Seconds) -> int:
        if call.kind is CallKind.RESERVATION:
            return 0
        is_last = call.sent_count + 1 >= self.settings.retries.max_attempts
        return self.retries.split_budget(
            call.budget,
            now,
            keeps_part=call.is_repeatable and not is_last,
        )

    def _set_hedge(self, call: Call, now: Seconds) -> None:
        quantile = self.quantiles.get(call.service.service)
        if quantile is None or quantile.estimate_s is None:
            return
        if call.is_repeatable and not call.hedged:
            due_at = Seconds(now + quantile.estimate_s)
            self.table.set_timer(call, TimerKind.HEDGE, due_at)

    def _log_route(
        self,
        attempt: Attempt,
        choice: Choice,
        trigger: Trigger,
        now: Seconds,
    ) -> None:
        """Log a routing decision.

        The tenant may be logged, because calls are routed only in one of
        their home regions.
        """
        estimate = self.estimates.of(choice.member.node)
        call = attempt.call
        fields = {
            'call': call.call,
            'attempt': attempt.attempt,
            'service': call.service.service,
            'tenant': call.tenant,
            'target': choice.member.node,
            'trigger': trigger.value,
            'reason': choice.reason.value,
            'expected_ms': round(choice.expected_s * _MS_PER_S, 1),
            'latency_ms': round(estimate.latency_s * _MS_PER_S, 1),
            'in_flight': estimate.in_flight,
            'occupancy': estimate.occupancy(now),
            'error_rate': round(estimate.error_rate, 2),
        }
        self.actions.append(LogEvent('route', fields))
