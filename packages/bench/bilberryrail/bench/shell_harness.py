"""Starts shells with scripted engines in this process, on loopback."""

import socket
from dataclasses import dataclass
from typing import Any, Final

from bilberryrail.bench.raw_http import RawBackend
from bilberryrail.bench.scripted_engine import ScriptedEngine
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import Incarnation
from bilberryrail.core.records import Member
from bilberryrail.node.process import NodeProcess
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.settings.node import (
    BackendSettings,
    LogSettings,
    NodeSettings,
)

HOST: Final = '127.0.0.1'
MAX_BODY_BYTES: Final = 1000


@dataclass(frozen=True, slots=True)
class Shell:
    """A running shell with its settings, engine and backend server."""

    settings: NodeSettings
    engine: ScriptedEngine
    process: NodeProcess
    backend: RawBackend

    @property
    def callers_port(self) -> int:
        """HTTP port on which the shell serves callers."""
        return self.settings.engine.identity.http_port

    async def close(self) -> None:
        """Stop the backend server and close the shell."""
        self.backend.released.set()
        self.backend.stop()
        await self.process.close()


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind((HOST, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for used in sockets:
        used.close()
    return ports


def node_settings(name: str, log_port: int | None = None) -> NodeSettings:
    """Build the settings of a node with free ports."""
    peer, http, operator, backend = free_ports(4)
    log = log_port or free_ports(1)[0]
    identity = NodeIdentity(
        node=name,
        service='bookings',
        zone='ub1',
        region='ulaanbaatar',
        host=HOST,
        port=peer,
        http_port=http,
    )
    return NodeSettings(
        engine=EngineSettings(identity=identity),
        log=LogSettings(url=f'http://{HOST}:{log}', timeout_s=1),
        backend=BackendSettings(port=backend),
        operator_port=operator,
        max_body_bytes=MAX_BODY_BYTES,
    )


async def start_shell(
    settings: NodeSettings,
    reactor: Any,
    target: str,
) -> Shell:
    """Start a shell whose engine sends every call to ``target``."""
    engine = ScriptedEngine(settings.engine.identity, target)
    process = NodeProcess(settings, engine, reactor)
    backend = RawBackend()
    await backend.start(settings.backend.port)
    await process.start()
    return Shell(settings, engine, process, backend)


def add_member(shell: Shell, other: Shell) -> None:
    """Add another shell to the members that a shell knows."""
    identity = other.settings.engine.identity
    shell.engine.plane.unlogged[identity.node] = member_of(identity)


def member_of(identity: NodeIdentity) -> Member:
    """Return the member that a node with these settings announces."""
    return Member(
        node=identity.node,
        incarnation=Incarnation(1),
        service=identity.service,
        zone=identity.zone,
        region=identity.region,
        host=identity.host,
        port=identity.port,
        http_port=identity.http_port,
    )


async def start_pair(reactor: Any) -> tuple[Shell, Shell]:
    """Start an ingress that sends every call to a target."""
    ingress = await start_shell(node_settings('n1'), reactor, 'n2')
    target = await start_shell(node_settings('n2'), reactor, 'n2')
    add_member(ingress, target)
    add_member(target, ingress)
    return ingress, target
