"""Token bucket that bounds a rate on the runtime's clock."""

from bilberryrail.core.ids import Seconds


class TokenBucket:
    """Tokens that are earned over time or per event and spent on work.

    Parameters
    ----------
    rate
        Tokens earned per second; 0 if they are only added by ``add``.
    burst
        Most tokens that can be saved.
    level
        Tokens at the start; full by default.
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
        """Add tokens that an event earned."""
        self.level = min(self.burst, self.level + amount)

    def holds(self, amount: float, now: Seconds) -> bool:
        """Tell whether ``amount`` tokens could be taken now."""
        if self._filled_at is not None:
            self.add((now - self._filled_at) * self.rate)
        self._filled_at = now
        return self.level >= amount

    def take(self, amount: float, now: Seconds) -> bool:
        """Take ``amount`` tokens if there are as many."""
        if not self.holds(amount, now):
            return False
        self.level -= amount
        return True

    def charge(self, amount: float, now: Seconds) -> None:
        """Take ``amount`` tokens even if that leaves a debt of one burst."""
        self.holds(amount, now)
        self.level = max(-self.burst, self.level - amount)
