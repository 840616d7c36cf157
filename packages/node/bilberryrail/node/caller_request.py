"""Validate the requests of callers before they are passed to the engine."""

import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, Protocol

from result import Err, Ok, Result

from bilberryrail.control.settings import MAX_DURATION_S
from bilberryrail.core.ids import CallId, ServiceId, TenantId
from bilberryrail.core.load import Reason
from bilberryrail.policy.events import (
    CallArrived,
    DispatchId,
    ReservationAsked,
    Token,
)

TENANT: Final = 'Bilberryrail-Tenant'
DEADLINE: Final = 'Bilberryrail-Deadline-Ms'
RESERVATION: Final = 'Bilberryrail-Reservation'
PARENT: Final = 'Bilberryrail-Parent'

_NAME: Final = re.compile('[a-z0-9][a-z0-9.-]{0,63}')
#: A plain decimal number; at most 9 digits before and 6 after the point.
_MILLISECONDS: Final = re.compile(r'[0-9]{1,9}(?:\.[0-9]{1,6})?')
#: Dispatch ids fit into 63 bits.
_DISPATCH: Final = re.compile('[0-9]{1,19}')
#: Tokens are printable, because each submission sends its token in a header.
_TOKEN: Final = re.compile('[!-~]{1,1024}')


class Headers(Protocol):
    """The methods of Twisted's ``Headers`` that are used here."""

    def getRawHeaders(self, name: str) -> list[str] | None:  # noqa: N802
        """Return all values of a header."""


@dataclass(frozen=True, slots=True)
class RequestFault:
    """Why a request is refused as invalid."""

    status: int
    reason: Reason
    text: str


@dataclass(frozen=True, slots=True)
class ControlHeaders:
    """Validated control headers of a request."""

    tenant: TenantId
    deadline_s: float | None
    token: Token | None
    parent: DispatchId | None


class _HeaderError(ValueError):
    """A control header is missing, repeated or malformed."""


def read_headers(headers: Headers) -> Result[ControlHeaders, RequestFault]:
    """Validate the control headers of a request."""
    try:
        return Ok(_read_headers(headers))
    except _HeaderError as error:
        return Err(_malformed(str(error)))


def read_service(name: str) -> Result[ServiceId, RequestFault]:
    """Validate the service name in the path."""
    if _NAME.fullmatch(name):
        return Ok(ServiceId(name))
    return Err(_malformed('the service in the path is not a valid name'))


def call_event(
    call: CallId,
    service: ServiceId,
    headers: ControlHeaders,
    size: int,
) -> CallArrived:
    """Build the event of a call."""
    return CallArrived(
        call=call,
        service=service,
        tenant=headers.tenant,
        size=size,
        deadline_s=headers.deadline_s,
        token=headers.token,
        parent=headers.parent,
    )


def reservation_event(
    call: CallId,
    service: ServiceId,
    headers: ControlHeaders,
) -> ReservationAsked:
    """Build the event of a request for a reservation."""
    return ReservationAsked(
        call=call,
        service=service,
        tenant=headers.tenant,
        deadline_s=headers.deadline_s,
        parent=headers.parent,
    )


def _read_headers(headers: Headers) -> ControlHeaders:
    tenant = _single_value(headers, TENANT, _NAME)
    if tenant is None:
        raise _HeaderError(f'{TENANT} is missing')
    token = _single_value(headers, RESERVATION, _TOKEN)
    parent = _single_value(headers, PARENT, _DISPATCH)
    return ControlHeaders(
        tenant=TenantId(tenant),
        deadline_s=_deadline(headers),
        token=None if token is None else Token(token),
        parent=None if parent is None else DispatchId(int(parent)),
    )


def _deadline(headers: Headers) -> float | None:
    text = _single_value(headers, DEADLINE, _MILLISECONDS)
    if text is None:
        return None
    deadline_s = float(text) / 1000
    if not 0 < deadline_s <= MAX_DURATION_S:
        raise _HeaderError(f'{DEADLINE} must be positive, at most one day')
    return deadline_s


def _single_value(
    headers: Headers, name: str, pattern: re.Pattern[str]
) -> str | None:
    lines = headers.getRawHeaders(name)
    if not lines:
        return None
    if len(lines) > 1:
        raise _HeaderError(f'{name} is given {len(lines)} times')
    if pattern.fullmatch(lines[0]) is None:
        raise _HeaderError(f'{name} does not match {pattern.pattern}')
    return lines[0]


def _malformed(text: str) -> RequestFault:
    return RequestFault(HTTPStatus.BAD_REQUEST, Reason.MALFORMED_REQUEST, text)
