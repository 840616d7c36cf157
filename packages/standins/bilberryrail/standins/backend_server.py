"""Process that runs any number of stand-ins for backend servers.

Usage: ``python -m bilberryrail.standins.backend_server SETTINGS``, where
``SETTINGS`` is a file that holds a JSON array of ``BackendSettings``.
"""

import pathlib

import msgspec
import typer

from bilberryrail.standins.asyncio_loop import reactor, serve
from bilberryrail.standins.backend_app import BackendApp
from bilberryrail.standins.backend_model import BackendSettings


def main(settings: pathlib.Path) -> None:
    """Serve the backend servers listed in a settings file until SIGTERM."""
    servers = msgspec.json.decode(
        settings.read_bytes(),
        type=tuple[BackendSettings, ...],
    )
    serve(
        {
            server.port: BackendApp(server, reactor).app.resource()
            for server in servers
        }
    )


if __name__ == '__main__':
    typer.run(main)
