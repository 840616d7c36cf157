"""Writes decisions about requests to the log and counts them."""

from typing import Any

from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.work_queue import Work
from bilberryrail.gateway.event_log import EventLog
from bilberryrail.gateway.metrics import Metrics


class DecisionLog:
    """Takes the decisions of both roles."""

    def __init__(self, clock: Any, log: EventLog, metrics: Metrics) -> None:
        self.clock = clock
        self.log = log
        self.metrics = metrics

    def target(self, event: str, work: Work, **fields: Any) -> None:
        """Take a decision of the target role."""
        self.metrics.decided(f'target-{event}', str(fields.get('reason', '')))
        self.log.request(
            f'target_{event}',
            request=work.message.request_id,
            origin=work.origin.node,
            route=work.message.route,
            rank=work.message.priority,
            **fields,
        )

    def ingress(self, event: str, exchange: Exchange, **fields: Any) -> None:
        """Take a decision of the ingress role."""
        self.metrics.decided(event, str(fields.get('reason', '')))
        self.log.request(
            event,
            request=exchange.request_id,
            route=exchange.route.route,
            service=exchange.service,
            **fields,
        )

    def finished(self, exchange: Exchange, status: int) -> None:
        """Count an answer to a client."""
        took_s = self.clock.seconds() - exchange.arrived_at
        self.metrics.answered(exchange.service, status, took_s)
