"""Second attempts of idempotent requests whose answer is late."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.exchanges import Exchange
from bilberryrail.forwarding.selection import CandidateTable, Choice
from bilberryrail.forwarding.settings import HedgeSettings

#: Multiple of the expected time that must be left for a second attempt.
_TIME_LEFT: Final = 1.5

#: Sends a request to another target if that is worthwhile.
TryElsewhere = Callable[[Exchange, Callable[[Choice], bool]], None]


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
        try_elsewhere: TryElsewhere,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.candidates = candidates
        self.try_elsewhere = try_elsewhere

    def watch(self, exchange: Exchange, choice: Choice, now: Seconds) -> None:
        """Look again when the answer is late.

        A second attempt starts as late as an undisturbed one may, to meet the
        aim: most answers have come by then. Another look follows when the
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
        in_time_s = exchange.aim_left_s(now) - usual_s
        if in_time_s >= usual_s:
            self._look_after(exchange, in_time_s, self._look_in_time)
        expected_s = choice.expected_s
        late_s = max(
            self.settings.least_s,
            self.settings.expected_factor * expected_s,
        )
        left_s = exchange.expires_at - now
        if late_s + expected_s * _TIME_LEFT < left_s:
            self._look_after(exchange, late_s, self._look_late)

    def _look_after(
        self,
        exchange: Exchange,
        pause_s: float,
        look: Callable[[Exchange], None],
    ) -> None:
        exchange.timers.append(self.clock.callLater(pause_s, look, exchange))

    def _look_in_time(self, exchange: Exchange) -> None:
        """Try another target if it can still meet the aim."""
        left_s = exchange.aim_left_s(Seconds(self.clock.seconds()))
        if _waits_for_one(exchange):
            self.try_elsewhere(
                exchange,
                lambda choice: choice.soonest_s <= left_s,
            )

    def _look_late(self, exchange: Exchange) -> None:
        if _waits_for_one(exchange):
            self.try_elsewhere(exchange, lambda choice: True)


def _waits_for_one(exchange: Exchange) -> bool:
    return not exchange.is_over and len(exchange.attempts) == 1
