"""Closes a link that nobody has used for a while."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.node.peer_link import PeerLink

#: Time without frames after which a link that nothing requires is closed.
IDLE_S: Final = 30.0


class IdleWatch:
    """Looks at a link every ``IDLE_S`` until the link is over.

    Parameters
    ----------
    is_wanted
        Tells whether the link must stay open even when it is not used.
    """

    def __init__(
        self,
        reactor: Any,
        link: PeerLink,
        is_wanted: Callable[[], bool],
    ) -> None:
        self.reactor = reactor
        self.link = link
        self.is_wanted = is_wanted
        self.used = link.used
        self.timer = reactor.callLater(IDLE_S, self._look)

    def stop(self) -> None:
        """Look no more."""
        if self.timer.active():
            self.timer.cancel()

    def _look(self) -> None:
        link = self.link
        is_idle = link.used == self.used and link.open_attempts <= 0
        if is_idle and not self.is_wanted():
            link.finish()
            return
        self.used = link.used
        self.timer = self.reactor.callLater(IDLE_S, self._look)
