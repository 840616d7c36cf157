"""Command line: table and plot of the rounds on one site."""

import pathlib
from typing import Annotated

import typer

from bilberryrail.report import plots, summary
from bilberryrail.report.journal import SiteName, read_journal, rounds_of_site

_JOURNAL = pathlib.Path('journal')

app = typer.Typer(help=__doc__)


@app.command()
def rounds(
    site: Annotated[str, typer.Argument(help='Name of the site.')],
    plot: Annotated[
        pathlib.Path | None,
        typer.Option(
            help='File to which a plot of worth and prices is written.'
        ),
    ] = None,
    journal: Annotated[
        pathlib.Path,
        typer.Option(help='Folder that holds the journal.'),
    ] = _JOURNAL,
) -> None:
    """Print the worth of each standard day in its first and last round."""
    if not journal.is_dir():
        typer.echo(f'journal folder "{journal}" does not exist', err=True)
        raise typer.Exit(2)
    all_rounds, errors = read_journal(journal)
    for failed in errors:
        typer.echo(f'{failed.path}: skipped: {failed.reason}', err=True)
    site_rounds = rounds_of_site(all_rounds, SiteName(site))
    if not site_rounds:
        typer.echo(f'the journal has no rounds on site "{site}"', err=True)
        raise typer.Exit(1)
    typer.echo(summary.markdown_table(site_rounds))
    if plot is not None:
        try:
            plots.draw(site_rounds, plot)
        except OSError as error:
            typer.echo(f'cannot write "{plot}": {error}', err=True)
            raise typer.Exit(2) from error


if __name__ == '__main__':
    app()
