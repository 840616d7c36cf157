"""Slot time spent on calls whose ingress has died, with and without removal.

A call whose caller can no longer get its answer is an orphan. Removing orphans
follows "A Nested Transaction Mechanism for LOCUS" (Mueller, Moore and Popek,
1983), which aborts the members of a transaction that lost its parent.
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
#: Service whose calls may be aborted; the others run to their end because
#: their reservation keeps the answer.
LOOKUPS = 'court-status'
#: Deaths that are added up; one leaves few orphans.
DEATHS = 4
#: Time at which the ingress node dies.
DEATH_S = 14.0
#: Time until the other nodes notice that their links are broken.
NOTICE_S = 0.002
#: Slow backend servers make orphans long; all are slowed by this.
SLOW_FACTORS = (10.0,)


@dataclass(slots=True)
class Orphan:
    """A call that was running when its ingress died."""

    ended_s: float | None = None


class DyingFabric(Fabric):
    """A fabric in which the ingress of some calls dies."""

    def __init__(
        self,
        scheduler: Scheduler,
        backends: dict[NodeId, FakeBackend],
        seed: int,
        admission: AdmissionSettings,
    ) -> None:
        self.admission = admission
        self.dead: NodeId | None = None
        self.running: dict[tuple[NodeId, int], Orphan] = {}
        self.orphans: list[Orphan] = []
        super().__init__(scheduler, TSAGAAN_TAL, backends, seed, RunResult())

    @property
    def victim(self) -> NodeId:
        """The node that dies: the first of the deployment."""
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
        """Handle an event unless the node is dead; note ended calls."""
        if node.identity.node == self.dead:
            return
        if isinstance(event, events.BackendAnswered | events.BackendFailed):
            key = (node.identity.node, event.dispatch)
            ended = self.running.pop(key, None)
            if ended is not None:
                ended.ended_s = self.scheduler.now
        super().handle(node, event)

    def kill(self, dead: NodeId) -> None:
        """End a process and break its links."""
        self.dead = dead
        for node in self.nodes.values():
            lost = messages.LinkDown(dead, 'closed')
            self._handle_later(NOTICE_S, node, lost)

    def _dispatch(self, node: SimulatedNode, action: actions.Dispatch) -> None:
        call = Orphan()
        self.running[node.identity.node, action.dispatch] = call
        is_abortable = node.identity.service == LOOKUPS
        is_remote = node.identity.node != self.victim
        if action.peer == self.victim and is_abortable and is_remote:
            self.orphans.append(call)
        super()._dispatch(node, action)


def measure(seed: int) -> Iterator[str]:
    """Yield the lines of a table, with and without removal."""
    yield '| service time | removal | orphans | slot time after the death, ms |'
    yield '|---|---|---|---|'
    for slow in SLOW_FACTORS:
        for removes in (False, True):
            yield _row(slow, removes, seed)


def _row(slow: float, removes: bool, seed: int) -> str:
    remains = [
        remaining
        for death in range(DEATHS)
        for remaining in _run(slow, removes, seed + death)
    ]
    name = 'on' if removes else 'off'
    return (
        f'| {SERVICE_TIME_S * slow * 1000:.0f} ms | {name} | {len(remains)} '
        f'| {sum(remains) * 1000:.0f} |'
    )


def _run(slow: float, removes: bool, seed: int) -> list[float]:
    """Return for how long each orphan ran after the death, in seconds."""
    scheduler = Scheduler()
    backends = {
        identity.node: FakeBackend(
            scheduler,
            TSAGAAN_TAL.limits,
            random.Random(f'{seed}/{identity.node}'),
            slow_factor=slow,
        )
        for identity in TSAGAAN_TAL.identities()
    }
    settings = AdmissionSettings(cancel_on_link_loss=removes)
    fabric = DyingFabric(scheduler, backends, seed, settings)
    fabric.start()
    scheduler.at(DEATH_S, lambda: fabric.kill(fabric.victim))
    calls = arrivals(TSAGAAN_TAL, PHASES, SERVICE_TIME_S * slow, seed)
    for call in calls:
        scheduler.run_until(call.arrives_s)
        fabric.submit(call, lambda *_: None)
    scheduler.run_until(PHASES[-1].until_s + DRAIN_S)
    return [
        (orphan.ended_s or scheduler.now) - DEATH_S
        for orphan in fabric.orphans
        if orphan.ended_s is None or orphan.ended_s > DEATH_S
    ]
