"""Answers the platform's questions and takes backend servers' announcements."""

from http import HTTPStatus
from typing import Any, Final, Protocol

from twisted.internet.defer import Deferred

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.load_report import Heartbeat
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import HttpAnswer, HttpRequest
from bilberryrail.gateway.dialect import Departure, Dialect
from bilberryrail.gateway.event_log import EventLog
from bilberryrail.gateway.http_server import Respond
from bilberryrail.gateway.settings import GatewaySettings

#: Longest wait for the store before a departure is acknowledged. The
#: acknowledgement binds this node at once; the store only keeps it for a
#: restart.
DEPARTURE_WAIT_S: Final = 0.5

_OK: Final = HttpAnswer(HTTPStatus.OK, (), b'{}', is_own=True)
_NOT_READY: Final = HttpAnswer(
    HTTPStatus.SERVICE_UNAVAILABLE,
    is_own=True,
)
_NOT_FOUND: Final = HttpAnswer(HTTPStatus.NOT_FOUND, is_own=True)
_UNREADABLE: Final = HttpAnswer(HTTPStatus.BAD_REQUEST, is_own=True)


class Owner(Protocol):
    """The process, as these services see it."""

    reactor: Any
    settings: GatewaySettings
    dialect: Dialect
    backend: Backend
    operators: OperatorState
    log: EventLog

    @property
    def is_ready(self) -> bool:
        """Whether clients may be sent here."""

    def backend_changed(self) -> 'Deferred[bool] | None':
        """Tell the other nodes; returns the store's acknowledgement."""


class ReadyService:
    """Says whether clients may be sent to this node."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> None:
        """Answer with 200 or 503."""
        is_ready = self.owner.is_ready
        if not self.owner.dialect.is_ready_question(request):
            respond(_NOT_FOUND)
        else:
            respond(_OK if is_ready else _NOT_READY)


class ControlService:
    """Takes heartbeats and departures of the backend server."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def serve(
        self,
        request: HttpRequest,
        client: str,
        respond: Respond,
    ) -> None:
        """Acknowledge an announcement once it binds this node."""
        found = self.owner.dialect.announcement(request)
        match found:
            case Heartbeat() if self._is_known(found):
                self._heard(found)
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

    def _heard(self, beat: Heartbeat) -> None:
        now = Seconds(self.owner.reactor.seconds())
        if not self.owner.backend.heartbeat_received(beat, now):
            self.owner.log.process(
                'old_heartbeat',
                instance=beat.instance,
                sequence=beat.sequence,
                born_ms=beat.born_ms,
            )

    def _is_known(self, beat: Heartbeat) -> bool:
        """Tell whether a heartbeat names the backend server of this node."""
        if beat.address != self.owner.settings.backend:
            return False
        config = self.owner.operators.config
        return config is None or beat.service in config.services

    def _respond_when(self, stored: Any, respond: Respond) -> None:
        timer = self.owner.reactor.callLater(DEPARTURE_WAIT_S, respond, _OK)

        def acknowledge(_: Any) -> None:  # noqa: WPS430
            if timer.active():
                timer.cancel()
                respond(_OK)

        stored.addBoth(acknowledge)
