"""Event queue of a measurement: time moves only from event to event."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from bilberryrail.core.ids import Seconds


@dataclass(slots=True)
class Timer:
    """A call that is due at some time and can be cancelled."""

    run: Callable[[], None]
    cancelled: bool = False


@dataclass(slots=True)
class Scheduler:
    """Runs calls in the order of their time, ties in order of submission."""

    now: Seconds = Seconds(0)
    _heap: list[tuple[float, int, Timer]] = field(default_factory=list)
    _sequence: count = field(default_factory=count)

    def at(self, when: float, run: Callable[[], None]) -> Timer:
        """Run a call at a time, not before now."""
        timer = Timer(run)
        due = max(when, self.now)
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        return timer

    def after(self, delay_s: float, run: Callable[[], None]) -> Timer:
        """Run a call after a delay."""
        return self.at(self.now + delay_s, run)

    def run_until(self, end: float) -> None:
        """Run everything that is due up to a time."""
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            self.now = Seconds(due)
            timer.run()
        self.now = Seconds(end)
