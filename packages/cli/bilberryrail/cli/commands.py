"""Steps of each operator command; a command returns its exit code."""

import pathlib
from dataclasses import dataclass

import msgspec
from result import Err, Ok
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from bilberryrail.cli import printing
from bilberryrail.cli.client import OperatorClient, ReceivedPlan, parse_plan
from bilberryrail.cli.errors import (
    BadInput,
    ClientError,
    ExitCode,
    Unreachable,
    exit_code,
)
from bilberryrail.cli.messages import ChangeVerdict, Status
from bilberryrail.cli.terminal import ask_yes_or_no, print_error, print_lines

#: Time between two requests while a change is awaited, in seconds.
POLL_INTERVAL_S = 0.2
_SAFE_TO_REPEAT = 'Confirming the same plan again is safe.'


@dataclass(frozen=True, slots=True)
class Options:
    """Options of commands that confirm a plan.

    Attributes
    ----------
    accept_overload
        Whether to confirm a plan that leaves too little capacity.
    yes
        Whether to confirm without asking the operator.
    wait_s
        Time limit in seconds for the change to be in force everywhere.
    """

    accept_overload: bool = False
    yes: bool = False
    wait_s: float = 15


@dataclass(frozen=True, slots=True)
class Session:
    """The clock and the client that every command uses."""

    clock: IReactorTime
    client: OperatorClient


async def make_plan(
    session: Session,
    intent: pathlib.Path,
    out: pathlib.Path | None,
) -> ExitCode:
    """Print the plan for an intent file and write it to ``out`` if given."""
    planned = await session.client.plan(intent.read_bytes())
    match planned:
        case Err(error):
            return report_error(error)
        case Ok(received):
            print_lines(printing.plan_lines(received.plan))
            if out is not None:
                out.write_bytes(received.raw)
                print_lines((f'Confirm it with: bilberryrail confirm {out}',))
    return ExitCode.DONE


async def confirm_file(
    session: Session,
    path: pathlib.Path,
    options: Options,
) -> ExitCode:
    """Confirm the plan in a file."""
    match parse_plan(path.read_bytes()):
        case Err(error):
            hint = f'{path}: {error.message}; make it with "plan --out"'
            return report_error(BadInput(hint))
        case Ok(received):
            return await confirm(session, received, options)


async def change_zone(
    session: Session,
    intent: dict[str, list[str]],
    options: Options,
) -> ExitCode:
    """Plan a change of an availability zone and confirm it if agreed."""
    planned = await session.client.plan(msgspec.json.encode(intent))
    match planned:
        case Err(error):
            return report_error(error)
        case Ok(received):
            print_lines(printing.plan_lines(received.plan))
    if not options.yes and not ask_yes_or_no('Confirm this plan?'):
        print_error('not confirmed, so nothing was changed')
        return ExitCode.REJECTED
    return await confirm(session, received, options)


async def show_status(session: Session, as_json: bool) -> ExitCode:
    """Print the status of the system, as text or as the JSON received."""
    if as_json:
        answer = await session.client.raw_status()
        lines = answer.map(lambda raw: (raw.decode(),))
    else:
        status = await session.client.status()
        lines = status.map(printing.status_lines)
    match lines:
        case Err(error):
            return report_error(error)
        case Ok(text):
            print_lines(text)
    return ExitCode.DONE


async def confirm(
    session: Session,
    received: ReceivedPlan,
    options: Options,
) -> ExitCode:
    """Confirm a plan and wait until it is in force everywhere."""
    overloaded = received.plan.overloaded
    if overloaded and not options.accept_overload:
        names = ', '.join(capacity.service for capacity in overloaded)
        print_error(
            'the remaining capacity is too small for the expected load of '
            f'{names}; add --accept-overload to confirm the plan anyway',
        )
        return ExitCode.REJECTED
    deadline = session.clock.seconds() + options.wait_s
    match await session.client.confirm(received):
        case Ok(record_id):
            return await _await_change(session, record_id, deadline)
        case Err(error):
            if isinstance(error, Unreachable):
                print_error(_SAFE_TO_REPEAT)
            return report_error(error)


def report_error(error: ClientError) -> ExitCode:
    """Print an error and return the exit code for it."""
    print_error(error.message)
    return exit_code(error)


async def _await_change(
    session: Session,
    record_id: str,
    deadline: float,
) -> ExitCode:
    match await _wait_for_verdict(session, record_id, deadline):
        case Err(error):
            return report_error(error)
        case Ok(ChangeVerdict(verdict='accepted', offset=int(offset))):
            print_lines((f'Accepted at offset {offset}',))
            return await _wait_until_in_force(session, offset, deadline)
        case Ok(ChangeVerdict(verdict='rejected', reason=reason)):
            print_error(f'rejected: {reason}. Make a new plan and confirm it.')
            return ExitCode.REJECTED
        case _:
            print_error(
                'not accepted yet: the record of the change was not read back '
                f'from the log. {_SAFE_TO_REPEAT}',
            )
            return ExitCode.NOT_YET_IN_FORCE


async def _wait_for_verdict(session: Session, record_id: str, deadline: float):
    while True:
        answer = await session.client.verdict(record_id)
        match answer:
            case Ok(ChangeVerdict(verdict='pending')) if _has_time_left(
                session,
                deadline,
            ):
                await deferLater(session.clock, POLL_INTERVAL_S)
            case _:
                return answer


async def _wait_until_in_force(
    session: Session,
    offset: int,
    deadline: float,
) -> ExitCode:
    while True:
        match await session.client.status():
            case Err(error):
                return report_error(error)
            case Ok(status):
                in_force = printing.is_in_force(status, offset)
        if in_force or not _has_time_left(session, deadline):
            return _print_status(status, in_force)
        await deferLater(session.clock, POLL_INTERVAL_S)


def _print_status(status: Status, in_force: bool) -> ExitCode:
    print_lines(printing.status_lines(status))
    if in_force:
        print_lines(('In force in every availability zone',))
        return ExitCode.DONE
    print_error('accepted, but not yet in force everywhere; see "status"')
    return ExitCode.NOT_YET_IN_FORCE


def _has_time_left(session: Session, deadline: float) -> bool:
    return session.clock.seconds() + POLL_INTERVAL_S < deadline
