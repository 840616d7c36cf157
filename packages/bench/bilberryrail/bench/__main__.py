"""Measurements from the command line: ``python3 dev.py bench``."""

import os
from typing import Annotated

import typer

from bilberryrail.bench import slopes as slope_tables
from bilberryrail.bench.orphans import measure as measure_orphans
from bilberryrail.bench.table import measure

#: Half of the cores, so that a measurement leaves the machine usable.
DEFAULT_PROCESSES = max(1, (os.cpu_count() or 2) // 2)

application = typer.Typer(help='Measure the decisions on the paused clock.')


@application.command()
def table(
    seed: Annotated[int, typer.Option(help='Seed of all draws.')] = 1,
    processes: Annotated[
        int,
        typer.Option(help='Runs at the same time.'),
    ] = DEFAULT_PROCESSES,
    only: Annotated[
        str,
        typer.Option(help='Run scenarios whose name contains this.'),
    ] = '',
) -> None:
    """Compare the project with its baselines in every scenario."""
    for line in measure(seed, processes, only):
        typer.echo(line)


@application.command()
def slopes(
    only: Annotated[
        str,
        typer.Option(help='Measure cases whose name contains this.'),
    ] = '',
) -> None:
    """Measure memory, bytes and processor time by size; fit lines."""
    for line in slope_tables.measure(only):
        typer.echo(line)


@application.command()
def orphans(
    seed: Annotated[int, typer.Option(help='Seed of all draws.')] = 1,
) -> None:
    """Measure slot time on calls whose ingress died."""
    for line in measure_orphans(seed):
        typer.echo(line)


@application.callback()
def main() -> None:
    """Measure the decisions on the paused clock."""


if __name__ == '__main__':
    application()
