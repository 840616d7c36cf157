"""Circuit breaker of a target, which stops calls that would only fail.

Without it, every ingress node would have to detect a failing backend server
through failed calls of its own, and would fail more calls to find out whether
the server has recovered.
"""

from enum import Enum
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.policy.settings import AdmissionSettings

#: Consecutive failures that open the breaker. Failures caused by the calls of a
#: single tenant do not reach this number, because answers to calls of other
#: tenants come in between.
_FAILURES_TO_OPEN: Final = 5
_BACKOFF_FACTOR: Final = 2
#: Concurrency limit of a closed breaker; it is too high to have an effect.
_NO_LIMIT: Final = 1_000_000


class BreakerState(Enum):
    """State of a circuit breaker."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'trial'


class Breaker:
    """Opens after consecutive failures and allows a trial after a backoff.

    Attributes
    ----------
    retry_at
        When an open breaker allows the next trial call.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.retry_at = Seconds(0)
        self._failures = 0
        self._backoff_s: float = 0

    def state(self, now: Seconds) -> BreakerState:
        """Return the current state of the breaker."""
        if self._failures < _FAILURES_TO_OPEN:
            return BreakerState.CLOSED
        if now < self.retry_at:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    def limit(self, now: Seconds) -> int:
        """Return the number of calls that may run at the same time."""
        match self.state(now):
            case BreakerState.OPEN:
                return 0
            case BreakerState.HALF_OPEN:
                return 1
        return _NO_LIMIT

    def answered(self) -> None:
        """Close the breaker after a successful call."""
        self._failures = 0
        self._backoff_s = 0

    def failed(self, now: Seconds) -> None:
        """Count a failure; open the breaker after several in a row.

        The backoff grows exponentially. Failures of calls that were running
        when the breaker opened do not extend it.
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
