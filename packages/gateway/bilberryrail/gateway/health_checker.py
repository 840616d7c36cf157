"""Asks the backend server for its health."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import Deferred, ensureDeferred

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import HealthResult
from bilberryrail.forwarding.target import Target
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.http_channel import ChannelError, HttpChannel
from bilberryrail.gateway.settings import Address

#: Interval of health checks; each has a price.
INTERVAL_S: Final = 0.2

#: Time for one health check.
TIMEOUT_S: Final = 0.6

_CONNECT_TIMEOUT_S: Final = 0.3

#: Largest body of a health check that is read; only its head says anything.
MOST_ANSWER_BYTES: Final = 65536


class HealthChecker:
    """Sends a health check at a steady interval, one at a time.

    Attributes
    ----------
    on_checked
        Called after each check.
    """

    def __init__(
        self,
        reactor: Any,
        dialect: Dialect,
        address: Address,
        target: Target,
        log: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.address = address
        self.target = target
        self.log = log
        self.channel = self._open()
        self.on_checked: Callable[[], None] = target.process_queue
        self.is_running = False

    def start(self) -> None:
        """Begin to check."""
        self._tick()

    def look(self) -> None:
        """Check now, unless a check is under way."""
        rules = self.target.backend.rules
        if rules is not None and not self.is_running:
            self.is_running = True
            checking: Deferred[Any] = ensureDeferred(
                self._check(rules.health_path),
            )
            checking.addErrback(self._broken)

    def move(self, address: Address) -> None:
        """Check the health of a backend server at another address."""
        self.channel.close()
        self.address = address
        self.channel = self._open()

    def _open(self) -> HttpChannel:
        return HttpChannel(
            self.reactor,
            self.address.host,
            self.address.port,
            _CONNECT_TIMEOUT_S,
            MOST_ANSWER_BYTES,
        )

    def _tick(self) -> None:
        self.reactor.callLater(INTERVAL_S, self._tick)
        self.look()

    async def _check(self, path: str) -> None:
        backend = self.target.backend
        was_down = backend.down
        instance = backend.instance
        began_at = self.reactor.seconds()
        try:
            raw = await self.channel.ask(
                b'GET', path.encode(), (), b'', TIMEOUT_S
            )
        except ChannelError as error:
            result = HealthResult(is_healthy=False)
            if 'refused' in str(error).lower():
                backend.down = True
        else:
            took_s = self.reactor.seconds() - began_at
            backend.service_time.reported_slowdown.health_check_answered(took_s)
            result = self.dialect.health(raw.status, tuple(raw.headers))
        self.is_running = False
        backend.health_checked(result, Seconds(self.reactor.seconds()))
        if backend.down != was_down or backend.instance != instance:
            self.log(
                'backend_changed',
                instance=backend.instance,
                phase=backend.phase.value,
                down=backend.down,
            )
        self.on_checked()

    def _broken(self, failure: Any) -> None:
        self.is_running = False
        self.log('health_check_broken', reason=failure.getTraceback())
