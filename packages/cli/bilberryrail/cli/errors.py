"""Errors of the operators' command and its exit codes."""

from dataclasses import dataclass
from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the command."""

    DONE = 0
    #: The change was rejected, or the operator did not agree to it.
    REJECTED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    #: The time to wait was up before the change was in force everywhere.
    NOT_YET_IN_FORCE = 4


@dataclass(frozen=True, slots=True)
class BadInput:
    """Input that has to be changed; ``message`` says how."""

    message: str


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No operator address answered; ``attempts`` tells what each one did."""

    attempts: tuple[str, ...]

    @property
    def message(self) -> str:
        """Describe what was tried and what to do."""
        tried = '; '.join(self.attempts)
        return (
            f'no node could do this ({tried}). Check the addresses given with '
            '--node or BILBERRYRAIL_NODES and that the nodes are running.'
        )


ClientError = BadInput | Unreachable


def exit_code(error: ClientError) -> ExitCode:
    """Choose the exit code of an error."""
    match error:
        case BadInput():
            return ExitCode.BAD_INPUT
        case Unreachable():
            return ExitCode.UNREACHABLE
