"""A call that is due once after an interval, however often it is asked for."""

from collections.abc import Callable
from typing import Any


class CoalescingTimer:
    """Looks again after a while, one time for all who ask meanwhile."""

    def __init__(
        self,
        clock: Any,
        interval_s: float,
        on_timer: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.interval_s = interval_s
        self.on_timer = on_timer
        self.is_pending = False

    def start(self) -> None:
        """Ask for a look after the interval."""
        if not self.is_pending:
            self.is_pending = True
            self.clock.callLater(self.interval_s, self._passed)

    def _passed(self) -> None:
        self.is_pending = False
        self.on_timer()
