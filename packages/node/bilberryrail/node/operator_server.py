"""HTTP server for operators and metrics; section 8.4 of the design page."""

import uuid
from http import HTTPStatus
from typing import Any

import msgspec
from klein import Klein

from bilberryrail.control.intents import parse_intent
from bilberryrail.control.messages import AppendRequested
from bilberryrail.control.plan_json import plan_from_json, plan_to_json
from bilberryrail.control.planning import change_of, plan
from bilberryrail.core.ids import RecordId, Seconds
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.operator_status import status_json

#: Header that names the person who confirms a plan; the name is stored in the
#: log with the change.
AUTHOR: str = 'Bilberryrail-Author'


class OperatorServer:
    """Answers operators from the state of this node."""

    app = Klein()

    def __init__(self, engine_task: EngineTask) -> None:
        self.engine_task = engine_task

    @app.route('/v1/operator/plan', methods=['POST'])
    def plan(self, request: Any) -> bytes:
        """Compute the plan for an intent."""
        if request.too_large:
            return _error(
                request,
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                '',
                'the intent is too large',
            )
        record_id = RecordId(uuid.uuid4().hex)
        state = self.engine_task.engine.plane.state
        made = parse_intent(request.content.read()).and_then(
            lambda intent: plan(state, intent, record_id),
        )
        if made.is_err():
            error = made.unwrap_err()
            return _error(
                request, HTTPStatus.BAD_REQUEST, error.field, error.reason
            )
        return _json(request, HTTPStatus.OK, plan_to_json(made.unwrap()))

    @app.route('/v1/operator/confirm', methods=['POST'])
    def confirm(self, request: Any) -> bytes:
        """Append the change of a plan to the log."""
        if request.too_large:
            return _error(
                request,
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                '',
                'the plan is too large',
            )
        read = plan_from_json(request.content.read())
        if read.is_err():
            error = read.unwrap_err()
            return _error(
                request, HTTPStatus.BAD_REQUEST, error.field, error.reason
            )
        if not self.engine_task.engine.plane.log_available:
            reason = (
                'not accepted: the log service is not available and nothing '
                'was appended'
            )
            return _error(request, HTTPStatus.SERVICE_UNAVAILABLE, '', reason)
        author = request.getHeader(AUTHOR) or 'operator'
        change = change_of(read.unwrap(), author)
        self.engine_task.submit(AppendRequested(change))
        body = msgspec.json.encode({'record_id': change.record_id})
        return _json(request, HTTPStatus.ACCEPTED, body)

    @app.route('/v1/operator/changes/<record_id>', methods=['GET'])
    def change(self, request: Any, record_id: str) -> bytes:
        """Return the verdict of the replay on a change."""
        plane = self.engine_task.engine.plane
        outcome = plane.outcome(RecordId(record_id))
        body: dict[str, Any] = {
            'verdict': 'pending',
            'offset': None,
            'reason': '',
        }
        if outcome is not None:
            body = {
                'verdict': outcome.verdict.value,
                'offset': outcome.offset,
                'reason': outcome.reason,
            }
        return _json(request, HTTPStatus.OK, msgspec.json.encode(body))

    @app.route('/v1/operator/status', methods=['GET'])
    def status(self, request: Any) -> bytes:
        """Return how far the availability zones have applied the log."""
        engine = self.engine_task.engine
        now = Seconds(self.engine_task.reactor.seconds())
        body = status_json(engine.identity.node, engine.plane, now)
        return _json(request, HTTPStatus.OK, msgspec.json.encode(body))

    @app.route('/metrics', methods=['GET'])
    def metrics(self, request: Any) -> bytes:
        """Render the metrics of this node."""
        request.setHeader('Content-Type', 'text/plain; version=0.0.4')
        return self.engine_task.metrics.render()


def _json(request: Any, status: int, body: bytes) -> bytes:
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    request.setHeader('Content-Length', str(len(body)))
    return body


def _error(request: Any, status: int, field: str, reason: str) -> bytes:
    body = msgspec.json.encode({'error': reason, 'field': field})
    return _json(request, status, body)
