"""Closes a link that has been idle for some time."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.node.peer_link import PeerLink

#: Time in seconds without frames after which a link that need not stay open is
#: closed.
IDLE_TIMEOUT_S: Final = 30.0


class IdleWatch:
    """Checks a link every ``IDLE_TIMEOUT_S`` until the link closes.

    Parameters
    ----------
    is_required
        Returns whether the link must stay open even when it is idle.
    """

    def __init__(
        self,
        reactor: Any,
        link: PeerLink,
        is_required: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.link = link
        self.is_required = is_required
        self.frame_count = link.frame_count
        self.timer = reactor.callLater(IDLE_TIMEOUT_S, self._check)

    def stop(self) -> None:
        """Stop checking."""
        if self.timer.active():
            self.timer.cancel()

    def _check(self) -> None:
        link = self.link
        is_idle = (
            link.frame_count == self.frame_count and link.open_attempts <= 0
        )
        if is_idle and not self.is_required():
            link.finish()
            return
        self.frame_count = link.frame_count
        self.timer = self.reactor.callLater(IDLE_TIMEOUT_S, self._check)
