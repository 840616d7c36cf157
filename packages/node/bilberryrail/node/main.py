"""Command line of ``bilberryrail-node``."""

import asyncio
import importlib
import pathlib
from typing import Annotated, Final

import typer
from absl import flags, logging
from twisted.internet.error import CannotListenError

from bilberryrail.node import logs, reactor
from bilberryrail.settings.node import NodeSettings
from bilberryrail.settings.reading import read_node_settings

_INVALID_SETTINGS: Final = 2

app = typer.Typer(add_completion=False)


@app.command()
def node(
    settings: Annotated[pathlib.Path, typer.Argument(help='JSON file.')],
    check: Annotated[
        bool,
        typer.Option('--check', help='Only check the settings.'),
    ] = False,
) -> None:
    """Run the node beside a backend server."""
    read = read_node_settings(settings)
    if read.is_err():
        typer.echo(str(read.unwrap_err()), err=True)
        raise typer.Exit(_INVALID_SETTINGS)
    if check:
        typer.echo('settings are valid')
        return
    _serve(read.unwrap())


def run() -> None:
    """Run the command line interface."""
    app()


def _serve(settings: NodeSettings) -> None:
    # absl prints a warning with each log line until its flags are parsed.
    flags.FLAGS(['bilberryrail-node'])
    logging.use_absl_handler()
    logs.set_level(settings.log_level)
    loop_reactor = reactor.install()
    # This module is imported late because it imports klein, which requires
    # that the reactor is already installed.
    serving = importlib.import_module('bilberryrail.node.serve')
    loop = asyncio.get_event_loop()
    task = loop.create_task(serving.serve(settings, loop_reactor))
    task.add_done_callback(lambda _: loop_reactor.stop())
    loop_reactor.run(installSignalHandlers=False)
    try:
        task.result()
    except (OSError, CannotListenError) as error:
        typer.echo(f'cannot listen: {error}', err=True)
        raise typer.Exit(1) from error
