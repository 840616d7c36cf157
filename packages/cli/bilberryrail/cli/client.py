"""HTTP client for the operator endpoint of the nodes."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import msgspec
import treq
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
)
from twisted.web.client import (
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ResponseFailed,
)

from bilberryrail.cli.errors import BadInput, ClientError, Unreachable
from bilberryrail.cli.messages import ChangeVerdict, Plan, Rejection, Status
from bilberryrail.core.errors import DECODE_ERRORS

#: Time limit for the answer of one address, in seconds.
REQUEST_TIMEOUT_S = 5.0
#: Errors that treq raises if an address sends no complete answer.
_REQUEST_ERRORS = (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
    CancelledError,
    ResponseFailed,
    RequestGenerationFailed,
    RequestTransmissionFailed,
)

Answer = TypeVar('Answer')


@dataclass(frozen=True, slots=True)
class ReceivedPlan:
    """A plan and the bytes from which it was decoded.

    The bytes are sent unchanged to confirm the plan, so that fields that this
    version does not know reach the node.
    """

    plan: Plan
    raw: bytes


class _Accepted(msgspec.Struct):
    """Answer to a confirmation."""

    record_id: str


class OperatorClient:
    """Sends each request to one address after another until one answers.

    Every request is safe to retry. A request for a plan or a status changes
    nothing. A confirmation carries the record id of its change, and nodes
    that replay the log drop a second record with the same id.

    Attributes
    ----------
    addresses
        Operator addresses of nodes, as ``HOST:PORT``. An address that answers
        moves to the front, so that the next request tries it first.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses

    async def plan(self, intent: bytes) -> Result[ReceivedPlan, ClientError]:
        """Request the plan for an intent, given as JSON."""
        body = await self._send('POST', 'plan', intent)
        return body.and_then(parse_plan)

    async def confirm(self, plan: ReceivedPlan) -> Result[str, ClientError]:
        """Confirm a plan and return the record id of its change."""
        body = await self._send('POST', 'confirm', plan.raw)
        accepted = body.and_then(lambda raw: _decode(raw, _Accepted))
        return accepted.map(lambda answer: answer.record_id)

    async def verdict(
        self,
        record_id: str,
    ) -> Result[ChangeVerdict, ClientError]:
        """Request the verdict on the change with a record id."""
        body = await self._send('GET', f'changes/{record_id}')
        return body.and_then(lambda raw: _decode(raw, ChangeVerdict))

    async def status(self) -> Result[Status, ClientError]:
        """Request the status of the system."""
        body = await self.raw_status()
        return body.and_then(lambda raw: _decode(raw, Status))

    async def raw_status(self) -> Result[bytes, ClientError]:
        """Request the status of the system as the JSON that the node sends."""
        return await self._send('GET', 'status')

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> Result[bytes, ClientError]:
        failures: list[str] = []
        for address in self.addresses:
            # In sequence: the next address is tried only if this one fails.
            answer = await _send_once(  # noqa: WPS476
                method,
                address,
                path,
                body,
            )
            match answer:
                case Err(_AttemptFailed(reason)):
                    failures.append(f'{address}: {reason}')
                case _:
                    self._move_to_front(address)
                    return answer
        return Err(Unreachable(tuple(failures)))

    def _move_to_front(self, address: str) -> None:
        others = tuple(other for other in self.addresses if other != address)
        self.addresses = (address, *others)


@dataclass(frozen=True, slots=True)
class _AttemptFailed:
    """One address sent no usable answer, so the next one is tried."""

    reason: str


def parse_plan(raw: bytes) -> Result[ReceivedPlan, ClientError]:
    """Decode a plan from JSON that a node sent or that a file holds."""
    return _decode(raw, Plan).map(lambda plan: ReceivedPlan(plan, raw))


async def _send_once(
    method: str,
    address: str,
    path: str,
    body: bytes,
) -> Result[bytes, BadInput | _AttemptFailed]:
    url = f'http://{address}/v1/operator/{path}'
    try:
        status, received = await _exchange(method, url, body)
    except _REQUEST_ERRORS as error:
        return Err(_AttemptFailed(_describe_error(error)))
    if status < HTTPStatus.BAD_REQUEST:
        return Ok(received)
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Err(_client_error(status, received))
    return Err(_AttemptFailed(_describe_server_error(status, received)))


async def _exchange(method: str, url: str, body: bytes) -> tuple[int, bytes]:
    response = await treq.request(
        method,
        url,
        data=body,
        headers={'Content-Type': 'application/json'},
        timeout=REQUEST_TIMEOUT_S,
        persistent=False,
    )
    return response.code, await treq.content(response)


def _describe_error(error: Exception) -> str:
    if isinstance(error, CancelledError | ConnectingCancelledError):
        return f'no answer within {REQUEST_TIMEOUT_S} s'
    if isinstance(error, ConnectError):
        return 'connection refused'
    return 'connection closed before the answer'


def _describe_server_error(status: int, body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=Rejection).error
    except DECODE_ERRORS:
        return f'HTTP status {status}'


def _client_error(status: int, body: bytes) -> BadInput:
    try:
        rejection = msgspec.json.decode(body, type=Rejection)
    except DECODE_ERRORS:
        return BadInput(f'the node answered with HTTP status {status}')
    where = f'{rejection.field}: ' if rejection.field else ''
    return BadInput(f'{where}{rejection.error}')


def _decode(
    raw: bytes,
    answer_type: type[Answer],
) -> Result[Answer, ClientError]:
    try:
        return Ok(msgspec.json.decode(raw, type=answer_type))
    except DECODE_ERRORS as error:
        return Err(
            BadInput(f'not a valid {answer_type.__name__.strip("_")}: {error}'),
        )
