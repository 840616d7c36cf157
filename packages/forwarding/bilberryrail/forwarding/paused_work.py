"""Requests that are held back because of the speed of the host."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.forwarding.coalescing_timer import CoalescingTimer
from bilberryrail.forwarding.work_queue import Work

#: Interval at which the host is looked at while requests are held back, in
#: seconds. Health checks are paid for.
CHECK_INTERVAL_S: Final = 0.025


class PausedWork:
    """Holds requests back and has the host looked at meanwhile.

    Parameters
    ----------
    check_health
        Asks the backend server how slow its host is now.
    on_interval
        Called after each interval to on_interval about the requests again.
    """

    def __init__(
        self,
        clock: Any,
        check_health: Callable[[], None],
        on_interval: Callable[[], None],
    ) -> None:
        self.check_health = check_health
        self.timer = CoalescingTimer(clock, CHECK_INTERVAL_S, on_interval)
        self.work: list[Work] = []

    def __len__(self) -> int:
        return len(self.work)

    def add(self, work: Work) -> None:
        """Hold a request back."""
        self.work.append(work)
        if not self.timer.is_pending:
            self.check_health()
            self.timer.start()

    def release_all(self) -> list[Work]:
        """Release all requests, the first in the order of the queue first."""
        released = sorted(self.work, key=lambda work: work.sort_key)
        self.work = []
        return released

    def cancel(self, work: Work) -> None:
        """Drop a request, if it is held back."""
        if work in self.work:
            self.work.remove(work)
