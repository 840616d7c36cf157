"""Starts a deployment on loopback and controls it as operators do."""

import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from bilberryrail.core.ids import AvailabilityZoneId, NodeId
from bilberryrail.standins.deployments import (
    DeploymentPlan,
    HostPlan,
    first_intent,
    node_settings,
)
from bilberryrail.standins.endpoint import Endpoint
from bilberryrail.standins.load_settings import (
    DEFAULT_PATIENCE_S,
    LoadNode,
    LoadService,
    LoadSettings,
)
from bilberryrail.standins.processes import LOOPBACK, Child, Children

#: Number of node addresses given to the operators' command. There are several,
#: because one of them may be in a zone that is out.
MAX_OPERATOR_ADDRESSES = 3
COMMAND_TIMEOUT_S = 40
JOIN_TIMEOUT_S = 20
JOIN_POLL_INTERVAL_S = 0.25
#: Log event of a node that accepts calls from now on.
SERVING_EVENT = 'event=lifecycle phase=serving'


class DemoError(Exception):
    """A step of the demo failed."""


class ExecutionCount(msgspec.Struct):
    """Answer to ``GET /executions``; other fields are ignored."""

    server: str
    total: int
    refused: int
    max_cold_excess: int


class MemberCount(msgspec.Struct):
    """Number of members in a node's status; other fields are ignored."""

    members: int


@dataclass(frozen=True, slots=True)
class System:
    """A running deployment: the plan and its processes by node."""

    plan: DeploymentPlan
    children: Children
    nodes: dict[NodeId, Child]

    def replace(self, host: HostPlan) -> int:
        """Shut down a node gracefully and start it again.

        Returns
        -------
        int
            Exit status of the old process; negative if a signal ended it.
        """
        old = self.nodes[host.identity.node]
        status = self.children.stop([old])[old.name]
        self.start(host.identity.node)
        return status

    def wait_until_serving(self, host: HostPlan) -> None:
        """Wait until a node has caught up and accepts calls."""
        child = self.nodes[host.identity.node]
        self.children.wait_for_output(child, SERVING_EVENT)

    def run_command(self, *arguments: str) -> str:
        """Run the operators' command and return its output.

        Raises
        ------
        DemoError
            If the command fails or takes too long.
        """
        status, printed = self.try_command(*arguments)
        if status:
            raise DemoError(
                f'bilberryrail {" ".join(arguments)} ended with status '
                f'{status}:\n{printed}',
            )
        return printed

    def try_command(self, *arguments: str) -> tuple[int, str]:
        """Run the operators' command and return its status and output.

        Raises
        ------
        DemoError
            If the command takes too long.
        """
        addresses = [
            word
            for host in self.plan.hosts[:MAX_OPERATOR_ADDRESSES]
            for word in ('--node', f'{LOOPBACK}:{host.operator_port}')
        ]
        words = [sys.executable, '-m', 'bilberryrail.cli', *arguments]
        try:
            done = subprocess.run(
                words + addresses,
                capture_output=True,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired as error:
            raise DemoError(
                f'bilberryrail {" ".join(arguments)} did not end within '
                f'{COMMAND_TIMEOUT_S} s',
            ) from error
        return done.returncode, done.stdout + done.stderr

    def make_plan(self, name: str, intent: object) -> str:
        """Plan an intent by the operators' command; return the plan's path.

        Raises
        ------
        DemoError
            If the intent is refused.
        """
        children = self.children
        path = children.write(f'{name}.json', msgspec.json.encode(intent))
        plan_path = children.directory / f'{name}.plan.json'
        self.run_command('plan', str(path), '--out', str(plan_path))
        return str(plan_path)

    def set_log_faults(self, **faults: object) -> None:
        """Set the faults of the log service; see ``log_app.Faults``."""
        Endpoint(self.plan.log_port).json('POST', '/faults', faults)

    def host(self, node: str) -> HostPlan:
        """Return the host of a node."""
        return next(
            host for host in self.plan.hosts if host.identity.node == node
        )

    def start(self, node: str) -> None:
        """Start a node and wait until it accepts calls."""
        host = self.host(node)
        self.nodes[host.identity.node] = start_node(
            self.plan,
            host,
            self.children,
        )
        self.wait_until_serving(host)

    @contextlib.contextmanager
    def frozen(self, node: str) -> Iterator[None]:
        """Pause a node's process with SIGSTOP until the context is left."""
        process = self.nodes[self.host(node).identity.node].process
        process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            process.send_signal(signal.SIGCONT)

    def executions(self, hosts: Iterable[HostPlan]) -> int:
        """Count the calls that were started on some hosts."""
        return sum(self._count(host.backend.port).total for host in hosts)

    def executions_in(self, zone: AvailabilityZoneId) -> int:
        """Count the calls that were started in one availability zone."""
        return self.executions(self.plan.in_zone(zone))

    def cold_excess(self) -> int:
        """Return the largest ``max_cold_excess`` among all backend servers."""
        return max(
            self._count(host.backend.port).max_cold_excess
            for host in self.plan.hosts
        )

    def load_settings(
        self,
        seed: int,
        seconds: float,
        rate: float,
        patience_s: float = DEFAULT_PATIENCE_S,
    ) -> LoadSettings:
        """Make the settings of a load that calls all services."""
        deployment = self.plan.deployment
        return LoadSettings(
            nodes=tuple(
                LoadNode(
                    f'http://{LOOPBACK}:{host.identity.http_port}',
                    host.identity.region,
                )
                for host in self.plan.hosts
            ),
            backends=tuple(
                f'http://{LOOPBACK}:{host.backend.port}'
                for host in self.plan.hosts
            ),
            services=tuple(
                LoadService(spec.service, spec.idempotent)
                for spec in deployment.services
            ),
            tenants=deployment.tenants,
            seed=seed,
            seconds=seconds,
            rate=rate,
            patience_s=patience_s,
        )

    def _count(self, port: int) -> ExecutionCount:
        _, body = Endpoint(port).send('GET', '/executions')
        return msgspec.json.decode(body, type=ExecutionCount)


def start_system(
    plan: DeploymentPlan,
    children: Children,
    spare: tuple[str, ...] = (),
) -> System:
    """Start log service, backend servers and nodes; wait until all are ready.

    Parameters
    ----------
    spare
        Nodes that are not started; ``System.start`` starts them later.
    """
    _start_log(plan, children)
    _start_backends(plan, children)
    nodes = {
        host.identity.node: start_node(plan, host, children)
        for host in plan.hosts
        if host.identity.node not in spare
    }
    system = System(plan, children, nodes)
    for node in nodes:
        system.wait_until_serving(system.host(node))
    return system


def start_node(
    plan: DeploymentPlan,
    host: HostPlan,
    children: Children,
) -> Child:
    """Start one node without waiting until it is ready."""
    name = host.identity.node
    encoded = msgspec.json.encode(node_settings(plan, host))
    path = children.write(f'{name}.json', encoded)
    return children.start(name, 'bilberryrail.node', str(path))


def confirm_first_intent(system: System) -> str:
    """Confirm the first intent through the operators' command.

    Planning counts the slots of announced members, so this waits until all
    nodes have joined.
    """
    _wait_for_members(system)
    intent = msgspec.json.encode(first_intent(system.plan.deployment))
    intent_path = system.children.write('intent.json', intent)
    plan_path = system.children.directory / 'plan.json'
    printed = system.run_command(
        'plan', str(intent_path), '--out', str(plan_path)
    )
    return printed + system.run_command('confirm', str(plan_path))


def _wait_for_members(system: System) -> None:
    expected = len(system.nodes)
    deadline = time.monotonic() + JOIN_TIMEOUT_S
    while True:
        printed = system.run_command('status', '--json')
        members = msgspec.json.decode(printed, type=MemberCount).members
        if members == expected:
            return
        if time.monotonic() > deadline:
            raise DemoError(
                f'{members} of {expected} nodes have joined within '
                f'{JOIN_TIMEOUT_S} s',
            )
        time.sleep(JOIN_POLL_INTERVAL_S)


def _start_log(plan: DeploymentPlan, children: Children) -> None:
    port = plan.log_port
    module = 'bilberryrail.standins.log_service'
    child = children.start('log', module, '--port', str(port))
    children.wait_until_listening(child, [port])


def _start_backends(plan: DeploymentPlan, children: Children) -> None:
    backends = [host.backend for host in plan.hosts]
    path = children.write('backends.json', msgspec.json.encode(backends))
    module = 'bilberryrail.standins.backend_server'
    child = children.start('backends', module, str(path))
    children.wait_until_listening(child, [server.port for server in backends])
