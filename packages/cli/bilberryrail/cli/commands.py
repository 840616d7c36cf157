"""Flows of the operators' command; each returns an exit code."""

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
from bilberryrail.cli.terminal import ask, complain, show

POLL_INTERVAL_S = 0.2
CONFIRM_AGAIN = 'Confirming the same plan again is safe.'


@dataclass(frozen=True, slots=True)
class Options:
    """Options of commands that confirm a plan.

    Attributes
    ----------
    wait_s
        Time to wait until the change is in force everywhere.
    """

    accept_overload: bool = False
    yes: bool = False
    wait_s: float = 15


@dataclass(frozen=True, slots=True)
class Session:
    """What every command needs."""

    clock: IReactorTime
    client: OperatorClient


async def make_plan(
    session: Session,
    intent: pathlib.Path,
    out: pathlib.Path | None,
) -> ExitCode:
    """Print the plan of an intent file and keep it in a file."""
    planned = await session.client.plan(intent.read_bytes())
    match planned:
        case Err(error):
            return fail(error)
        case Ok(received):
            show(printing.plan_lines(received.plan))
            if out is not None:
                out.write_bytes(received.raw)
                show((f'Confirm it with: bilberryrail confirm {out}',))
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
            return fail(BadInput(hint))
        case Ok(received):
            return await confirm(session, received, options)


async def change_zone(
    session: Session,
    intent: dict[str, list[str]],
    options: Options,
) -> ExitCode:
    """Plan an availability zone's change, ask, and confirm."""
    planned = await session.client.plan(msgspec.json.encode(intent))
    match planned:
        case Err(error):
            return fail(error)
        case Ok(received):
            show(printing.plan_lines(received.plan))
    if not options.yes and not ask('Confirm this plan?'):
        complain('nothing was changed')
        return ExitCode.REJECTED
    return await confirm(session, received, options)


async def show_status(session: Session, as_json: bool) -> ExitCode:
    """Print applied offsets, as text or as the JSON received."""
    if as_json:
        answer = await session.client.raw_status()
        lines = answer.map(lambda raw: (raw.decode(),))
    else:
        status = await session.client.status()
        lines = status.map(printing.status_lines)
    match lines:
        case Err(error):
            return fail(error)
        case Ok(text):
            show(text)
    return ExitCode.DONE


async def confirm(
    session: Session,
    received: ReceivedPlan,
    options: Options,
) -> ExitCode:
    """Confirm a plan and wait until it is in force everywhere."""
    overloaded = received.plan.overloaded
    if overloaded and not options.accept_overload:
        names = ', '.join(row.service for row in overloaded)
        complain(
            f'the remaining capacity does not bear the expected load of '
            f'{names}; add --accept-overload to confirm it all the same',
        )
        return ExitCode.REJECTED
    deadline = session.clock.seconds() + options.wait_s
    match await session.client.confirm(received):
        case Ok(record_id):
            return await _follow(session, record_id, deadline)
        case Err(error):
            if isinstance(error, Unreachable):
                complain(CONFIRM_AGAIN)
            return fail(error)


def fail(error: ClientError) -> ExitCode:
    """Print an error and choose the exit code."""
    complain(error.message)
    return exit_code(error)


async def _follow(
    session: Session,
    record_id: str,
    deadline: float,
) -> ExitCode:
    match await _wait_for_verdict(session, record_id, deadline):
        case Err(error):
            return fail(error)
        case Ok(ChangeVerdict(verdict='accepted', offset=int(offset))):
            show((f'Accepted at offset {offset}',))
            return await _wait_until_in_force(session, offset, deadline)
        case Ok(ChangeVerdict(verdict='rejected', reason=reason)):
            complain(f'rejected: {reason}. Make a new plan and confirm it.')
            return ExitCode.REJECTED
        case _:
            complain(
                f'not accepted so far: the log has not answered. {CONFIRM_AGAIN}'
            )
            return ExitCode.NOT_YET_IN_FORCE


async def _wait_for_verdict(session: Session, record_id: str, deadline: float):
    while True:
        answer = await session.client.verdict(record_id)
        match answer:
            case Ok(ChangeVerdict(verdict='pending')) if _has_time(
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
                return fail(error)
            case Ok(status):
                in_force = printing.is_in_force(status, offset)
        if in_force or not _has_time(session, deadline):
            return _report(status, in_force)
        await deferLater(session.clock, POLL_INTERVAL_S)


def _report(status: Status, in_force: bool) -> ExitCode:
    show(printing.status_lines(status))
    if in_force:
        show(('In force in every availability zone',))
        return ExitCode.DONE
    complain('accepted, but not yet in force everywhere; see "status"')
    return ExitCode.NOT_YET_IN_FORCE


def _has_time(session: Session, deadline: float) -> bool:
    return session.clock.seconds() + POLL_INTERVAL_S < deadline
