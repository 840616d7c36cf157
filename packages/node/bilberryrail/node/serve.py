"""Runs a node until it has drained after a signal to terminate."""

import asyncio
import gc
import random
import signal
from typing import Any

from bilberryrail.node.process import NodeProcess
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.settings.node import NodeSettings


async def serve(settings: NodeSettings, reactor: Any) -> None:
    """Run a node; SIGTERM and SIGINT make it drain and stop."""
    engine = NodeEngine(settings.engine, random.SystemRandom())
    process = NodeProcess(settings, engine, reactor)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.lifecycle.terminate)
    await process.start()
    # Objects created during startup live as long as the process. They are
    # excluded from garbage collection, because scanning them in every
    # collection would delay calls by several ms.
    gc.collect()
    gc.freeze()
    await process.finished
