"""Errors of the codec."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CodecError:
    """Bytes that do not hold a valid record or cluster state.

    ``reason`` names the field that is wrong and what is allowed there.
    """

    reason: str
