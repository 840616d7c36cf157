"""Token bucket that limits a rate."""

from bilberryrail.core.ids import Seconds


class TokenBucket:
    """Tokens that are added over time or per event and taken for work.

    Parameters
    ----------
    rate
        Tokens added per second; 0 if they are only added by ``add``.
    burst
        Capacity of the bucket in tokens.
    level
        Number of tokens at the start; by default the bucket is full.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        level: float | None = None,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst if level is None else level
        self._filled_at: Seconds | None = None

    def add(self, amount: float) -> None:
        """Add tokens for an event, up to the capacity of the bucket."""
        self.level = min(self.burst, self.level + amount)

    def can_take(self, amount: float, now: Seconds) -> bool:
        """Return whether ``amount`` tokens are available now."""
        if self._filled_at is not None:
            self.add((now - self._filled_at) * self.rate)
        self._filled_at = now
        return self.level >= amount

    def take(self, amount: float, now: Seconds) -> bool:
        """Take ``amount`` tokens if available; return whether they were."""
        if not self.can_take(amount, now):
            return False
        self.level -= amount
        return True

    def charge(self, amount: float, now: Seconds) -> None:
        """Take ``amount`` tokens even if the level becomes negative.

        The level does not fall below minus one burst.
        """
        # The call adds the tokens due by now; its result is not needed.
        self.can_take(amount, now)
        self.level = max(-self.burst, self.level - amount)
