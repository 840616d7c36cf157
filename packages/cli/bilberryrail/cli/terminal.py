"""Output and questions on the terminal of the operator."""

from collections.abc import Iterable

import typer


def print_lines(lines: Iterable[str]) -> None:
    """Print lines to standard output."""
    for line in lines:
        typer.echo(line)


def print_error(message: str) -> None:
    """Print an error to standard error."""
    typer.echo(f'bilberryrail: {message}', err=True)


def ask_yes_or_no(question: str) -> bool:
    """Ask a yes-or-no question; Ctrl-C and end of input count as no."""
    try:
        return typer.confirm(question)
    except typer.Abort:
        return False
