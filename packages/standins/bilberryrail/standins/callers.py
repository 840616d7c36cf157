"""Seeded load of callers: ``python -m bilberryrail.standins.callers``.

Calls arrive as a Poisson process and do not wait for each other. At the end
the load asks every backend server what it executed and compares.
"""

import pathlib
from typing import Annotated

import msgspec
import typer
from twisted.internet.interfaces import IReactorTime

from bilberryrail.standins.asyncio_loop import run_until_done
from bilberryrail.standins.load_run import run_load
from bilberryrail.standins.load_settings import LoadSettings


def main(
    settings: pathlib.Path,
    out: Annotated[pathlib.Path, typer.Option()],
) -> None:
    """Run the load of a settings file and write its report as JSON."""
    load = msgspec.json.decode(settings.read_bytes(), type=LoadSettings)
    run_until_done(_run, load, out)


async def _run(
    clock: IReactorTime,
    load: LoadSettings,
    out: pathlib.Path,
) -> None:
    report = await run_load(load, clock)
    out.write_bytes(msgspec.json.encode(report))


if __name__ == '__main__':
    typer.run(main)
