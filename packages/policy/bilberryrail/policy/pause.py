"""Notices that this process was paused, and views that are stale."""

from bilberryrail.core.ids import Seconds
from bilberryrail.policy.settings import PauseSettings


class PauseGuard:
    """Watches the clock between two turns of the event loop.

    The engine is called at least every ``tick_interval_s``, so a longer gap
    means that the process did not run.

    Attributes
    ----------
    draining_input
        Whether what waited in sockets at resume is still being read.
    charge_s
        Time to take off calls that are read before the input is drained.
    """

    def __init__(self, settings: PauseSettings) -> None:
        self.settings = settings
        self.draining_input = False
        self.charge_s: float = 0
        self._last_turn: Seconds | None = None
        self._stale_since: Seconds | None = None

    def observe(self, now: Seconds) -> float:
        """Note a turn of the event loop.

        Returns
        -------
        float
            Length of the pause that just ended in seconds, 0 if there was
            none.
        """
        last_turn = self._last_turn
        self._last_turn = now
        gap_s = 0 if last_turn is None else now - last_turn
        if gap_s <= self.settings.pause_threshold_s:
            return 0
        self.draining_input = True
        self.charge_s += gap_s
        if gap_s > self.settings.max_staleness_s:
            self._stale_since = now
        return gap_s

    def input_drained(self) -> None:
        """Note that everything that waited at resume has been read."""
        self.draining_input = False
        self.charge_s = 0

    def is_stale(
        self,
        now: Seconds,
        offset_reported_at: Seconds,
        *,
        has_peers: bool,
    ) -> bool:
        """Tell whether the view is too old to serve calls from.

        Parameters
        ----------
        offset_reported_at
            When the log or a peer last stated a current offset.
        has_peers
            Whether other members are known. A node that is alone has nobody
            to hear from, so silence does not count.
        """
        since = self._stale_since
        if since is not None and offset_reported_at < since:
            return True
        self._stale_since = None
        return (
            has_peers
            and now - offset_reported_at > self.settings.max_staleness_s
        )
