"""Client of the backend server of this node; section 8.3 of the design page."""

import re
from functools import partial
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote

import msgspec
from twisted.internet import error
from twisted.python.failure import Failure

from bilberryrail.core.errors import DECODE_ERRORS
from bilberryrail.node.backend_pool import BackendPool
from bilberryrail.node.bodies import StoredAttempt
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.http_response import HttpResponse
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

#: Bound on connections to a backend server whose service is not configured
#: yet.
DEFAULT_CONNECTIONS: Final = 2
#: Time in seconds after which a health check counts as failed.
HEALTH_TIMEOUT_S: Final = 1.0

_LOAD: Final = re.compile(
    r'in_flight=(\d{1,9}) cold=([01]) draining=([01]) boot=([\w.-]{1,64})',
)
_CONTROL_CHARACTERS: Final = re.compile(r'[\x00-\x1f\x7f]+')
#: Characters of a path and query that are not percent-encoded again.
_PATH_CHARACTERS: Final = "%/?:@!$&'()*+,;=~[]"


class _Health(msgspec.Struct):
    """JSON body of the response to ``GET /health``."""

    in_flight: int
    cold: bool | int
    draining: bool | int
    boot: str | int


class BackendClient:
    """Sends calls to the backend server and reports how they ended.

    Attributes
    ----------
    running
        Deferreds of the dispatches that have not ended.
    """

    def __init__(self, engine_task: EngineTask, settings: NodeSettings) -> None:
        self.engine_task = engine_task
        self.settings = settings
        backend = settings.backend
        self.host = f'{backend.host}:{backend.port}'
        self.pool = BackendPool(
            engine_task.reactor,
            backend,
            settings.max_body_bytes,
        )
        self.running: dict[DispatchId, Any] = {}

    def dispatch(self, action: Dispatch, stored: StoredAttempt) -> None:
        """Send a call to the backend server exactly once."""
        dispatch = action.dispatch
        connections = self._connections()
        self.pool.limit = connections
        if len(self.running) >= connections:
            reason = f'all {connections} connections are in use'
            self._report(BackendFailed(dispatch, False, reason))
            return
        response = self.pool.send(self._request(action, stored))
        self.running[dispatch] = response
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
        """Send a health check to the backend server."""
        self.pool.close_idle()
        request = f'GET /health HTTP/1.1\r\nHost: {self.host}\r\n\r\n'
        response = self.pool.send(request.encode('ascii'))
        response.addTimeout(HEALTH_TIMEOUT_S, self.engine_task.reactor)
        response.addCallbacks(
            self._health_answered,
            lambda _: self._report(BackendHealth(None)),
        )

    def _connections(self) -> int:
        service = self.settings.engine.identity.service
        plane = self.engine_task.engine.plane
        config = plane.state.services.get(service)
        if config is None:
            return DEFAULT_CONNECTIONS
        return config.limits.connections

    def _request(self, action: Dispatch, stored: StoredAttempt) -> bytes:
        payload = stored.payload
        path = quote(payload.path, safe=_PATH_CHARACTERS)
        remaining_ms = max(action.remaining_s * 1000, 0)
        lines = [
            f'POST /{path} HTTP/1.1',
            f'Host: {self.host}',
            f'Content-Length: {len(payload.body)}',
            f'Bilberryrail-Parent: {action.dispatch}',
            f'Bilberryrail-Deadline-Ms: {remaining_ms:.3f}',
            f'Bilberryrail-Tenant: {_header_value(stored.tenant)}',
        ]
        if payload.content_type:
            lines.append(f'Content-Type: {_header_value(payload.content_type)}')
        head = '\r\n'.join((*lines, '', ''))
        return head.encode() + payload.body

    def _answered(self, dispatch: DispatchId, answer: HttpResponse) -> None:
        self.running.pop(dispatch, None)
        event = BackendAnswered(
            dispatch=dispatch,
            status=answer.status,
            size=len(answer.body),
            report=parse_load(answer.headers.get('bilberryrail-load')),
        )
        content_type = answer.headers.get('content-type', '')
        payload = AnswerContent(content_type, answer.body)
        self.engine_task.submit(event, payload)

    def _failed(self, dispatch: DispatchId, failure: Failure) -> None:
        self.running.pop(dispatch, None)
        # After a ConnectError no byte was sent, as there was no connection.
        # After any other error, such as the loss of a reused connection, the
        # call may have reached the backend server.
        started = failure.check(error.ConnectError) is None
        reason = f'{failure.type.__name__}: {failure.getErrorMessage()}'
        self._report(BackendFailed(dispatch, started, reason))

    def _health_answered(self, answer: HttpResponse) -> None:
        report = None
        if answer.status == HTTPStatus.OK:
            report = _health_report(answer.body)
        self._report(BackendHealth(report))

    def _report(self, event: BackendFailed | BackendHealth) -> None:
        self.engine_task.submit(event)


def parse_load(text: str | None) -> BackendReport | None:
    """Parse the header ``Bilberryrail-Load``; None if missing or malformed."""
    match = _LOAD.fullmatch(text or '')
    if match is None:
        return None
    return BackendReport(
        in_flight=int(match[1]),
        cold=match[2] == '1',
        draining=match[3] == '1',
        boot=match[4],
    )


def _header_value(text: str) -> str:
    """Replace control characters, which could end the header early."""
    return _CONTROL_CHARACTERS.sub(' ', text)


def _health_report(body: bytes) -> BackendReport | None:
    try:
        health = msgspec.json.decode(body, type=_Health)
    except DECODE_ERRORS:
        return None
    return BackendReport(
        in_flight=health.in_flight,
        cold=bool(health.cold),
        draining=bool(health.draining),
        boot=str(health.boot),
    )
