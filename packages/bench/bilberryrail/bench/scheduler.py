"""Event queue on a simulated clock that advances only from event to event."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from bilberryrail.core.ids import Seconds


@dataclass(slots=True)
class Timer:
    """A scheduled callback that can be cancelled."""

    run: Callable[[], None]
    cancelled: bool = False


@dataclass(slots=True)
class Scheduler:
    """Runs callbacks in order of due time; ties in order of submission."""

    now: Seconds = Seconds(0)
    _heap: list[tuple[float, int, Timer]] = field(default_factory=list)
    _sequence: count = field(default_factory=count)

    def at(self, when: float, run: Callable[[], None]) -> Timer:
        """Schedule a callback at a time, or now if that time has passed."""
        timer = Timer(run)
        due = max(when, self.now)
        heapq.heappush(self._heap, (due, next(self._sequence), timer))
        return timer

    def after(self, delay_s: float, run: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay."""
        return self.at(self.now + delay_s, run)

    def run_until(self, end: float) -> None:
        """Run all callbacks due until a time and advance the clock to it."""
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            self.now = Seconds(due)
            timer.run()
        self.now = Seconds(end)
