"""HTTP server for callers; section 4.1 of the design page."""

import itertools
from http import HTTPStatus
from typing import Any

from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from bilberryrail.core.ids import CallId, ServiceId
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.node import caller_reply, caller_request, logs
from bilberryrail.node.call_watchdog import DEFAULT_DEADLINE_S, CallWatchdog
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.metrics import Step
from bilberryrail.policy import actions
from bilberryrail.policy.events import (
    CallArrived,
    CallerGone,
    ReservationAsked,
    Token,
)
from bilberryrail.policy.intake import outcome_if_unsent
from bilberryrail.wire.content import CallContent

_Checked = Result[
    tuple[ServiceId, caller_request.ControlHeaders],
    caller_request.RequestFault,
]


class CallerServer:
    """Passes calls to the engine and writes the final responses.

    Attributes
    ----------
    waiting
        Requests without a final response, and the deferred of each one.
    """

    app = Klein()

    def __init__(self, engine_task: EngineTask) -> None:
        self.engine_task = engine_task
        self.metrics = engine_task.metrics
        self.waiting: dict[CallId, tuple[Any, Deferred[bytes]]] = {}
        self.ids = itertools.count(1)
        self.watchdog = CallWatchdog(engine_task.reactor, self._expire)
        self.metrics.waiting_callers = self.waiting.__len__

    @app.route('/v1/services/<service>/calls', methods=['POST'])
    @app.route('/v1/services/<service>/calls/<path:_suffix>', methods=['POST'])
    def call(self, request: Any, service: str, _suffix: str = '') -> Any:
        """Start a call."""
        started_at = self.engine_task.reactor.seconds()
        checked = _check(request, service)
        if not isinstance(checked, Ok):
            return self._refuse(request, checked.unwrap_err())
        service_id, headers = checked.ok_value
        if self.engine_task.stopped:
            return self._refuse_stopped(request, headers.token)
        call = CallId(next(self.ids))
        payload = CallContent(
            path=_suffix_of(request.uri),
            content_type=request.getHeader('content-type') or '',
            body=request.content.read(),
        )
        event = caller_request.call_event(
            call,
            service_id,
            headers,
            len(payload.body),
        )
        response = self._register(request, event)
        elapsed = self.engine_task.reactor.seconds() - started_at
        self.metrics.observe(Step.PARSE, elapsed)
        self.engine_task.submit(event, payload)
        return response

    @app.route('/v1/services/<service>/reservations', methods=['POST'])
    def reserve(self, request: Any, service: str) -> Any:
        """Request a reservation."""
        checked = _check(request, service)
        if not isinstance(checked, Ok):
            return self._refuse(request, checked.unwrap_err())
        service_id, headers = checked.ok_value
        if self.engine_task.stopped:
            return self._refuse_stopped(request)
        call = CallId(next(self.ids))
        event = caller_request.reservation_event(call, service_id, headers)
        response = self._register(request, event)
        self.engine_task.submit(event)
        return response

    def complete(
        self,
        action: actions.CompleteCall,
    ) -> None:
        """Write the answer to an attempt as the final response."""
        bodies = self.engine_task.bodies
        answer = bodies.answers.pop((action.peer, action.attempt), None)
        if answer is None:
            self.finish(
                action.call,
                Outcome.UNKNOWN,
                caller_reply.rejected(
                    Outcome.UNKNOWN,
                    Reason.INCOMPLETE_ANSWER,
                    0,
                ),
            )
            return
        reply = caller_reply.completed(
            action.status,
            answer.content_type,
            answer.body,
        )
        self.finish(action.call, Outcome.COMPLETED, reply)

    def reject(self, action: actions.RejectCall) -> None:
        """Write a final response with the reason why there is no answer."""
        self.metrics.count_refusal(action.reason)
        reply = caller_reply.rejected(
            action.outcome,
            action.reason,
            action.retry_after_s,
        )
        self.finish(action.call, action.outcome, reply)

    def grant(self, action: actions.GrantReservation) -> None:
        """Write a final response with the token of a reservation."""
        reply = caller_reply.granted(action.token)
        self.finish(action.call, Outcome.COMPLETED, reply)

    def finish(
        self,
        call: CallId,
        outcome: Outcome,
        reply: caller_reply.Reply,
    ) -> None:
        """Write a final response, unless the caller has disconnected."""
        self.engine_task.bodies.calls.pop(call, None)
        self.watchdog.forget(call)
        request, response = self.waiting.pop(call, (None, None))
        if request is None:
            return
        self.metrics.count_outcome(outcome)
        response.callback(_write(request, reply))

    def _register(
        self,
        request: Any,
        event: CallArrived | ReservationAsked,
    ) -> Deferred[bytes]:
        call = event.call
        self.watchdog.watch(call, self._deadline_s(event))
        # The deferred is cancelled when the caller closes its connection.
        response: Deferred[bytes] = Deferred(
            lambda _: self._caller_disconnected(call)
        )
        self.waiting[call] = (request, response)
        return response

    def _deadline_s(self, event: CallArrived | ReservationAsked) -> float:
        if event.deadline_s is not None:
            return event.deadline_s
        services = self.engine_task.engine.plane.state.services
        config = services.get(event.service)
        return DEFAULT_DEADLINE_S if config is None else config.deadline_s

    def _expire(self, call: CallId) -> None:
        """End an overdue call with outcome unknown, because it may have run."""
        logs.warning('call_not_ended', call=call)
        reply = caller_reply.rejected(Outcome.UNKNOWN, Reason.DEADLINE, 0)
        self.finish(call, Outcome.UNKNOWN, reply)
        self.engine_task.submit(CallerGone(call))

    def _caller_disconnected(self, call: CallId) -> None:
        self.watchdog.forget(call)
        if self.waiting.pop(call, None):
            self.engine_task.submit(CallerGone(call))

    def _refuse_stopped(
        self, request: Any, token: Token | None = None
    ) -> bytes:
        """Refuse a call that arrives after the engine has stopped."""
        outcome = outcome_if_unsent(token)
        self.metrics.count_outcome(outcome)
        self.metrics.count_refusal(Reason.DRAINING)
        reply = caller_reply.rejected(outcome, Reason.DRAINING, 0)
        return _write(request, reply)

    def _refuse(
        self, request: Any, fault: caller_request.RequestFault
    ) -> bytes:
        self.metrics.count_outcome(Outcome.INVALID)
        self.metrics.count_refusal(fault.reason)
        reply = caller_reply.rejected(
            Outcome.INVALID,
            fault.reason,
            0,
            fault.status,
        )
        request.setHeader('Bilberryrail-Detail', fault.text)
        return _write(request, reply)


def _check(request: Any, service: str) -> _Checked:
    """Run all checks that do not depend on the cluster state."""
    if request.too_large:
        limit = request.channel.factory.max_body_bytes
        text = f'the body exceeds {limit} bytes'
        return Err(
            caller_request.RequestFault(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Reason.TOO_LARGE, text
            )
        )
    service_id = caller_request.read_service(service)
    if service_id.is_err():
        return service_id
    headers = caller_request.read_headers(request.requestHeaders)
    return headers.map(lambda valid: (service_id.ok_value, valid))


def _suffix_of(uri: bytes) -> str:
    """Return the path and query that follow ``/calls`` in a request URI."""
    _, _, rest = uri.partition(b'/calls')
    return rest.removeprefix(b'/').decode('latin-1')


def _write(request: Any, reply: caller_reply.Reply) -> bytes:
    request.setResponseCode(reply.status)
    if reply.content_type:
        request.setHeader('Content-Type', reply.content_type)
    request.setHeader('Content-Length', str(len(reply.body)))
    for name, text in reply.headers:
        request.setHeader(name, text)
    return reply.body
