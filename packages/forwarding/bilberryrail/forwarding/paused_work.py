"""Requests that are held back because of the speed of the host."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.forwarding.coalescing_timer import Recheck
from bilberryrail.forwarding.work_queue import Work

#: Interval at which the host is looked at while requests are held back, in
#: seconds. Health checks are paid for.
LOOK_INTERVAL_S: Final = 0.025


class PausedWork:
    """Holds requests back and has the host looked at meanwhile.

    Parameters
    ----------
    look
        Asks the backend server how slow its host is now.
    decide
        Called after each interval to decide about the requests again.
    """

    def __init__(
        self,
        clock: Any,
        look: Callable[[], None],
        decide: Callable[[], None],
    ) -> None:
        self.look = look
        self.recheck = Recheck(clock, LOOK_INTERVAL_S, decide)
        self.work: list[Work] = []

    def __len__(self) -> int:
        return len(self.work)

    def add(self, work: Work) -> None:
        """Hold a request back."""
        self.work.append(work)
        if not self.recheck.is_due:
            self.look()
            self.recheck.start()

    def take(self) -> list[Work]:
        """Release all requests, the first in the order of the queue first."""
        released = sorted(self.work, key=lambda work: work.place)
        self.work = []
        return released

    def cancel(self, work: Work) -> None:
        """Drop a request, if it is held back."""
        if work in self.work:
            self.work.remove(work)
