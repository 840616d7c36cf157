"""Client of the backend server beside this node; section 8.3."""

import re
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

import msgspec
from twisted.internet import error
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from bilberryrail.node.bodies import StoredAttempt
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.http_body import read_body
from bilberryrail.node.http_client import PooledClient
from bilberryrail.policy.actions import Dispatch
from bilberryrail.policy.events import (
    BackendAnswered,
    BackendFailed,
    BackendHealth,
    BackendReport,
    DispatchId,
)
from bilberryrail.settings.node import NodeSettings
from bilberryrail.wire.content import AnswerContent

#: Connections of a backend server whose service is not configured yet.
FALLBACK_CONNECTIONS: Final = 2
#: Time after which a health check counts as failed.
HEALTH_TIMEOUT_S: Final = 1.0

_LOAD: Final = re.compile(
    r'in_flight=(\d{1,9}) cold=([01]) draining=([01]) boot=([\w.-]{1,64})',
)
#: Characters of a path and query that are sent as the caller wrote them.
_PATH_CHARACTERS: Final = "%/?:@!$&'()*+,;=~[]"


class _Health(msgspec.Struct):
    """JSON of ``GET /health``."""

    in_flight: int
    cold: bool | int
    draining: bool | int
    boot: str | int


@dataclass(frozen=True, slots=True)
class _Answer:
    """A whole answer of the backend server."""

    status: int
    payload: AnswerContent
    report: BackendReport | None


class BackendClient:
    """Sends dispatches and reports how they ended.

    Attributes
    ----------
    running
        Deferreds of dispatches without an end.
    """

    def __init__(self, engine_task: EngineTask, settings: NodeSettings) -> None:
        self.engine_task = engine_task
        self.settings = settings
        backend = settings.backend
        self.base_url = f'http://{backend.host}:{backend.port}'
        self.http = PooledClient(
            engine_task.reactor,
            backend.connect_timeout_s,
        )
        self.running: dict[DispatchId, Any] = {}

    def dispatch(self, action: Dispatch, stored: StoredAttempt) -> None:
        """Send a call to the backend server once."""
        dispatch = action.dispatch
        connections = self._connections()
        self.http.pool.maxPersistentPerHost = connections
        if len(self.running) >= connections:
            reason = f'all {connections} connections are in use'
            self._report(BackendFailed(dispatch, False, reason))
            return
        payload = stored.payload
        path = quote(payload.path, safe=_PATH_CHARACTERS)
        response = self.http.post(
            f'{self.base_url}/{path}'.encode('ascii'),
            _headers(action, stored),
            payload.body,
        )
        self.running[dispatch] = response
        response.addCallback(self._read)
        response.addCallbacks(
            partial(self._answered, dispatch),
            partial(self._failed, dispatch),
        )

    def abort(self, dispatch: DispatchId) -> None:
        """Close the connection of a dispatch, which cancels the call."""
        response = self.running.get(dispatch)
        if response is not None:
            response.cancel()

    def check_health(self) -> None:
        """Ask the backend server how it is."""
        response = self.http.request(
            'GET',
            f'{self.base_url}/health',
            timeout=HEALTH_TIMEOUT_S,
        )
        response.addCallback(lambda found: self._read(found.original))
        response.addCallbacks(
            self._healthy,
            lambda _: self._report(BackendHealth(None)),
        )

    def _connections(self) -> int:
        service = self.settings.engine.identity.service
        plane = self.engine_task.engine.plane
        config = plane.state.services.get(service)
        if config is None:
            return FALLBACK_CONNECTIONS
        return config.limits.connections

    def _read(self, response: Any) -> Any:
        """Read a whole answer; a cut one is an error."""
        whole = read_body(response, self.settings.max_body_bytes)
        return whole.addCallback(partial(_answer, response))

    def _answered(self, dispatch: DispatchId, answer: _Answer) -> None:
        self.running.pop(dispatch, None)
        event = BackendAnswered(
            dispatch=dispatch,
            status=answer.status,
            size=len(answer.payload.body),
            report=answer.report,
        )
        self.engine_task.submit(event, answer.payload)

    def _failed(self, dispatch: DispatchId, failure: Failure) -> None:
        self.running.pop(dispatch, None)
        # ConnectError: no connection was made, so no byte was sent. Everything
        # else, such as a reused connection that the server closed, may have
        # reached the backend server.
        started = failure.check(error.ConnectError) is None
        reason = f'{failure.type.__name__}: {failure.getErrorMessage()}'
        self._report(BackendFailed(dispatch, started, reason))

    def _healthy(self, answer: _Answer) -> None:
        report = None
        if answer.status == HTTPStatus.OK:
            report = _health_report(answer.payload.body)
        self._report(BackendHealth(report))

    def _report(self, event: BackendFailed | BackendHealth) -> None:
        self.engine_task.submit(event)


def parse_load(text: str | None) -> BackendReport | None:
    """Read the header ``Bilberryrail-Load``; None if it is malformed."""
    match = _LOAD.fullmatch(text or '')
    if match is None:
        return None
    return BackendReport(
        in_flight=int(match[1]),
        cold=match[2] == '1',
        draining=match[3] == '1',
        boot=match[4],
    )


def _answer(response: Any, body: bytes) -> _Answer:
    content_type = _header(response, 'content-type') or ''
    return _Answer(
        status=response.code,
        payload=AnswerContent(content_type, body),
        report=parse_load(_header(response, 'bilberryrail-load')),
    )


def _header(response: Any, name: str) -> str | None:
    found = response.headers.getRawHeaders(name)
    return found[0] if found else None


def _headers(action: Dispatch, stored: StoredAttempt) -> Headers:
    remaining_ms = max(action.remaining_s * 1000, 0)
    headers = {
        'Bilberryrail-Parent': [str(action.dispatch)],
        'Bilberryrail-Deadline-Ms': [f'{remaining_ms:.3f}'],
        'Bilberryrail-Tenant': [stored.tenant],
    }
    if stored.payload.content_type:
        headers['Content-Type'] = [stored.payload.content_type]
    return Headers(headers)


def _health_report(body: bytes) -> BackendReport | None:
    try:
        health = msgspec.json.decode(body, type=_Health)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return BackendReport(
        in_flight=health.in_flight,
        cold=bool(health.cold),
        draining=bool(health.draining),
        boot=str(health.boot),
    )
