"""HTTP interface of a backend server stand-in."""

from collections import deque
from http import HTTPStatus

import msgspec
from klein import Klein
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater
from twisted.web.iweb import IRequest

from bilberryrail.standins.answers import json_answer
from bilberryrail.standins.backend_model import (
    BackendModel,
    BackendSettings,
    Faults,
    Health,
    Refusal,
)


class CallBody(msgspec.Struct):
    """Body of a call; other fields are ignored."""

    request: str


class LaggingHealth:
    """Remembers health so that reports are older than the truth."""

    def __init__(self, lag_s: float, initial: Health) -> None:
        self.lag_s = lag_s
        self.shown = initial
        self._pending: deque[tuple[float, Health]] = deque()

    def note(self, now: float, health: Health) -> None:
        """Record the health at this moment."""
        self._pending.append((now + self.lag_s, health))

    def shown_at(self, now: float) -> Health:
        """Return the newest health that is at least the lag old."""
        while self._pending and self._pending[0][0] <= now:
            self.shown = self._pending.popleft()[1]
        return self.shown


class BackendApp:
    """One backend server, served as section 8.3 of the design page says."""

    app = Klein()

    def __init__(self, settings: BackendSettings, clock: IReactorTime) -> None:
        self.clock = clock
        self.model = BackendModel(settings, clock.seconds())
        self.reported = LaggingHealth(settings.health_lag_s, self._health())

    @app.route('/health', methods=['GET'])
    def health(self, request: IRequest) -> bytes:
        """Answer the lagging health."""
        return json_answer(request, HTTPStatus.OK, self._lagging())

    @app.route('/executions', methods=['GET'])
    def executions(self, request: IRequest) -> bytes:
        """Answer how often each request id was started."""
        model = self.model
        body = {
            'server': model.settings.name,
            'total': model.executions.total(),
            'refused': model.refused,
            'max_in_flight_cold': model.max_in_flight_cold,
            'max_cold_excess': model.max_cold_excess,
            'counts': model.executions,
        }
        return json_answer(request, HTTPStatus.OK, body)

    @app.route('/faults', methods=['POST'])
    def switch_faults(self, request: IRequest) -> bytes:
        """Switch the mode."""
        try:
            faults = msgspec.json.decode(request.content.read(), type=Faults)
        except msgspec.MsgspecError as error:
            return json_answer(
                request, HTTPStatus.BAD_REQUEST, {'error': str(error)}
            )
        self.model.switch(faults, self.clock.seconds())
        self._note()
        return json_answer(request, HTTPStatus.OK, faults)

    @app.route('/', methods=['POST'], branch=True)
    async def call(self, request: IRequest) -> bytes:
        """Run one call; a closed connection cancels it."""
        try:
            body = msgspec.json.decode(request.content.read(), type=CallBody)
        except msgspec.MsgspecError as error:
            return json_answer(
                request, HTTPStatus.BAD_REQUEST, {'error': str(error)}
            )
        started = self.model.start(body.request, self.clock.seconds())
        self._set_load(request)
        if isinstance(started, Refusal):
            return json_answer(
                request,
                HTTPStatus.SERVICE_UNAVAILABLE,
                {'error': started.value},
            )
        await self._run(started)
        self._set_load(request)
        return json_answer(
            request, HTTPStatus.OK, self.model.answer(body.request)
        )

    async def _run(self, duration_s: float) -> None:
        self._note()
        # klein cancels this when the connection closes.
        running = deferLater(self.clock, duration_s)
        running.addBoth(self._finish)
        await running

    def _finish(self, outcome: object) -> object:
        self.model.finish()
        self._note()
        return outcome

    def _health(self) -> Health:
        return self.model.health(self.clock.seconds())

    def _note(self) -> None:
        self.reported.note(self.clock.seconds(), self._health())

    def _lagging(self) -> Health:
        self._note()
        return self.reported.shown_at(self.clock.seconds())

    def _set_load(self, request: IRequest) -> None:
        shown = self._lagging()
        load = (
            f'in_flight={shown.in_flight} cold={int(shown.cold)} '
            f'draining={int(shown.draining)} boot={shown.boot}'
        )
        request.setHeader('Bilberryrail-Load', load)
