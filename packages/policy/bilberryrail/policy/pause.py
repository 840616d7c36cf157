"""Detects pauses of this process and stale views."""

from bilberryrail.core.ids import Seconds
from bilberryrail.policy.settings import PauseSettings


class PauseDetector:
    """Measures the time between two events of the engine.

    The engine is called at least every ``tick_interval_s``. If the time between
    two events exceeds ``pause_threshold_s``, the process did not run.

    Attributes
    ----------
    draining_input
        Whether input that arrived during a pause is still being read.
    pause_s
        Length of the pause, which is subtracted from the deadlines of calls
        that are read before the input is drained.
    """

    def __init__(self, settings: PauseSettings) -> None:
        self.settings = settings
        self.draining_input = False
        self.pause_s: float = 0
        self._observed_at: Seconds | None = None
        self._stale_since: Seconds | None = None

    def observe(self, now: Seconds) -> float:
        """Record the time of an event.

        Returns
        -------
        float
            Length in seconds of the pause that has just ended; 0 if there was
            none.
        """
        last_turn = self._observed_at
        self._observed_at = now
        gap_s = 0 if last_turn is None else now - last_turn
        if gap_s <= self.settings.pause_threshold_s:
            return 0
        self.draining_input = True
        self.pause_s += gap_s
        if gap_s > self.settings.max_staleness_s:
            self._stale_since = now
        return gap_s

    def input_drained(self) -> None:
        """End the drain: all input that arrived during the pause was read."""
        self.draining_input = False
        self.pause_s = 0

    def is_stale(
        self,
        now: Seconds,
        offset_reported_at: Seconds,
        *,
        has_peers: bool,
    ) -> bool:
        """Return whether the view is too old for decisions about calls.

        Parameters
        ----------
        offset_reported_at
            When the log or a peer last reported a current offset.
        has_peers
            Whether other members are known. If there are none, no peer could
            report an offset, so only a long pause makes the view stale.
        """
        since = self._stale_since
        if since is not None and offset_reported_at < since:
            return True
        self._stale_since = None
        return (
            has_peers
            and now - offset_reported_at > self.settings.max_staleness_s
        )
