"""Process of the stand-in for the log service.

Usage: ``python -m bilberryrail.standins.log_service --port PORT``.
"""

from typing import Annotated

import typer

from bilberryrail.standins.asyncio_loop import reactor, serve
from bilberryrail.standins.log_app import LogApp


def main(
    port: Annotated[int, typer.Option(min=1)],
    retention: Annotated[int, typer.Option(min=1)] = 100_000,
) -> None:
    """Serve streams from memory until SIGTERM; retention is in records."""
    serve({port: LogApp(retention, reactor).app.resource()})


if __name__ == '__main__':
    typer.run(main)
