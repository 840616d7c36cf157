"""Client of the operators' endpoint; tries one address after the other."""

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
from twisted.web.client import RequestGenerationFailed, ResponseFailed

from bilberryrail.cli.errors import BadInput, ClientError, Unreachable
from bilberryrail.cli.messages import ChangeVerdict, Plan, Rejection, Status

#: Time in seconds that one address has to answer.
TIMEOUT_S = 5.0
#: What treq raises when an address gives no whole answer.
_NO_ANSWER = (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
    CancelledError,
    ResponseFailed,
    RequestGenerationFailed,
)

Answer = TypeVar('Answer')


@dataclass(frozen=True, slots=True)
class ReceivedPlan:
    """A plan and the bytes it was read from, which are sent to confirm it."""

    plan: Plan
    raw: bytes


class _Accepted(msgspec.Struct):
    """Answer to a confirmation."""

    record_id: str


class OperatorClient:
    """Sends requests to the first operator address that answers.

    Every request may be repeated: plans have no effect, and a confirmation
    carries the record id of its change, so replay drops a second one.

    Attributes
    ----------
    addresses
        ``HOST:PORT`` of nodes; one that answered is moved to the front.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.addresses = addresses

    async def plan(self, intent: bytes) -> Result[ReceivedPlan, ClientError]:
        """Ask for the plan of an intent."""
        body = await self._send('POST', 'plan', intent)
        return body.and_then(parse_plan)

    async def confirm(self, plan: ReceivedPlan) -> Result[str, ClientError]:
        """Confirm a plan; returns the record id of its change."""
        body = await self._send('POST', 'confirm', plan.raw)
        accepted = body.and_then(lambda raw: _decode(raw, _Accepted))
        return accepted.map(lambda answer: answer.record_id)

    async def verdict(
        self,
        record_id: str,
    ) -> Result[ChangeVerdict, ClientError]:
        """Ask what was decided about a change."""
        body = await self._send('GET', f'changes/{record_id}')
        return body.and_then(lambda raw: _decode(raw, ChangeVerdict))

    async def status(self) -> Result[Status, ClientError]:
        """Ask for applied offsets."""
        body = await self.raw_status()
        return body.and_then(lambda raw: _decode(raw, Status))

    async def raw_status(self) -> Result[bytes, ClientError]:
        """Ask for applied offsets as JSON."""
        return await self._send('GET', 'status')

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> Result[bytes, ClientError]:
        attempts: list[str] = []
        for address in self.addresses:
            # In order: the next address is needed only if this one fails.
            sent = await _send_once(  # noqa: WPS476
                method,
                address,
                path,
                body,
            )
            match sent:
                case Err(_Failed(reason)):
                    attempts.append(f'{address}: {reason}')
                case _:
                    self._prefer(address)
                    return sent
        return Err(Unreachable(tuple(attempts)))

    def _prefer(self, address: str) -> None:
        others = tuple(one for one in self.addresses if one != address)
        self.addresses = (address, *others)


@dataclass(frozen=True, slots=True)
class _Failed:
    """One address gave no usable answer."""

    reason: str


def parse_plan(raw: bytes) -> Result[ReceivedPlan, ClientError]:
    """Read a plan, from a node or from a file."""
    return _decode(raw, Plan).map(lambda plan: ReceivedPlan(plan, raw))


async def _send_once(
    method: str,
    address: str,
    path: str,
    body: bytes,
) -> Result[bytes, BadInput | _Failed]:
    url = f'http://{address}/v1/operator/{path}'
    try:
        status, received = await _exchange(method, url, body)
    except _NO_ANSWER as error:
        return Err(_Failed(_describe(error)))
    if status < HTTPStatus.BAD_REQUEST:
        return Ok(received)
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Err(_rejection(status, received))
    return Err(_Failed(_failure(status, received)))


async def _exchange(method: str, url: str, body: bytes) -> tuple[int, bytes]:
    response = await treq.request(
        method,
        url,
        data=body,
        headers={'Content-Type': 'application/json'},
        timeout=TIMEOUT_S,
        persistent=False,
    )
    return response.code, await treq.content(response)


def _describe(error: Exception) -> str:
    if isinstance(error, CancelledError | ConnectingCancelledError):
        return f'no answer within {TIMEOUT_S} s'
    if isinstance(error, ConnectError):
        return 'connection refused'
    return 'connection closed before the answer'


def _failure(status: int, body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=Rejection).error
    except msgspec.MsgspecError:
        return f'HTTP status {status}'


def _rejection(status: int, body: bytes) -> BadInput:
    try:
        rejection = msgspec.json.decode(body, type=Rejection)
    except msgspec.MsgspecError:
        return BadInput(f'the node answered with HTTP status {status}')
    where = f'{rejection.field}: ' if rejection.field else ''
    return BadInput(f'{where}{rejection.error}')


def _decode(raw: bytes, wanted: type[Answer]) -> Result[Answer, ClientError]:
    try:
        return Ok(msgspec.json.decode(raw, type=wanted))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Err(
            BadInput(f'not a valid {wanted.__name__.strip("_")}: {error}'),
        )
