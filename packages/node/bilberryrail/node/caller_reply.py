"""Status, headers and body of the final responses to callers."""

import math
from dataclasses import dataclass, field
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from bilberryrail.core.load import Outcome, Reason

OUTCOME: Final = 'Bilberryrail-Outcome'
REASON: Final = 'Bilberryrail-Reason'
RETRY_AFTER: Final = 'Retry-After-Ms'
JSON: Final = 'application/json'

_INVALID_STATUS: Final = MappingProxyType(
    {
        Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_TENANT: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_PARENT: HTTPStatus.NOT_FOUND,
        Reason.WRONG_SERVICE: HTTPStatus.CONFLICT,
        Reason.RESERVATION_INVALID: HTTPStatus.CONFLICT,
        Reason.RESERVATION_EXPIRED: HTTPStatus.CONFLICT,
        Reason.OTHER_INCARNATION: HTTPStatus.CONFLICT,
        Reason.ANSWER_NOT_KEPT: HTTPStatus.CONFLICT,
        Reason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.RESERVATION_REQUIRED: HTTPStatus.PRECONDITION_REQUIRED,
    },
)


@dataclass(frozen=True, slots=True)
class Reply:
    """A final response to a caller."""

    status: int
    body: bytes
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = field(default=())


def completed(status: int, content_type: str, body: bytes) -> Reply:
    """Build the response that passes on the answer of a backend server."""
    headers = ((OUTCOME, Outcome.COMPLETED.value),)
    return Reply(status, body, content_type, headers)


def granted(token: str) -> Reply:
    """Build the response that contains the token of a reservation."""
    headers = ((OUTCOME, Outcome.COMPLETED.value),)
    body = msgspec.json.encode({'token': token})
    return Reply(HTTPStatus.OK, body, headers=headers)


def rejected(
    outcome: Outcome,
    reason: Reason,
    retry_after_s: float,
    status: int | None = None,
) -> Reply:
    """Build the response of a call without an answer.

    ``retry_after_s`` is the time in seconds before the caller may retry.
    """
    retry_after_ms = math.ceil(max(retry_after_s, 0) * 1000)
    body = {
        'outcome': outcome.value,
        'reason': reason.value,
        'retry_after_ms': retry_after_ms,
    }
    return Reply(
        status or status_of(outcome, reason),
        msgspec.json.encode(body),
        headers=(
            (OUTCOME, outcome.value),
            (REASON, reason.value),
            (RETRY_AFTER, str(retry_after_ms)),
        ),
    )


def status_of(outcome: Outcome, reason: Reason) -> int:
    """Return the HTTP status of a response without an answer."""
    match outcome:
        case Outcome.NOT_RUN:
            return HTTPStatus.SERVICE_UNAVAILABLE
        case Outcome.UNKNOWN:
            return (
                HTTPStatus.GATEWAY_TIMEOUT
                if reason is Reason.DEADLINE
                else HTTPStatus.BAD_GATEWAY
            )
        case Outcome.INVALID:
            return _INVALID_STATUS.get(reason, HTTPStatus.BAD_REQUEST)
        case Outcome.COMPLETED:
            # The call ran before, but its answer is no longer stored.
            return HTTPStatus.CONFLICT
