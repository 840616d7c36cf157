"""Bound on the requests a second that reach a cold backend server."""

from collections import deque
from typing import Final

from bilberryrail.core.ids import Seconds

#: Length of the sliding window, with a margin for the time between a request
#: that is sent and its arrival.
WINDOW_S: Final = 1.05

#: Part of the allowed requests that is used while it is not known whether the
#: backend server is cold; the rest covers requests that were sent before it
#: turned cold.
UNKNOWN_STATE_SHARE: Final = 0.8

#: Part that is used while the backend server says that it is cold.
KNOWN_COLD_SHARE: Final = 0.95


class ColdLimiter:
    """Counts what was sent in the last second.

    The node beside a backend server is the only way to it, so its count is
    the sum over all nodes.

    Attributes
    ----------
    cold_until
        When the backend server stops being cold.
    """

    def __init__(self) -> None:
        self.cold_until = Seconds(0)
        self.sent: deque[Seconds] = deque()

    def is_cold(self, now: Seconds) -> bool:
        """Tell whether the backend server is known to be cold."""
        return now < self.cold_until

    def turned_cold(self, period_s: float, now: Seconds) -> None:
        """Note for how long the backend server says it will be cold."""
        self.cold_until = max(self.cold_until, Seconds(now + period_s))

    def turned_warm(self) -> None:
        """Note that the backend server says it is not cold."""
        self.cold_until = Seconds(0)

    def request_sent(self, now: Seconds) -> None:
        """Count a request that is sent now."""
        self._expire(now)
        self.sent.append(now)

    def has_capacity(self, max_per_s: float, now: Seconds) -> bool:
        """Tell whether another request fits under a rate."""
        self._expire(now)
        return len(self.sent) < self._max_sent(max_per_s, now)

    def next_slot_at(self, max_per_s: float, now: Seconds) -> Seconds:
        """Return when there will be room."""
        if self.has_capacity(max_per_s, now):
            return now
        index = len(self.sent) - self._max_sent(max_per_s, now)
        return Seconds(self.sent[index] + WINDOW_S)

    def _max_sent(self, max_per_s: float, now: Seconds) -> int:
        """Return the requests that may be sent in one window."""
        share = KNOWN_COLD_SHARE if self.is_cold(now) else UNKNOWN_STATE_SHARE
        return max(1, int(max_per_s * share))

    def _expire(self, now: Seconds) -> None:
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
