"""Ends the process without cutting requests."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.gateway.frontend import Closing

#: Time for which the process serves clients at least; the platform takes a
#: node out after two questions a second apart.
LEAST_SERVING_S: Final = 3.2

#: Time for which new requests are taken whatever they need: clients are sent
#: here until the platform has taken the node out, and may be cut only late in
#: the grace.
TAKING_S: Final = 3.0

#: Time before the end of the grace at which the process ends in any case.
LEFT_S: Final = 0.35

#: Time without requests after which the process ends.
QUIET_S: Final = 0.3

#: Time for written bytes to leave the process.
FLUSH_S: Final = 0.1

_CHECK_S: Final = 0.05


class Shutdown:
    """Serves on while clients and nodes turn away, then ends the process.

    Attributes
    ----------
    is_started
        Whether the process is to end.
    """

    def __init__(
        self,
        process: Any,
        on_stopped: Callable[[], None],
    ) -> None:
        self.process = process
        self.reactor = process.reactor
        self.on_stopped = on_stopped
        self.is_started = False
        self.started_at: float = 0
        self._busy_at: float = 0

    def begin(self) -> None:
        """Take no new requests at this target; serve clients for a while."""
        if self.is_started:
            return
        self.is_started = True
        self.started_at = self.reactor.seconds()
        self._busy_at = self.started_at
        process = self.process
        process.log.process('stop', running=len(process.target.in_flight))
        process.target.capacity.leaving = True
        process.presence.is_leaving = True
        process.backend_changed()
        process.client_server.is_closing = True
        process.frontend.closing = Closing(
            takes_until=Seconds(self.started_at + TAKING_S),
            ends_at=Seconds(self._ends_at),
        )
        self._check()

    @property
    def _ends_at(self) -> float:
        """When the process ends in any case."""
        grace_s = self.process.settings.lifecycle.grace_s
        return self.started_at + grace_s - LEFT_S

    def _check(self) -> None:
        process = self.process
        now = self.reactor.seconds()
        elapsed = now - self.started_at
        if not (process.ingress.is_idle and process.target.is_idle):
            self._busy_at = now
        if elapsed >= LEAST_SERVING_S:
            process.client_server.start_closing()
        is_quiet = now - self._busy_at >= QUIET_S
        is_over = now >= self._ends_at
        if is_over or (is_quiet and elapsed >= LEAST_SERVING_S + QUIET_S):
            self._finish()
        else:
            self.reactor.callLater(_CHECK_S, self._check)

    def _finish(self) -> None:
        process = self.process
        process.log.process(
            'stopped',
            unanswered=len(process.ingress.exchanges),
            running=len(process.target.in_flight),
        )
        process.follower.stop()
        process.links.close()
        self.reactor.callLater(FLUSH_S, self.on_stopped)
