"""Circuit breaker of a target: stops calls that would only fail.

Every ingress node would otherwise have to learn by failed calls of its own
that a backend server fails, and to try again by failing once more.
"""

from enum import Enum
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.policy.settings import AdmissionSettings

#: Failures in a row that open the breaker. Failures that a single tenant's
#: calls cause are mixed with answers to others and do not reach it.
_FAILURES_TO_OPEN: Final = 5
_BACKOFF_FACTOR: Final = 2
#: Limit of a closed breaker: it holds nothing back.
_NO_LIMIT: Final = 1_000_000


class BreakerState(Enum):
    """Whether calls may pass."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'trial'


class Breaker:
    """Opens after failures in a row, and tries one call after a backoff.

    Attributes
    ----------
    retry_at
        When an open breaker lets the next trial call pass.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.retry_at = Seconds(0)
        self._failures = 0
        self._backoff_s: float = 0

    def state(self, now: Seconds) -> BreakerState:
        """Tell whether calls may pass now."""
        if self._failures < _FAILURES_TO_OPEN:
            return BreakerState.CLOSED
        if now < self.retry_at:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def limit(self, now: Seconds) -> int:
        """Return the calls that may run at the same time."""
        match self.state(now):
            case BreakerState.OPEN:
                return 0
            case BreakerState.HALF_OPEN:
                return 1
        return _NO_LIMIT

    def answered(self) -> None:
        """Close the breaker: a call succeeded."""
        self._failures = 0
        self._backoff_s = 0

    def failed(self, now: Seconds) -> None:
        """Count a failure; after enough of them wait longer each time.

        Calls that were running when the breaker opened do not lengthen the
        wait.
        """
        if self.state(now) is BreakerState.OPEN:
            return
        self._failures += 1
        if self._failures < _FAILURES_TO_OPEN:
            return
        self._backoff_s = min(
            max(
                self.settings.breaker_backoff_s,
                self._backoff_s * _BACKOFF_FACTOR,
            ),
            self.settings.breaker_backoff_max_s,
        )
        self.retry_at = Seconds(now + self._backoff_s)
