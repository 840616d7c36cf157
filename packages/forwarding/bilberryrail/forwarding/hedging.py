"""Second attempts of idempotent requests whose answer is late."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.selection import CandidateTable, Choice
from bilberryrail.forwarding.settings import HedgeSettings

#: Multiple of the expected time that must be left for a second attempt.
_MIN_TIME_LEFT_FACTOR: Final = 1.5

#: Sends a request to another target if that is worthwhile.
SendHedge = Callable[[Exchange, Callable[[Choice], bool]], None]


class Hedging:
    """Decides when a request is tried at a second target.

    Hosts are slow for a moment, so another one is often faster than the rest
    of a slow answer.
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
        """Look again when the answer is late.

        A second attempt starts as late as an undisturbed one may, to meet the
        aim: most answers have come by then. Another check follows when the
        answer is much too late.
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
        """Try another target if it can still meet the aim."""
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
