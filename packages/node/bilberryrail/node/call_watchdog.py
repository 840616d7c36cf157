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
LOOK_S: Final = 0.5
#: Deadline of a call that names none, for a service that is not known.
FALLBACK_DEADLINE_S: Final = 60.0


class Backstop:
    """Knows until when each waiting call must have ended.

    Parameters
    ----------
    expire
        Ends a call; it must lead to ``forget``.
    """

    def __init__(self, reactor: Any, expire: Callable[[CallId], None]) -> None:
        self.reactor = reactor
        self.expire = expire
        self.due: dict[CallId, float] = {}
        self.timer: Any = None

    def watch(self, call: CallId, deadline_s: float) -> None:
        """Expect a call to end within its deadline."""
        self.due[call] = self.reactor.seconds() + deadline_s + GRACE_S
        if self.timer is None:
            self.timer = self.reactor.callLater(LOOK_S, self._look)

    def forget(self, call: CallId) -> None:
        """Note that a call has ended."""
        self.due.pop(call, None)

    def _look(self) -> None:
        self.timer = None
        now = self.reactor.seconds()
        late = [call for call, due in self.due.items() if due <= now]
        for call in late:
            self.expire(call)
            self.forget(call)
        if self.due:
            self.timer = self.reactor.callLater(LOOK_S, self._look)
