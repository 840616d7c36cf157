"""Measurements from the command line: ``python3 dev.py bench``."""

import os
from typing import Annotated

import typer

from bilberryrail.bench import slopes as slope_tables
from bilberryrail.bench.orphans import measure as measure_orphans
from bilberryrail.bench.table import measure

#: Half of the cores, so that the host stays usable during a measurement.
DEFAULT_PROCESSES = max(1, (os.cpu_count() or 2) // 2)

application = typer.Typer(help='Measure decisions, and costs by size.')


@application.command()
def table(
    seed: Annotated[int, typer.Option(help='Seed of all random draws.')] = 1,
    processes: Annotated[
        int,
        typer.Option(help='Number of runs at the same time.'),
    ] = DEFAULT_PROCESSES,
    only: Annotated[
        str,
        typer.Option(help='Run scenarios whose name contains this text.'),
    ] = '',
) -> None:
    """Compare bilberryrail with the baselines in every scenario."""
    for line in measure(seed, processes, only):
        typer.echo(line)


@application.command()
def slopes(
    only: Annotated[
        str,
        typer.Option(help='Measure cases whose name contains this text.'),
    ] = '',
) -> None:
    """Fit lines to memory, bytes and processor time by size."""
    for line in slope_tables.measure(only):
        typer.echo(line)


@application.command()
def orphans(
    seed: Annotated[int, typer.Option(help='Seed of all random draws.')] = 1,
) -> None:
    """Measure the slot time used by calls whose ingress has died."""
    for line in measure_orphans(seed):
        typer.echo(line)


@application.callback()
def main() -> None:
    """Measure decisions on a simulated clock, and costs by size."""


if __name__ == '__main__':
    application()
