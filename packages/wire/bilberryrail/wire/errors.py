"""Errors of the wire layer."""

from dataclasses import dataclass

from bilberryrail.core.ids import AttemptId
from bilberryrail.core.load import LoadReport


@dataclass(frozen=True, slots=True)
class FrameError:
    """A frame that breaks the protocol; the link cannot be trusted further."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestError:
    """A call request that cannot be used, while the link stays usable.

    ``too_large`` tells a body above the limit from a damaged one.
    """

    attempt: AttemptId
    reason: str
    too_large: bool


@dataclass(frozen=True, slots=True)
class AnswerError:
    """An answer that is cut or damaged, while the link stays usable."""

    attempt: AttemptId
    reason: str
    load: LoadReport


WireError = FrameError | RequestError | AnswerError
