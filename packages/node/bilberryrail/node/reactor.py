"""The event loop: Twisted's asyncio reactor on a monotonic clock.

``install`` must run before any module imports ``twisted.internet.reactor``,
which klein does.
"""

import asyncio

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.main import installReactor


class MonotonicReactor(AsyncioSelectorReactor):
    """An asyncio reactor whose ``seconds`` never jump with the wall clock.

    Twisted's own ``seconds`` is ``time.time``; a correction of the host's
    clock would look like a pause of the process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # Set first: the base class asks for the time while it starts.
        self.seconds = loop.time
        super().__init__(loop)


def install() -> MonotonicReactor:
    """Create an event loop and make its reactor the process's reactor."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    reactor = MonotonicReactor(loop)
    installReactor(reactor)
    return reactor
