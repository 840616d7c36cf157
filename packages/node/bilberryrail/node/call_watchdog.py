"""Ends calls that the engine has not ended by their deadline.

Normally the engine does that itself. If a fault in the engine or in the code
around it prevents that, the caller still receives a final response.
"""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import CallId

#: Time in seconds after the deadline at which a call is ended; normally the
#: engine and its peers answer well before.
GRACE_S: Final = 1.0
#: Interval in seconds at which the waiting calls are checked.
CHECK_INTERVAL_S: Final = 0.5
#: Deadline in seconds of a call without a deadline to a service that is not
#: configured.
DEFAULT_DEADLINE_S: Final = 60.0


class CallWatchdog:
    """Tracks by when each waiting call must have ended.

    Parameters
    ----------
    expire
        Ends a call; it must call ``forget``.
    """

    def __init__(self, reactor: Any, expire: Callable[[CallId], None]) -> None:
        self.reactor = reactor
        self.expire = expire
        self.deadlines: dict[CallId, float] = {}
        self.timer: Any = None

    def watch(self, call: CallId, deadline_s: float) -> None:
        """Start to watch a call with a deadline in seconds from now."""
        self.deadlines[call] = self.reactor.seconds() + deadline_s + GRACE_S
        if self.timer is None:
            self.timer = self.reactor.callLater(CHECK_INTERVAL_S, self._check)

    def forget(self, call: CallId) -> None:
        """Stop watching a call that has ended."""
        self.deadlines.pop(call, None)

    def _check(self) -> None:
        self.timer = None
        now = self.reactor.seconds()
        overdue = [
            call for call, deadline in self.deadlines.items() if deadline <= now
        ]
        for call in overdue:
            self.expire(call)
            self.forget(call)
        if self.deadlines:
            self.timer = self.reactor.callLater(CHECK_INTERVAL_S, self._check)
