"""Answers readiness checks; receives announcements of the backend server."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, Protocol

from twisted.internet.defer import Deferred

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.load_report import Heartbeat
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import (
    ClientLimits,
    HttpAnswer,
    HttpRequest,
)
from bilberryrail.gateway.dialect import Departure, Dialect
from bilberryrail.gateway.event_log import EventLog
from bilberryrail.gateway.http_server import HttpServer, Respond, Service
from bilberryrail.gateway.presence import wall_ms
from bilberryrail.gateway.settings import GatewaySettings

#: Longest wait for the store before a departure is acknowledged, in seconds.
#: This node observes the departure at once; the store only preserves it across
#: a restart of the node.
DEPARTURE_WAIT_S: Final = 0.5

#: Largest body that the platform or the backend server may send to a node, in
#: bytes. An announcement has some 300.
MAX_LOCAL_BODY_BYTES: Final = 65_536

_OK: Final = HttpAnswer(HTTPStatus.OK, (), b'{}', is_own=True)
_NOT_READY: Final = HttpAnswer(
    HTTPStatus.SERVICE_UNAVAILABLE,
    is_own=True,
)
_NOT_FOUND: Final = HttpAnswer(HTTPStatus.NOT_FOUND, is_own=True)
_UNREADABLE: Final = HttpAnswer(HTTPStatus.BAD_REQUEST, is_own=True)


class Owner(Protocol):
    """The part of the process that these services use."""

    reactor: Any
    settings: GatewaySettings
    dialect: Dialect
    backend: Backend
    operators: OperatorState
    log: EventLog

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send clients to this node."""

    def backend_changed(self) -> 'Deferred[bool] | None':
        """Announce the backend server's new state to the other nodes.

        Returns a Deferred for the store's acknowledgement if the backend
        server leaves, and None otherwise.
        """


def local_server(
    reactor: Any, service: Service, log: Callable[..., None]
) -> HttpServer:
    """Build a server for the platform and the backend server.

    Its limits are not those of the configuration, which apply to clients. A
    faulty backend server may send announcements without end.
    """
    server = HttpServer(reactor, service, log)
    server.limits = ClientLimits(body_bytes=MAX_LOCAL_BODY_BYTES)
    return server


class ReadyService:
    """Answers the readiness checks of the platform."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> None:
        """Answer 200 if the node is ready, 503 if not, 404 for other paths."""
        is_ready = self.owner.is_ready
        if not self.owner.dialect.is_readiness_check(request):
            respond(_NOT_FOUND)
        else:
            respond(_OK if is_ready else _NOT_READY)


class ControlService:
    """Receives heartbeats and departures of the backend server."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> None:
        """Apply an announcement, then acknowledge it.

        A departure is acknowledged after the store has it, or after
        ``DEPARTURE_WAIT_S``.
        """
        found = self.owner.dialect.announcement(request)
        match found:
            case Heartbeat() if self._is_own_backend(found):
                self._heartbeat_received(found)
            case Departure(instance=instance):
                self.owner.backend.instance_left(instance)
                self.owner.log.process('departure', instance=instance)
            case _:
                self.owner.log.process(
                    'announcement_ignored',
                    target=request.target.decode('latin-1'),
                    size=len(request.body),
                )
                respond(_UNREADABLE)
                return
        stored = self.owner.backend_changed()
        if stored is None:
            respond(_OK)
        else:
            self._respond_when(stored, respond)

    def _heartbeat_received(self, heartbeat: Heartbeat) -> None:
        now = Seconds(self.owner.reactor.seconds())
        if not self.owner.backend.heartbeat_received(heartbeat, now):
            self.owner.log.process(
                'old_heartbeat',
                instance=heartbeat.instance,
                sequence=heartbeat.sequence,
                born_ms=heartbeat.born_ms,
            )

    def _is_own_backend(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is of this node's backend server.

        It has to come from the configured address, and its service has to be
        in the configuration if there is one. One that states a start in the
        future would make all later ones look old.
        """
        if heartbeat.born_ms > wall_ms() + MAX_CLOCK_LEAD_MS:
            return False
        if heartbeat.address != self.owner.settings.backend:
            return False
        config = self.owner.operators.config
        return config is None or heartbeat.service in config.services

    def _respond_when(self, stored: Any, respond: Respond) -> None:
        timer = self.owner.reactor.callLater(DEPARTURE_WAIT_S, respond, _OK)

        def acknowledge(_: Any) -> None:  # noqa: WPS430
            if timer.active():
                timer.cancel()
                respond(_OK)

        stored.addBoth(acknowledge)
