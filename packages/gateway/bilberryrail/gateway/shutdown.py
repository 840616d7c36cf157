"""Graceful shutdown of the process, without cutting requests."""

from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.ids import Seconds
from bilberryrail.gateway.frontend import Closing
from bilberryrail.gateway.links import is_sending
from bilberryrail.gateway.tasks import PeriodicTask

#: Minimum time for which the process continues to serve clients, in seconds.
#: The platform takes a node out after two readiness checks, one second apart.
MIN_SERVING_S: Final = 3.2

#: Time for which all new requests are accepted, in seconds. The platform sends
#: clients here until it has taken the node out, and requests that arrive this
#: early can be cut only at the end of the grace period. The platform excuses
#: that for requests of the first 3 s; the rest is for a late signal handler.
ACCEPTING_S: Final = 2.8

#: Margin before the end of the grace period, in seconds; the process then ends
#: even if requests are in flight.
STOP_MARGIN_S: Final = 0.35

#: Time without requests after which the process ends, in seconds.
QUIET_S: Final = 0.3

#: Time for the last written bytes to reach the network, in seconds.
FLUSH_S: Final = 0.1

#: Margin before the end of the grace period, in seconds, after which the process
#: ends even if answers have not been sent.
KILL_MARGIN_S: Final = 0.1

_CHECK_S: Final = 0.05


class Shutdown:
    """Serves while clients and nodes move to other nodes, then ends.

    Attributes
    ----------
    is_started
        Whether the shutdown has begun.
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
        self._checks = PeriodicTask(
            self.reactor, _CHECK_S, self._check, process.log.process
        )

    def begin(self) -> None:
        """Stop accepting work as a target; continue to serve clients."""
        if self.is_started:
            return
        self.is_started = True
        self.started_at = self.reactor.seconds()
        self._busy_at = self.started_at
        process = self.process
        process.log.process('stop', running=len(process.target.in_flight))
        process.client_server.is_closing = True
        process.frontend.closing = Closing(
            accepts_until=Seconds(self.started_at + ACCEPTING_S),
            ends_at=Seconds(self._ends_at),
        )
        self._checks.start(0)
        process.target.capacity.leaving = True
        process.presence.is_leaving = True
        process.backend_changed()

    @property
    def _ends_at(self) -> float:
        """Time at which the process ends even if requests are in flight."""
        grace_s = self.process.settings.lifecycle.grace_s
        return self.started_at + grace_s - STOP_MARGIN_S

    @property
    def _is_busy(self) -> bool:
        """Whether a request of a client or of another node is not over.

        It is over when its answer has been sent.
        """
        process = self.process
        has_requests = not (process.ingress.is_idle and process.target.is_idle)
        return has_requests or self._is_sending

    @property
    def _is_sending(self) -> bool:
        process = self.process
        return process.client_server.is_sending or is_sending(process.links)

    def _check(self) -> None:
        process = self.process
        now = self.reactor.seconds()
        elapsed = now - self.started_at
        if self._is_busy:
            self._busy_at = now
        if elapsed >= MIN_SERVING_S:
            process.client_server.start_closing()
        is_quiet = now - self._busy_at >= QUIET_S
        is_over = now >= self._ends_at
        if is_over or (is_quiet and elapsed >= MIN_SERVING_S + QUIET_S):
            self._finish()
            self._checks.stop()

    def _finish(self) -> None:
        process = self.process
        # Requests that arrive while the last answers are sent have no time left.
        now = Seconds(self.reactor.seconds())
        process.frontend.closing = Closing(accepts_until=now, ends_at=now)
        process.log.process(
            'stopped',
            unanswered=len(process.ingress.exchanges),
            running=len(process.target.in_flight),
        )
        for exchange in tuple(process.ingress.exchanges):
            process.ingress.expire(exchange)
        process.follower.stop()
        process.announcer.stop()
        process.links.close()
        self.reactor.callLater(FLUSH_S, self._stop_when_sent)

    def _stop_when_sent(self) -> None:
        grace_s = self.process.settings.lifecycle.grace_s
        kill_at = self.started_at + grace_s - KILL_MARGIN_S
        if self._is_sending and self.reactor.seconds() < kill_at:
            self.reactor.callLater(_CHECK_S, self._stop_when_sent)
        else:
            self.on_stopped()
