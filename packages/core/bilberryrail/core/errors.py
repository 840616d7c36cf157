"""Errors of the codec, and those that decoders raise."""

from dataclasses import dataclass
from typing import Final

import msgspec

#: What msgspec raises for bytes that it cannot decode: ``MsgspecError`` for
#: most, ``UnicodeDecodeError`` for text that is not valid UTF-8, and
#: ``RecursionError`` for values that are nested deeply.
DECODE_ERRORS: Final = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
)


@dataclass(frozen=True, slots=True)
class CodecError:
    """Bytes that do not hold a valid record or cluster state.

    ``reason`` names the field that is wrong and what is allowed there.
    """

    reason: str
