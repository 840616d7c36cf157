"""Measures the latency that two complete nodes add to a call on loopback.

Run in the developers' environment:
``python -m bilberryrail.bench.node_latency --calls 3000 --rate 200``

Works like ``shell_latency``, but with the real engines and the stand-in for the
log service. The ingress belongs to a service of its own, so that each call
takes the whole path: caller, ingress, target, backend server.
"""

import asyncio
import time
from pathlib import Path
from typing import Any, Final

import msgspec
import typer

from bilberryrail.bench.shell_latency import (
    measure_layout,
    report,
    resident_mb,
)
from bilberryrail.bench.shell_roles import Layout, Role
from bilberryrail.core.ids import AvailabilityZoneId, RegionId, ServiceId
from bilberryrail.core.records import BackendLimits
from bilberryrail.settings.node import NodeSettings
from bilberryrail.standins.demo_system import System, confirm_first_intent
from bilberryrail.standins.deployments import (
    Deployment,
    DeploymentPlan,
    ServiceSpec,
    node_settings,
    plan_deployment,
)
from bilberryrail.standins.processes import Child, Children

#: Time until the configuration is in force and the cold-start ramp has ended,
#: in seconds.
WARM_UP_S: Final = 4.0
_LIMITS: Final = BackendLimits(
    slots=10,
    connections=250,
    cold_slots=2,
    warm_up_s=1.0,
)


def measure(
    calls: int = 3000,
    rate: float = 200,
    log_level: str = 'warning',
) -> None:
    """Print latencies in ms, and the step metrics and memory of the nodes."""
    plan = plan_deployment(_deployment(), 1)
    settings = [
        {**node_settings(plan, host), 'log_level': log_level}
        for host in plan.hosts
    ]
    layout = Layout(*msgspec.convert(settings, list[NodeSettings]))
    with Children() as children:
        nodes = _start(children, plan, layout, settings)
        typer.echo(confirm_first_intent(System(plan, children, nodes)))
        time.sleep(WARM_UP_S)
        report(*asyncio.run(measure_layout(layout, calls, 1 / rate)))
        for node in nodes:
            resident = resident_mb(node.process.pid)
            typer.echo(f'{node.name} resident: {resident:.1f} MB')


def _deployment() -> Deployment:
    zone, region = AvailabilityZoneId('ub1'), RegionId('ulaanbaatar')
    return Deployment(
        name='two-nodes',
        zones={zone: region},
        services=tuple(
            ServiceSpec(
                service=ServiceId(service),
                idempotent=True,
                servers=1,
                limits=_LIMITS,
                expected_concurrency=1,
            )
            for service in ('front', 'bookings')
        ),
        tenants={'club': ()},
    )


def _start(
    children: Children,
    plan: DeploymentPlan,
    layout: Layout,
    settings: list[dict[str, Any]],
) -> tuple[Child, ...]:
    port = str(plan.log_port)
    module = 'bilberryrail.standins.log_service'
    log = children.start('log', module, '--port', port)
    children.wait_until_listening(log, [plan.log_port])
    # Each node has a backend server whose health it checks. Only the target's
    # server gets calls.
    for name, served in (
        ('ingress', layout.ingress),
        ('target', layout.target),
    ):
        own = Layout(ingress=layout.ingress, target=served)
        _start_backend(children, f'{name}-backend', own)
    nodes = tuple(
        _start_node(children, host.identity.node, encoded)
        for host, encoded in zip(plan.hosts, settings, strict=True)
    )
    for node, host in zip(nodes, plan.hosts, strict=True):
        children.wait_until_listening(node, [host.operator_port])
    return nodes


def _start_backend(children: Children, name: str, layout: Layout) -> None:
    child = children.start(
        name,
        'bilberryrail.bench.shell_roles',
        Role.BACKEND.value,
        msgspec.json.encode(layout).decode(),
    )
    children.wait_until_listening(child, [layout.target.backend.port])


def _start_node(children: Children, name: str, settings: Any) -> Child:
    path: Path = children.write(f'{name}.json', msgspec.json.encode(settings))
    return children.start(name, 'bilberryrail.node', str(path))


if __name__ == '__main__':
    typer.run(measure)
