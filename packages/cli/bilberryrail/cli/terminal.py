"""Output to and questions on the operator's terminal."""

from collections.abc import Iterable

import typer


def show(lines: Iterable[str]) -> None:
    """Print lines to standard output."""
    for line in lines:
        typer.echo(line)


def complain(message: str) -> None:
    """Print an error to standard error."""
    typer.echo(f'bilberryrail: {message}', err=True)


def ask(question: str) -> bool:
    """Ask a yes-or-no question; no answer at all means no."""
    try:
        return typer.confirm(question)
    except typer.Abort:
        return False
