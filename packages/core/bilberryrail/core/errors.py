"""Errors of the record layer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CodecError:
    """Bytes or JSON that do not hold a valid record.

    ``reason`` names the field and what is allowed there.
    """

    reason: str
