"""Errors found while decoding frames from other nodes."""

from dataclasses import dataclass

from bilberryrail.core.ids import AttemptId
from bilberryrail.core.load import LoadReport


@dataclass(frozen=True, slots=True)
class FrameError:
    """A frame that violates the protocol; its link has to be closed."""

    reason: str


@dataclass(frozen=True, slots=True)
class RequestError:
    """A call request with a faulty body; its link remains usable.

    ``too_large`` is true if the body exceeds the limit, and false if the body
    is truncated or damaged.
    """

    attempt: AttemptId
    reason: str
    too_large: bool


@dataclass(frozen=True, slots=True)
class AnswerError:
    """An answer whose body is too large, truncated or damaged.

    Its link remains usable.
    """

    attempt: AttemptId
    reason: str
    load: LoadReport


WireError = FrameError | RequestError | AnswerError
