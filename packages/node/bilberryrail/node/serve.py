"""Runs a node until it is told to shut down and has drained."""

import asyncio
import gc
import random
import signal
from typing import Any

from bilberryrail.node.process import NodeProcess
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.settings.node import NodeSettings


async def serve(settings: NodeSettings, reactor: Any) -> None:
    """Run a node; SIGTERM and SIGINT make it drain."""
    engine = NodeEngine(settings.engine, random.SystemRandom())
    process = NodeProcess(settings, engine, reactor)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.lifecycle.terminate)
    await process.start()
    # Objects made at start live as long as the process; scanning them again in
    # every collection would add pauses of several ms to calls.
    gc.collect()
    gc.freeze()
    await process.finished
