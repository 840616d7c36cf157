"""Requests that are paused because their host is slow, or may be."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.forwarding.coalescing_timer import CoalescingTimer
from bilberryrail.forwarding.work_queue import Work

#: Interval at which the host's health is checked while requests are paused, in
#: seconds. Health checks have a cost, so there is one per interval at most.
CHECK_INTERVAL_S: Final = 0.025


class PausedWork:
    """Holds requests and checks the backend server's health meanwhile.

    Parameters
    ----------
    check_health
        Starts a health check, which reports how slow the host is now.
    on_interval
        Called after each interval to decide about the requests again.
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
        """Pause a request."""
        self.work.append(work)
        if not self.timer.is_pending:
            self.check_health()
            self.timer.start()

    def release_all(self) -> list[Work]:
        """Remove and return all requests, in the order of the queue."""
        released = sorted(self.work, key=lambda work: work.sort_key)
        self.work = []
        return released

    def cancel(self, work: Work) -> None:
        """Remove a request if it is paused."""
        if work in self.work:
            self.work.remove(work)
