"""Fingerprints of requests, which are equal for equal content."""

from hashlib import blake2b
from typing import Final

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.records import Fingerprint, HttpRequest

#: Size of a fingerprint, in bytes; a collision is improbable among the requests
#: of years.
_SIZE: Final = 12

_LENGTH_BYTES: Final = 8


def fingerprint_of(request: HttpRequest, caller: ServiceId) -> Fingerprint:
    """Return the fingerprint of a request.

    Other headers do not count, because some, such as the attempt id, differ
    each time that a client sends the same request.

    Parameters
    ----------
    caller
        Service from which the request comes.
    """
    digest = blake2b(digest_size=_SIZE)
    host = request.header(b'host') or b''
    for part in (
        request.method,
        host.lower(),
        request.target,
        caller.encode(),
        request.body,
    ):
        # Without the lengths, parts could be divided in another way.
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return Fingerprint(digest.digest())
