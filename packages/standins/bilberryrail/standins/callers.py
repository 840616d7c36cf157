"""Process that runs a seeded load of callers.

Usage: ``python -m bilberryrail.standins.callers SETTINGS --out REPORT``. Calls
arrive as a Poisson process and do not wait for each other. On SIGTERM no more
calls start, but calls in flight are still finished. At the end the load asks
every backend server which calls it executed and compares these with the
answers.
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
from bilberryrail.standins.load_run import StopFlag, run_load
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
    # The reactor installs its own signal handlers when it starts, so the
    # handler for SIGTERM is set afterwards.
    await deferLater(clock, 0)
    stop_flag = StopFlag()
    loop = asyncio.get_event_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_flag.set)
    logging.info('event=load-started rate=%s', load.rate)
    report = await run_load(load, clock, stop_flag)
    out.write_bytes(msgspec.json.encode(report))


if __name__ == '__main__':
    typer.run(main)
