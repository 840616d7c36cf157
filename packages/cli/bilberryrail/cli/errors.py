"""Errors and exit codes of the operator command line."""

from dataclasses import dataclass
from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the operator command line."""

    DONE = 0
    #: The change was rejected, or the operator declined to confirm it.
    REJECTED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    #: The wait ended before the change was in force everywhere.
    NOT_YET_IN_FORCE = 4


@dataclass(frozen=True, slots=True)
class BadInput:
    """Invalid input from the operator; ``message`` says what is wrong."""

    message: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No operator address sent a usable answer.

    Attributes
    ----------
    failures
        Each address with the reason why the request to it failed.
    """

    failures: tuple[str, ...]

    @property
    def message(self) -> str:
        """Return each failure and what the operator can check."""
        failures = '; '.join(self.failures)
        return (
            f'no node could process the request ({failures}). Check that the '
            'nodes are running and that the addresses in --node or '
            'BILBERRYRAIL_NODES are right.'
        )


ClientError = BadInput | Unreachable


def exit_code(error: ClientError) -> ExitCode:
    """Return the exit code for an error."""
    match error:
        case BadInput():
            return ExitCode.BAD_INPUT
        case Unreachable():
            return ExitCode.UNREACHABLE
