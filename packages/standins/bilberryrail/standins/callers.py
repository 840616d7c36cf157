"""Seeded load of callers: ``python -m bilberryrail.standins.callers``.

Calls arrive as a Poisson process and do not wait for each other. SIGTERM ends
the arrivals early; calls in flight are still finished. At the end the load asks every backend server what it executed and compares.
"""

import asyncio
import pathlib
import signal
from typing import Annotated

import msgspec
import typer
from absl import logging
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from bilberryrail.standins.asyncio_loop import run_until_done
from bilberryrail.standins.load_run import Stopping, run_load
from bilberryrail.standins.load_settings import LoadSettings


def main(
    settings: pathlib.Path,
    out: Annotated[pathlib.Path, typer.Option()],
) -> None:
    """Run the load of a settings file and write its report as JSON."""
    logging.set_verbosity(logging.INFO)
    load = msgspec.json.decode(settings.read_bytes(), type=LoadSettings)
    run_until_done(_run, load, out)


async def _run(
    clock: IReactorTime,
    load: LoadSettings,
    out: pathlib.Path,
) -> None:
    # The reactor installs its own handlers when it begins to run.
    await deferLater(clock, 0)
    stopping = Stopping()
    loop = asyncio.get_event_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.request)
    logging.info('event=load-started rate=%s', load.rate)
    report = await run_load(load, clock, stopping)
    out.write_bytes(msgspec.json.encode(report))


if __name__ == '__main__':
    typer.run(main)
