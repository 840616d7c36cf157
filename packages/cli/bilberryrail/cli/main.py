"""Command line ``bilberryrail``: plan, confirm, status and zone."""

import pathlib
import re
import sys
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Annotated

import typer
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import react

from bilberryrail.cli import commands
from bilberryrail.cli.client import OperatorClient
from bilberryrail.cli.errors import ExitCode
from bilberryrail.cli.terminal import complain

app = typer.Typer(
    help='Plan, confirm and watch configuration changes.',
    no_args_is_help=True,
    add_completion=False,
)

ADDRESS = re.compile(r'[\w.-]+:\d{1,5}|\[[0-9a-fA-F:]+\]:\d{1,5}')


def _check_nodes(nodes: list[str]) -> list[str]:
    for node in nodes:
        if not ADDRESS.fullmatch(node):
            raise typer.BadParameter(
                f'{node!r} is not HOST:PORT, for example 127.0.0.1:8002',
            )
    return nodes


Nodes = Annotated[
    list[str],
    typer.Option(
        '--node',
        envvar='BILBERRYRAIL_NODES',
        callback=_check_nodes,
        help='Operator address HOST:PORT of a node. Repeat it, or separate '
        'several in the environment variable by spaces.',
    ),
]
AcceptOverload = Annotated[
    bool,
    typer.Option(help='Confirm although the capacity does not suffice.'),
]
Wait = Annotated[
    float,
    typer.Option(min=0, help='Seconds to wait until it is in force.'),
]
InputFile = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, dir_okay=False, readable=True),
]

DEFAULT_NODES = ('127.0.0.1:8002',)
DEFAULT_WAIT_S = 15.0


class Direction(Enum):
    """Whether an availability zone leaves or returns."""

    OUT = 'out'
    IN = 'in'


@app.command()
def plan(
    intent: InputFile,
    out: Annotated[
        pathlib.Path | None,
        typer.Option(help='File in which to keep the plan.'),
    ] = None,
    node: Nodes = DEFAULT_NODES,
) -> None:
    """Show what an intent would change, and when."""
    _run(node, commands.make_plan, intent, out)


@app.command()
def confirm(
    plan_file: Annotated[
        pathlib.Path,
        typer.Argument(metavar='PLAN', exists=True, dir_okay=False),
    ],
    wait: Wait = DEFAULT_WAIT_S,
    accept_overload: AcceptOverload = False,
    node: Nodes = DEFAULT_NODES,
) -> None:
    """Confirm a plan and wait until it is in force everywhere."""
    options = commands.Options(accept_overload=accept_overload, wait_s=wait)
    _run(node, commands.confirm_file, plan_file, options)


@app.command()
def status(
    as_json: Annotated[bool, typer.Option('--json')] = False,
    node: Nodes = DEFAULT_NODES,
) -> None:
    """Show applied offsets and who was not heard from."""
    _run(node, commands.show_status, as_json)


@app.command()
def zone(
    direction: Direction,
    name: Annotated[str, typer.Argument(metavar='ZONE')],
    yes: Annotated[bool, typer.Option('--yes', '-y')] = False,
    wait: Wait = DEFAULT_WAIT_S,
    accept_overload: AcceptOverload = False,
    node: Nodes = DEFAULT_NODES,
) -> None:
    """Take an availability zone out of service or bring it back."""
    options = commands.Options(accept_overload, yes, wait)
    intent = {f'zones_{direction.value}': [name]}
    _run(node, commands.change_zone, intent, options)


def run() -> None:
    """Run the command of the process's arguments."""
    app()


def _run(
    nodes: list[str],
    command: Callable[..., Coroutine[object, object, ExitCode]],
    *arguments: object,
) -> None:
    react(_exit_with, (tuple(nodes), command, arguments))


async def _exit_with(
    clock: IReactorTime,
    nodes: tuple[str, ...],
    command: Callable[..., Coroutine[object, object, ExitCode]],
    arguments: tuple[object, ...],
) -> None:
    session = commands.Session(clock, OperatorClient(nodes))
    try:
        code = await command(session, *arguments)
    except OSError as error:
        complain(f'{error.filename}: {error.strerror}')
        code = ExitCode.BAD_INPUT
    sys.exit(code)
