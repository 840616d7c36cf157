"""Slot time spent on calls whose ingress has died, with and without removal.

A call whose caller can no longer get its answer is an orphan. The removal of
orphans follows "A Nested Transaction Mechanism for LOCUS" (Mueller, Moore and
Popek, 1983), which aborts the members of a transaction that lost its parent.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryrail.bench.backends import FakeBackend
from bilberryrail.bench.calls import Phase, arrivals
from bilberryrail.bench.fabric import Fabric, SimulatedNode
from bilberryrail.bench.results import RunResult
from bilberryrail.bench.run import DRAIN_S
from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.bench.topology import SERVICE_TIME_S, TSAGAAN_TAL
from bilberryrail.control import messages
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import NodeId
from bilberryrail.policy import actions, events
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.settings import AdmissionSettings, EngineSettings

PHASES = (Phase(12.0, 0.1), Phase(14.5, 0.7))
#: Service whose calls may be aborted. The calls of the other services run to
#: their end, because their reservations keep the answers.
ABORTABLE_SERVICE = 'court-status'
#: Number of runs that are added up, because one death leaves few orphans.
RUNS = 4
#: Time at which the ingress node dies, in seconds.
DEATH_S = 14.0
#: Time until the other nodes detect that their links are broken, in seconds.
LINK_LOSS_DETECTION_S = 0.002
#: Factors by which the service times of all backend servers are multiplied,
#: because the orphans of slow backend servers run for longer.
SLOW_FACTORS = (10.0,)


@dataclass(slots=True)
class RunningCall:
    """A call that has been dispatched, and the time at which it ended.

    Attributes
    ----------
    ended_s
        Time in seconds, or None while the call runs.
    """

    ended_s: float | None = None


class DyingFabric(Fabric):
    """A fabric in which one node dies.

    Attributes
    ----------
    running
        Calls at backend servers, by node and dispatch.
    orphans
        Abortable calls that the node that dies sent to other nodes, including
        those that end before its death.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        backends: dict[NodeId, FakeBackend],
        seed: int,
        admission: AdmissionSettings,
    ) -> None:
        self.admission = admission
        self.dead_node: NodeId | None = None
        self.running: dict[tuple[NodeId, int], RunningCall] = {}
        self.orphans: list[RunningCall] = []
        super().__init__(scheduler, TSAGAAN_TAL, backends, seed, RunResult())

    @property
    def dying_node(self) -> NodeId:
        """Name of the node that dies, which is the first of the deployment."""
        return next(iter(self.nodes))

    def make_node(
        self,
        identity: NodeIdentity,
        backend: FakeBackend,
        seed: str,
    ) -> SimulatedNode:
        """Make a node with the admission settings under measurement."""
        settings = EngineSettings(identity=identity, admission=self.admission)
        engine = NodeEngine(settings, random.Random(seed))
        return SimulatedNode(identity, engine, backend)

    def handle(self, node: SimulatedNode, event: events.Event) -> None:
        """Handle an event unless the node is dead; record which calls end."""
        if node.identity.node == self.dead_node:
            return
        if isinstance(event, events.BackendAnswered | events.BackendFailed):
            key = (node.identity.node, event.dispatch)
            ended = self.running.pop(key, None)
            if ended is not None:
                ended.ended_s = self.scheduler.now
        super().handle(node, event)

    def kill(self, dead_node: NodeId) -> None:
        """Stop a node and break its links."""
        self.dead_node = dead_node
        for node in self.nodes.values():
            lost = messages.LinkDown(dead_node, 'closed')
            self._handle_later(LINK_LOSS_DETECTION_S, node, lost)

    def _dispatch(self, node: SimulatedNode, action: actions.Dispatch) -> None:
        call = RunningCall()
        self.running[node.identity.node, action.dispatch] = call
        is_abortable = node.identity.service == ABORTABLE_SERVICE
        is_remote = node.identity.node != self.dying_node
        if action.peer == self.dying_node and is_abortable and is_remote:
            self.orphans.append(call)
        super()._dispatch(node, action)


def measure(seed: int) -> Iterator[str]:
    """Yield a table of slot times, with and without removal of orphans."""
    yield '| service time | removal | orphans | slot time after the death, ms |'
    yield '|---|---|---|---|'
    for slow_factor in SLOW_FACTORS:
        for removes in (False, True):
            yield _row(slow_factor, removes, seed)


def _row(slow_factor: float, removes: bool, seed: int) -> str:
    slot_times = [
        slot_time
        for run in range(RUNS)
        for slot_time in _run(slow_factor, removes, seed + run)
    ]
    name = 'on' if removes else 'off'
    return (
        f'| {SERVICE_TIME_S * slow_factor * 1000:.0f} ms | {name} '
        f'| {len(slot_times)} | {sum(slot_times) * 1000:.0f} |'
    )


def _run(slow_factor: float, removes: bool, seed: int) -> list[float]:
    """Return how long each orphan ran after the death, in seconds."""
    scheduler = Scheduler()
    backends = {
        identity.node: FakeBackend(
            scheduler,
            TSAGAAN_TAL.limits,
            random.Random(f'{seed}/{identity.node}'),
            slow_factor=slow_factor,
        )
        for identity in TSAGAAN_TAL.identities()
    }
    settings = AdmissionSettings(cancel_on_link_loss=removes)
    fabric = DyingFabric(scheduler, backends, seed, settings)
    fabric.start()
    scheduler.at(DEATH_S, lambda: fabric.kill(fabric.dying_node))
    calls = arrivals(TSAGAAN_TAL, PHASES, SERVICE_TIME_S * slow_factor, seed)
    for call in calls:
        scheduler.run_until(call.arrives_s)
        fabric.submit(call, lambda *_: None)
    scheduler.run_until(PHASES[-1].until_s + DRAIN_S)
    return [
        (orphan.ended_s or scheduler.now) - DEATH_S
        for orphan in fabric.orphans
        if orphan.ended_s is None or orphan.ended_s > DEATH_S
    ]
