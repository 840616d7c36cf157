"""Ends evacuations that a restored store has lost and nobody writes again."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.forwarding.operators import OperatorState

#: Time after a restore of the store within which operators have written again
#: what it has lost, in seconds.
CONFIRM_WITHIN_S: Final = 10.0


class UnconfirmedZones:
    """Brings availability zones back if their evacuation is not confirmed.

    An evacuation that the store has lost stays in force, because operators
    write it again. If they do not, they had ended it before this node read the
    restored store.

    Attributes
    ----------
    on_dropped
        Called after zones have been brought back.
    """

    def __init__(
        self,
        reactor: Any,
        operators: OperatorState,
        log: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.operators = operators
        self.log = log
        self.on_dropped: Callable[[], None] | None = None
        self.era = operators.position.era
        self.timer: Any = None

    def operators_changed(self) -> None:
        """Wait for the confirmation of zones that the store has lost."""
        is_restored = self.operators.position.era != self.era
        self.era = self.operators.position.era
        if not self.operators.unconfirmed_zones:
            return
        if self.timer is None:
            self.timer = self.reactor.callLater(CONFIRM_WITHIN_S, self._drop)
        elif is_restored:
            self.timer.reset(CONFIRM_WITHIN_S)

    def _drop(self) -> None:
        self.timer = None
        zones = self.operators.unconfirmed_zones
        if self.operators.drop_unconfirmed_zones():
            self.log('zones_not_confirmed', zones=','.join(sorted(zones)))
            self.on_dropped()
