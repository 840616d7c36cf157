"""Bodies of calls and answers, which the engine itself never handles."""

import zlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallContent:
    """The part of a call that is passed to the backend server.

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
    """The part of a backend server's response that is passed to the caller."""

    content_type: str
    body: bytes


#: Body and its metadata that accompany an event of the engine.
Payload = CallContent | AnswerContent


def checksum(body: bytes) -> int:
    """Compute the CRC-32 that is sent along with a body."""
    return zlib.crc32(body)
