"""Sends submissions of callers over HTTP; returns errors as values, too."""

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
import treq
from twisted.internet.defer import CancelledError
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionClosed,
)
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ResponseFailed,
)
from twisted.web.iweb import IResponse

from bilberryrail.node.http_client import EndpointFactory
from bilberryrail.standins.backend_model import Answer, checksum_of

#: Errors that treq raises if a sent request gets no complete answer.
_INCOMPLETE_ANSWER_ERRORS = (
    ResponseFailed,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ConnectionClosed,
    CancelledError,
)
MS_PER_S = 1000
#: Most idle connections that are kept open to one node.
CONNECTIONS_PER_NODE = 64
CONNECT_TIMEOUT_S = 1.0
#: Time in seconds after its deadline for which a caller still waits for the
#: answer.
ANSWER_GRACE_S = 2.0
#: Time in seconds to wait before a retry if the answer names no time.
DEFAULT_RETRY_S = 0.05


@dataclass(frozen=True, slots=True)
class Completed:
    """A complete response of a backend server."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """A refusal by the node; ``outcome`` is the one that the node states."""

    outcome: str
    reason: str
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection could be opened, so nothing ran."""

    reason: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The connection broke or the time ran out before a complete answer."""

    reason: str


Submission = Completed | Refused | NotSent | NoAnswer


class CallerHttp:
    """Posts to nodes over persistent connections, without automatic retries."""

    def __init__(self, clock: IReactorTime) -> None:
        pool = HTTPConnectionPool(clock)
        pool.maxPersistentPerHost = CONNECTIONS_PER_NODE
        pool.retryAutomatically = False
        # Twisted's own endpoints report a refused connection only after 0.3 s,
        # the time that they allow for trying another address of the host.
        agent = Agent.usingEndpointFactory(
            clock,
            EndpointFactory(clock, CONNECT_TIMEOUT_S),
            pool,
        )
        self.client = treq.client.HTTPClient(agent)

    async def post(
        self,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        deadline_s: float,
    ) -> Submission:
        """Send one request and classify its result."""
        stated = {**headers, 'Bilberryrail-Deadline-Ms': _ms(deadline_s)}
        try:
            return await self._post(
                url, stated, body, deadline_s + ANSWER_GRACE_S
            )
        except (ConnectError, ConnectingCancelledError) as error:
            return NotSent(type(error).__name__)
        except _INCOMPLETE_ANSWER_ERRORS as error:
            return NoAnswer(type(error).__name__)

    async def _post(
        self,
        url: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Submission:
        response = await self.client.post(
            url,
            headers=headers,
            data=body,
            timeout=timeout_s,
        )
        received = await treq.content(response)
        # If the outcome header is missing, only a status of success proves
        # that the call completed.
        failed = response.code >= HTTPStatus.BAD_REQUEST
        default = 'unknown' if failed else 'completed'
        outcome = _header(response, 'Bilberryrail-Outcome', default)
        if outcome == 'completed':
            return Completed(response.code, received)
        reason = _header(response, 'Bilberryrail-Reason', 'none')
        wait_ms = _header(response, 'Retry-After-Ms', '')
        wait_s = int(wait_ms) / MS_PER_S if wait_ms else DEFAULT_RETRY_S
        return Refused(outcome, reason, wait_s)


def find_answer_fault(
    completed: Completed,
    request: str,
    home_regions: tuple[str, ...],
) -> str | None:
    """Return what is wrong with an answer, or None.

    An answer is wrong if it is damaged, belongs to another request or comes
    from a region outside the home regions.
    """
    try:
        answer = msgspec.json.decode(completed.body, type=Answer)
    except msgspec.MsgspecError as error:
        return f'body cannot be decoded: {error}'
    if answer.request != request:
        return f'answer belongs to request {answer.request}'
    if answer.checksum != checksum_of(request, answer.payload):
        return 'checksum does not match the payload'
    if home_regions and answer.region not in home_regions:
        return f'served in {answer.region} outside {home_regions}'
    return None


def _ms(duration_s: float) -> str:
    return str(int(duration_s * MS_PER_S))


def _header(response: IResponse, name: str, default: str) -> str:
    found = response.headers.getRawHeaders(name)
    return found[0] if found else default
