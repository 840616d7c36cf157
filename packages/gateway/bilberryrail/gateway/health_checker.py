"""Periodic health checks of the backend server."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import Deferred, ensureDeferred

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Notice,
    NoticeSource,
)
from bilberryrail.forwarding.target import Target
from bilberryrail.gateway.dialect import Dialect
from bilberryrail.gateway.http_channel import ChannelError, HttpChannel
from bilberryrail.gateway.settings import Address
from bilberryrail.gateway.tasks import PeriodicTask

#: Interval of health checks, in seconds; each check is paid for.
INTERVAL_S: Final = 0.2

#: Timeout of one health check, in seconds.
TIMEOUT_S: Final = 0.6

_CONNECT_TIMEOUT_S: Final = 0.3

#: Largest body of an answer to a health check, in bytes; only the head of the
#: answer is evaluated.
MAX_ANSWER_BYTES: Final = 65536


class HealthChecker:
    """Sends health checks at a fixed interval, one at a time.

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
        self.ticks = PeriodicTask(reactor, INTERVAL_S, self.check_now, log)

    def start(self) -> None:
        """Start the periodic checks."""
        self.ticks.start()
        self.check_now()

    def check_now(self) -> None:
        """Start a health check unless one is running or no path is known."""
        rules = self.target.backend.rules
        if rules is not None and not self.is_running:
            self.is_running = True
            checking: Deferred[Any] = ensureDeferred(
                self._check(rules.health_path),
            )
            checking.addErrback(self._check_failed)

    def change_address(self, address: Address) -> None:
        """Check the backend server at another address from now on."""
        self.channel.close()
        self.address = address
        self.channel = self._open()

    def _open(self) -> HttpChannel:
        return HttpChannel(
            self.reactor,
            self.address.host,
            self.address.port,
            _CONNECT_TIMEOUT_S,
            MAX_ANSWER_BYTES,
        )

    async def _check(self, path: str) -> None:
        backend = self.target.backend
        was_down = backend.down
        instance = backend.instance
        began_at = self.reactor.seconds()
        try:
            raw = await self.channel.request(
                b'GET', path.encode(), (), b'', TIMEOUT_S
            )
        except ChannelError as error:
            result = HealthResult(is_healthy=False)
            if 'refused' in str(error).lower():
                backend.connection_refused()
        else:
            took_s = self.reactor.seconds() - began_at
            backend.service_time.reported_slowdown.health_check_answered(took_s)
            result = self.dialect.health(raw.status, tuple(raw.headers))
        self.is_running = False
        backend.health_checked(
            result, Seconds(self.reactor.seconds()), Seconds(began_at)
        )
        self._pass_on_notice(result)
        if backend.down != was_down or backend.instance != instance:
            self.log(
                'backend_changed',
                instance=backend.instance,
                service=backend.service,
                phase=backend.phase.value,
                down=backend.down,
            )
        self.on_checked()

    def _pass_on_notice(self, result: HealthResult) -> None:
        """Pass on what an answer states; one that omits it proves nothing."""
        run = self.target.backend.run
        is_present = run is not None and result.instance == run.instance
        if is_present and result.notice not in {None, Notice()}:
            self.target.notice_received(
                result.notice, run, NoticeSource.HEALTH_CHECK
            )

    def _check_failed(self, failure: Any) -> None:
        self.is_running = False
        self.log('health_check_broken', reason=failure.getTraceback())
