"""Keeps requests to a backend server within the rate that it states."""

import math
from typing import Final

from bilberryrail.core.ids import Seconds
from bilberryrail.policy.buckets import TokenBucket

#: Time in which unused requests accumulate, in seconds. A burst after a pause
#: is therefore at most half of the requests of one second.
BURST_S: Final = 0.5

#: Lowest rate, in requests per second. A backend server that accepts none is
#: still sent one request every two seconds, because only its answer shows that
#: the limit has ended.
MIN_RATE_PER_S: Final = 0.5


class StatedRate:
    """Limits requests to the rate that the backend server has stated.

    All requests to a backend server pass through the node beside it, so this
    limit holds for the sum over all nodes.

    Attributes
    ----------
    per_s
        Requests per second that may be sent; infinite without a limit.
    bucket
        One token for each request that may be sent now; None without a limit.
    """

    def __init__(self) -> None:
        self.per_s = math.inf
        self.bucket: TokenBucket | None = None

    def state(self, rate_limit: float, now: Seconds) -> None:
        """Apply a stated limit; an infinite one ends the present limit.

        A limit starts without tokens, because the requests of the last seconds
        were sent before it was known. A changed limit keeps its tokens.
        """
        per_s = max(rate_limit, MIN_RATE_PER_S)
        if per_s == self.per_s:
            return
        self.per_s = per_s
        if math.isinf(per_s):
            self.bucket = None
            return
        burst = max(1, per_s * BURST_S)
        level = min(burst, self.level(now)) if self.bucket else 0
        self.bucket = TokenBucket(per_s, burst, level)
        # Starts the time from which tokens are added.
        self.bucket.can_take(0, now)

    def request_sent(self, now: Seconds) -> None:
        """Count a request that is sent now."""
        if self.bucket is not None:
            self.bucket.charge(1, now)

    def level(self, now: Seconds) -> float:
        """Return how many requests may be sent now; infinite without limit."""
        if self.bucket is None:
            return math.inf
        self.bucket.can_take(0, now)
        return self.bucket.level

    def credit(self, waiting: int, now: Seconds) -> float:
        """Return how many requests may be sent beyond those that wait.

        It is negative if some of these have to wait for the limit, and zero
        without a limit.
        """
        return 0 if self.bucket is None else self.level(now) - waiting

    def wait_s(self, ahead: int, now: Seconds) -> float:
        """Return when a request behind ``ahead`` others may be sent.

        Returns
        -------
        float
            Time from now, in seconds; zero if it may be sent at once.
        """
        if self.bucket is None:
            return 0
        return max(0, ahead + 1 - self.level(now)) / self.per_s
