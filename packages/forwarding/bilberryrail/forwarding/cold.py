"""Rate limit for requests to a cold backend server."""

from collections import deque
from typing import Final

from bilberryrail.core.ids import Seconds

#: Length of the sliding window, in seconds. It is longer than a second to allow
#: for the time between sending a request and its arrival.
WINDOW_S: Final = 1.05

#: Share of the allowed requests that is used while it is not known whether the
#: backend server is cold. The rest is for requests that were sent before it
#: became cold.
UNKNOWN_STATE_SHARE: Final = 0.8

#: Share of the allowed requests that is used while the backend server reports
#: that it is cold.
KNOWN_COLD_SHARE: Final = 0.95


class ColdLimiter:
    """Counts the requests that were sent in the last second.

    All requests to a backend server pass through the node beside it, so this
    count is the sum over all nodes.

    Attributes
    ----------
    cold_until
        When the backend server stops being cold.
    sent
        Times at which requests were sent within the window.
    """

    def __init__(self) -> None:
        self.cold_until = Seconds(0)
        self.sent: deque[Seconds] = deque()

    def is_cold(self, now: Seconds) -> bool:
        """Return whether the backend server is known to be cold."""
        return now < self.cold_until

    def turned_cold(self, period_s: float, now: Seconds) -> None:
        """Record for how long the backend server says it will be cold."""
        self.cold_until = max(self.cold_until, Seconds(now + period_s))

    def turned_warm(self) -> None:
        """Record that the backend server says it is not cold."""
        self.cold_until = Seconds(0)

    def request_sent(self, now: Seconds) -> None:
        """Count a request that is sent now."""
        self._expire(now)
        self.sent.append(now)

    def has_capacity(self, max_per_s: float, now: Seconds) -> bool:
        """Return whether another request can be sent within a rate."""
        self._expire(now)
        return len(self.sent) < self._max_sent(max_per_s, now)

    def next_slot_at(self, max_per_s: float, now: Seconds) -> Seconds:
        """Return when the next request can be sent within a rate."""
        if self.has_capacity(max_per_s, now):
            return now
        index = len(self.sent) - self._max_sent(max_per_s, now)
        return Seconds(self.sent[index] + WINDOW_S)

    def _max_sent(self, max_per_s: float, now: Seconds) -> int:
        """Return how many requests may be sent in one window."""
        share = KNOWN_COLD_SHARE if self.is_cold(now) else UNKNOWN_STATE_SHARE
        return max(1, int(max_per_s * share))

    def _expire(self, now: Seconds) -> None:
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
