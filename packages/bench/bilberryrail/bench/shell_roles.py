"""Processes of the latency measurements, except the caller."""

import asyncio
import gc
import sys
from enum import Enum
from typing import Any

import msgspec

from bilberryrail.bench.raw_http import RawBackend
from bilberryrail.node import logs, reactor
from bilberryrail.settings.node import NodeSettings


class Role(Enum):
    """Role of a process in the measurement."""

    BACKEND = 'backend'
    INGRESS = 'ingress'
    TARGET = 'target'


class Layout(msgspec.Struct, frozen=True):
    """Settings of both nodes."""

    ingress: NodeSettings
    target: NodeSettings


def new_layout() -> Layout:
    """Build the settings of both nodes with free ports."""
    from bilberryrail.bench.shell_harness import node_settings

    return Layout(ingress=node_settings('n1'), target=node_settings('n2'))


async def _backend(layout: Layout) -> Any:
    backend = RawBackend()
    await backend.start(layout.target.backend.port)
    return backend


async def _node(role: Role, layout: Layout, node_reactor: Any) -> Any:
    from bilberryrail.bench.scripted_engine import ScriptedEngine
    from bilberryrail.bench.shell_harness import member_of
    from bilberryrail.node.process import NodeProcess

    settings = layout.ingress if role is Role.INGRESS else layout.target
    target = layout.target.engine.identity
    engine = ScriptedEngine(settings.engine.identity, target.node)
    engine.plane.unlogged[target.node] = member_of(target)
    process = NodeProcess(settings, engine, node_reactor)
    await process.start()
    gc.collect()
    gc.freeze()
    return process


def main() -> None:
    """Run the process of the role that the command line names."""
    role = Role(sys.argv[1])
    layout = msgspec.json.decode(sys.argv[2], type=Layout)
    logs.set_level('warning')
    node_reactor = reactor.install()
    loop = asyncio.get_event_loop()
    if role is Role.BACKEND:
        serving = _backend(layout)
    else:
        serving = _node(role, layout, node_reactor)
    running = loop.create_task(serving)
    node_reactor.run()
    running.result()


if __name__ == '__main__':
    main()
