"""Signed, compact and URL-safe encoding of reservations."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass
from enum import Enum
from typing import Final

import msgspec
from result import Err, Ok, Result

from bilberryrail.core.errors import DECODE_ERRORS
from bilberryrail.core.ids import (
    Incarnation,
    NodeId,
    Seconds,
    ServiceId,
    TenantId,
)
from bilberryrail.policy.events import Token

#: Size in bytes of the signing key of an incarnation.
KEY_BYTES: Final = 32
_MAC_BYTES: Final = 16
#: Maximum number of characters of a token that is decoded. Valid tokens are
#: shorter, because the names in them have at most 64 characters.
_MAX_LENGTH: Final = 1024


class TokenFault(Enum):
    """Reason why a reservation cannot be used."""

    MALFORMED = 'malformed'
    FORGED = 'forged'
    OTHER_INCARNATION = 'other-incarnation'
    WRONG_SERVICE = 'wrong-service'
    WRONG_TENANT = 'wrong-tenant'
    VOID = 'void'
    FORGOTTEN = 'forgotten'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    ANSWER_NOT_KEPT = 'answer-not-kept'


@dataclass(frozen=True, slots=True)
class ReservationError:
    """Why a reservation does not allow a call to run."""

    fault: TokenFault
    detail: str


class Reservation(msgspec.Struct, frozen=True, array_like=True):
    """Content of a token.

    ``expires_at`` is in seconds on the clock of the issuing incarnation.
    """

    node: NodeId
    incarnation: Incarnation
    sequence: int
    service: ServiceId
    tenant: TenantId
    expires_at: Seconds


class TokenSigner:
    """Encodes and verifies the tokens of one incarnation.

    Parameters
    ----------
    key
        Secret of ``KEY_BYTES`` bytes known only to this incarnation.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        key: bytes,
    ) -> None:
        self.node = node
        self.incarnation = incarnation
        self._key = key

    def encode(self, reservation: Reservation) -> Token:
        """Encode and sign a reservation of this incarnation."""
        payload = msgspec.msgpack.encode(reservation)
        return _to_text(self._mac(payload) + payload)

    def decode(self, token: Token) -> Result[Reservation, ReservationError]:
        """Decode a token and verify that this incarnation issued it."""
        match _split(token):
            case Ok((mac, payload, reservation)):
                return self._verify(mac, payload, reservation)
            case Err(error):
                return Err(error)

    def _verify(
        self,
        mac: bytes,
        payload: bytes,
        reservation: Reservation,
    ) -> Result[Reservation, ReservationError]:
        issuer = (reservation.node, reservation.incarnation)
        if issuer != (self.node, self.incarnation):
            return _error(
                TokenFault.OTHER_INCARNATION,
                'token was issued by another incarnation, '
                f'on node {reservation.node!r}',
            )
        if not hmac.compare_digest(mac, self._mac(payload)):
            return _error(TokenFault.FORGED, 'signature does not match')
        return Ok(reservation)

    def _mac(self, payload: bytes) -> bytes:
        digest = hmac.digest(self._key, payload, hashlib.blake2b)
        return digest[:_MAC_BYTES]


def token_target(token: Token) -> Result[NodeId, ReservationError]:
    """Return the node that issued a token, without verifying the token."""
    return _split(token).map(lambda parts: parts[2].node)


def _split(
    token: Token,
) -> Result[tuple[bytes, bytes, Reservation], ReservationError]:
    if len(token) > _MAX_LENGTH:
        return _error(
            TokenFault.MALFORMED, f'longer than {_MAX_LENGTH} characters'
        )
    try:
        raw = base64.b64decode(
            token + '=' * (-len(token) % 4),
            altchars=b'-_',
            validate=True,
        )
    except (binascii.Error, ValueError) as error:
        return _error(TokenFault.MALFORMED, f'not base64: {error}')
    return _parse(token, raw)


def _parse(
    token: Token,
    raw: bytes,
) -> Result[tuple[bytes, bytes, Reservation], ReservationError]:
    mac, payload = raw[:_MAC_BYTES], raw[_MAC_BYTES:]
    try:
        reservation = msgspec.msgpack.decode(payload, type=Reservation)
    except DECODE_ERRORS as error:
        return _error(TokenFault.MALFORMED, f'not a reservation: {error}')
    if _to_text(raw) != token:
        return _error(TokenFault.MALFORMED, 'not the canonical encoding')
    return Ok((mac, payload, reservation))


def _to_text(raw: bytes) -> Token:
    return Token(base64.urlsafe_b64encode(raw).rstrip(b'=').decode())


def _error(fault: TokenFault, detail: str) -> Err[ReservationError]:
    return Err(ReservationError(fault=fault, detail=detail))
