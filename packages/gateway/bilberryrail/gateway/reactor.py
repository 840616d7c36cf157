"""The event loop: Twisted's epoll reactor on a monotonic clock."""

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose timers ignore changes of the time of day.

    Twisted's reactors use the time of day, so that a correction of the host's
    clock would fire timers too early or too late.
    """

    def seconds(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return time.monotonic()


def install() -> Any:
    """Create the reactor and install it as the one of the process.

    Call it before any module imports ``twisted.internet.reactor``.
    """
    reactor = MonotonicReactor()
    installReactor(reactor)
    return reactor
