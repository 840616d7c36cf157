"""Commands of ``bilberryrail``: plan, confirm, status and zone."""

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
from bilberryrail.cli.terminal import print_error

app = typer.Typer(
    help='Plan, confirm and watch configuration changes.',
    no_args_is_help=True,
    add_completion=False,
)

#: Host name, IPv4 address or IPv6 address in brackets, with a port.
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
        help='Operator address of a node, as HOST:PORT. Repeat the option for '
        'more nodes; in the environment variable, separate them by spaces.',
    ),
]
AcceptOverload = Annotated[
    bool,
    typer.Option(
        help='Confirm even if the remaining capacity is not sufficient.'
    ),
]
Wait = Annotated[
    float,
    typer.Option(min=0, help='Seconds to wait for the change to be in force.'),
]
InputFile = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, dir_okay=False, readable=True),
]

DEFAULT_NODES = ('127.0.0.1:8002',)
DEFAULT_WAIT_S = 15.0


class Direction(Enum):
    """Whether a zone is taken out of service or brought back."""

    OUT = 'out'
    IN = 'in'


@app.command()
def plan(
    intent: InputFile,
    out: Annotated[
        pathlib.Path | None,
        typer.Option(help='File to which the plan is written.'),
    ] = None,
    node: Nodes = DEFAULT_NODES,
) -> None:
    """Show what an intent would change and how soon."""
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
    """Show applied offsets and the zones and regions that do not report."""
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
    """Run the command that the arguments of the process name."""
    app()


def _run(
    nodes: list[str],
    command: Callable[..., Coroutine[object, object, ExitCode]],
    *arguments: object,
) -> None:
    react(_run_and_exit, (tuple(nodes), command, arguments))


async def _run_and_exit(
    clock: IReactorTime,
    nodes: tuple[str, ...],
    command: Callable[..., Coroutine[object, object, ExitCode]],
    arguments: tuple[object, ...],
) -> None:
    session = commands.Session(clock, OperatorClient(nodes))
    try:
        code = await command(session, *arguments)
    except OSError as error:
        print_error(f'{error.filename}: {error.strerror}')
        code = ExitCode.BAD_INPUT
    sys.exit(code)
