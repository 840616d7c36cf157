"""HTTP interface of the stand-in for a backend server."""

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
    """Delays health reports by a fixed lag, as the platform does.

    Attributes
    ----------
    lag_s
        Age in seconds that a state must have before it is reported.
    latest
        Newest state that is old enough to be reported.
    """

    def __init__(self, lag_s: float, initial: Health) -> None:
        self.lag_s = lag_s
        self.latest = initial
        self._pending: deque[tuple[float, Health]] = deque()

    def record(self, now: float, health: Health) -> None:
        """Record the health at time ``now``."""
        self._pending.append((now + self.lag_s, health))

    def reported_at(self, now: float) -> Health:
        """Return the newest recorded health that is at least ``lag_s`` old."""
        while self._pending and self._pending[0][0] <= now:
            self.latest = self._pending.popleft()[1]
        return self.latest


class BackendApp:
    """Serves one backend server as section 8.3 of the design page specifies."""

    app = Klein()

    def __init__(self, settings: BackendSettings, clock: IReactorTime) -> None:
        self.clock = clock
        self.model = BackendModel(settings, clock.seconds())
        self.reported = LaggingHealth(settings.health_lag_s, self._health())

    @app.route('/health', methods=['GET'])
    def health(self, request: IRequest) -> bytes:
        """Answer with the health of ``health_lag_s`` ago."""
        return json_answer(request, HTTPStatus.OK, self._lagged_health())

    @app.route('/executions', methods=['GET'])
    def executions(self, request: IRequest) -> bytes:
        """Answer with the number of started calls by request id."""
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
    def apply_faults(self, request: IRequest) -> bytes:
        """Apply the faults in the body."""
        try:
            faults = msgspec.json.decode(request.content.read(), type=Faults)
        except msgspec.MsgspecError as error:
            return json_answer(
                request, HTTPStatus.BAD_REQUEST, {'error': str(error)}
            )
        self.model.apply_faults(faults, self.clock.seconds())
        self._record_health()
        return json_answer(request, HTTPStatus.OK, faults)

    @app.route('/', methods=['POST'], branch=True)
    async def call(self, request: IRequest) -> bytes:
        """Run one call; it is cancelled if its connection closes."""
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
        self._record_health()
        # klein cancels this deferred when the connection closes.
        running = deferLater(self.clock, duration_s)
        running.addBoth(self._finish)
        await running

    def _finish(self, outcome: object) -> object:
        self.model.finish()
        self._record_health()
        return outcome

    def _health(self) -> Health:
        return self.model.health(self.clock.seconds())

    def _record_health(self) -> None:
        self.reported.record(self.clock.seconds(), self._health())

    def _lagged_health(self) -> Health:
        self._record_health()
        return self.reported.reported_at(self.clock.seconds())

    def _set_load(self, request: IRequest) -> None:
        latest = self._lagged_health()
        load = (
            f'in_flight={latest.in_flight} cold={int(latest.cold)} '
            f'draining={int(latest.draining)} boot={latest.boot}'
        )
        request.setHeader('Bilberryrail-Load', load)
