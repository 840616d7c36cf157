"""Hedged requests: second attempts of idempotent requests."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.selection import CandidateTable, Choice
from bilberryrail.forwarding.settings import HedgeSettings

#: Multiple of the expected time to an answer that must remain until the
#: deadline for a hedged request.
_MIN_TIME_LEFT_FACTOR: Final = 1.5

#: Sends a request to another target if the predicate accepts the choice.
SendHedge = Callable[[Exchange, Callable[[Choice], bool]], None]


class Hedging:
    """Decides when a request is sent to a second target.

    A host is often slow for a short time only, so another host may answer
    sooner than the first one completes a slow request.
    """

    def __init__(
        self,
        settings: HedgeSettings,
        clock: Any,
        candidates: CandidateTable,
        send_hedge: SendHedge,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.candidates = candidates
        self.send_hedge = send_hedge

    def schedule(
        self, exchange: Exchange, choice: Choice, now: Seconds
    ) -> None:
        """Schedule the checks whether a hedged request is needed.

        The first check is at the last moment at which a hedged request, at its
        usual duration, still meets the target latency. Most answers have
        arrived by then. The second check is when the answer is overdue by a
        multiple of its expected time.
        """
        if not exchange.route.idempotent:
            return
        usual_s = (
            self.settings.usual_factor
            * self.candidates.estimates.usual_s(
                exchange.service,
                exchange.route.route,
            )
        )
        until_hedge_s = exchange.target_latency_left_s(now) - usual_s
        if until_hedge_s >= usual_s:
            self._schedule_check(
                exchange, until_hedge_s, self._hedge_for_target_latency
            )
        expected_s = choice.expected_s
        overdue_s = max(
            self.settings.least_s,
            self.settings.expected_factor * expected_s,
        )
        left_s = exchange.expires_at - now
        if overdue_s + expected_s * _MIN_TIME_LEFT_FACTOR < left_s:
            self._schedule_check(exchange, overdue_s, self._hedge_overdue)

    def _schedule_check(
        self,
        exchange: Exchange,
        delay_s: float,
        check: Callable[[Exchange], None],
    ) -> None:
        exchange.timers.append(self.clock.callLater(delay_s, check, exchange))

    def _hedge_for_target_latency(self, exchange: Exchange) -> None:
        """Hedge if another target can still meet the target latency."""
        left_s = exchange.target_latency_left_s(Seconds(self.clock.seconds()))
        if _has_one_attempt(exchange):
            self.send_hedge(
                exchange,
                lambda choice: choice.at_current_speed_s <= left_s,
            )

    def _hedge_overdue(self, exchange: Exchange) -> None:
        if _has_one_attempt(exchange):
            self.send_hedge(exchange, lambda choice: True)


def _has_one_attempt(exchange: Exchange) -> bool:
    return not exchange.is_over and len(exchange.attempts) == 1
