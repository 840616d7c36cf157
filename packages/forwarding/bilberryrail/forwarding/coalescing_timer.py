"""Timer that fires once for all starts within an interval."""

from collections.abc import Callable
from typing import Any


class CoalescingTimer:
    """Calls a function once, an interval after the first start.

    Further starts while it is pending have no effect.
    """

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
        """Start the timer unless it is pending."""
        if not self.is_pending:
            self.is_pending = True
            self.clock.callLater(self.interval_s, self._fire)

    def _fire(self) -> None:
        self.is_pending = False
        self.on_timer()
