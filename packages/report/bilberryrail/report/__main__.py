"""Command line: tables and plots of the rounds on one site."""

import pathlib
from typing import Annotated

import typer

from bilberryrail.report import plots, summary
from bilberryrail.report.journal import SiteName, of_site, read_journal

_JOURNAL = pathlib.Path('journal')

app = typer.Typer(help=__doc__)


@app.command()
def rounds(
    site: Annotated[str, typer.Argument(help='Name of the site.')],
    plot: Annotated[
        pathlib.Path | None,
        typer.Option(help='Also draw worth and prices into this file.'),
    ] = None,
    journal: Annotated[
        pathlib.Path,
        typer.Option(help='Folder of the journal.'),
    ] = _JOURNAL,
) -> None:
    """Print worth of each standard day, in its first and its last round."""
    if not journal.is_dir():
        typer.echo(f'journal folder "{journal}" does not exist', err=True)
        raise typer.Exit(2)
    found, errors = read_journal(journal)
    for unread in errors:
        typer.echo(f'{unread.path}: skipped: {unread.reason}', err=True)
    chosen = of_site(found, SiteName(site))
    if not chosen:
        typer.echo(f'the journal has no rounds on site "{site}"', err=True)
        raise typer.Exit(1)
    typer.echo(summary.table(chosen))
    if plot is not None:
        try:
            plots.draw(chosen, plot)
        except OSError as error:
            typer.echo(f'cannot write "{plot}": {error}', err=True)
            raise typer.Exit(2) from error


if __name__ == '__main__':
    app()
