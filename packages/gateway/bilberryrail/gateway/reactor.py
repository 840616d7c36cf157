"""The event loop: Twisted's epoll reactor on a monotonic clock."""

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class MonotonicReactor(EPollReactor):
    """An epoll reactor whose timers ignore changes of the time of day.

    Twisted takes the time of day, so a correction of the host's clock would
    fire timers early or hold them back.
    """

    def seconds(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return time.monotonic()


def install() -> Any:
    """Make a new reactor the process's reactor.

    It must run before any module imports ``twisted.internet.reactor``.
    """
    reactor = MonotonicReactor()
    installReactor(reactor)
    return reactor
