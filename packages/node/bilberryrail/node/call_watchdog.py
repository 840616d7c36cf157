"""Ends calls that the engine has not ended in time.

The engine answers every call by its deadline. If a fault in it or in the
shell prevents that, the caller still gets a final response.
"""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import CallId

#: Time after the deadline; the engine and its peers answer well before.
GRACE_S: Final = 1.0
#: Interval between two looks at the waiting calls.
CHECK_INTERVAL_S: Final = 0.5
#: Deadline of a call that names none, for a service that is not known.
DEFAULT_DEADLINE_S: Final = 60.0


class CallWatchdog:
    """Knows until when each waiting call must have ended.

    Parameters
    ----------
    expire
        Ends a call; it must lead to ``forget``.
    """

    def __init__(self, reactor: Any, expire: Callable[[CallId], None]) -> None:
        self.reactor = reactor
        self.expire = expire
        self.deadlines: dict[CallId, float] = {}
        self.timer: Any = None

    def watch(self, call: CallId, deadline_s: float) -> None:
        """Expect a call to end within its deadline."""
        self.deadlines[call] = self.reactor.seconds() + deadline_s + GRACE_S
        if self.timer is None:
            self.timer = self.reactor.callLater(CHECK_INTERVAL_S, self._check)

    def forget(self, call: CallId) -> None:
        """Note that a call has ended."""
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
