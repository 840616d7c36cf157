"""Logs and counts the decisions about requests."""

from typing import Any

from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.load_report import Notice, NoticeSource
from bilberryrail.forwarding.records import BackendRun, Fingerprint
from bilberryrail.forwarding.work_queue import Work
from bilberryrail.gateway.event_log import EventLog
from bilberryrail.gateway.metrics import Metrics


class DecisionLog:
    """Logs and counts the decisions of the ingress and target roles."""

    def __init__(self, clock: Any, log: EventLog, metrics: Metrics) -> None:
        self.clock = clock
        self.log = log
        self.metrics = metrics

    def target_decided(self, event: str, work: Work, **fields: Any) -> None:
        """Log and count a decision of the target role."""
        self.metrics.decided(f'target-{event}', str(fields.get('reason', '')))
        self.log.request(
            f'target_{event}',
            request=work.message.request_id,
            origin=work.origin.node,
            route=work.message.route,
            rank=work.message.priority,
            **fields,
        )

    def notice_changed(
        self, notice: Notice, run: BackendRun, source: NoticeSource
    ) -> None:
        """Log and count what the backend server newly states about itself."""
        self.metrics.noticed(notice, source)
        # A backend server may state another limit in each answer.
        self.log.request(
            'backend_notice',
            instance=run.instance,
            rate_limit=notice.rate_limit,
            leaving=notice.is_leaving,
            source=source.value,
        )

    def backend_crashed(
        self, run: BackendRun, suspects: tuple[Fingerprint, ...]
    ) -> None:
        """Log and count a crash, with the requests that were in flight."""
        self.metrics.backend_crashes.inc({})
        self.log.process(
            'backend_crashed',
            instance=run.instance,
            born_ms=run.born_ms,
            suspects=','.join(one.hex() for one in suspects),
        )

    def ingress_decided(
        self, event: str, exchange: Exchange, **fields: Any
    ) -> None:
        """Log and count a decision of the ingress role."""
        self.metrics.decided(event, str(fields.get('reason', '')))
        self.log.request(
            event,
            request=exchange.request_id,
            route=exchange.route.route,
            service=exchange.service,
            **fields,
        )

    def request_finished(self, exchange: Exchange, status: int) -> None:
        """Count an answer to a client, with its latency."""
        took_s = self.clock.seconds() - exchange.arrived_at
        self.metrics.answered(exchange.service, status, took_s)
