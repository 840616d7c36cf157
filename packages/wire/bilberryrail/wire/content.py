"""Bodies as they travel between nodes; the engine never sees them."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallContent:
    """What a caller sent for the backend server.

    Attributes
    ----------
    path
        Path and query after ``/calls``, without a leading slash.
    """

    path: str
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerContent:
    """What a backend server answered."""

    content_type: str
    body: bytes


#: Payload of an event that has one.
Payload = CallContent | AnswerContent


def checksum(body: bytes) -> int:
    """Compute the CRC-32 that travels beside a body."""
    return zlib.crc32(body)
