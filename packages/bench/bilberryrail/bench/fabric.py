"""Runs one decision engine per backend server over a fake network.

The fabric carries out the actions of each engine: messages arrive after the
latency between two availability zones, and dispatches go to fake backend
servers. It makes no decision itself.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryrail.bench.backends import FakeBackend
from bilberryrail.bench.calls import CALL_BYTES, DEADLINE_S, Call
from bilberryrail.bench.fake_log import FakeLog
from bilberryrail.bench.peer_events import control_event, peer_event
from bilberryrail.bench.results import RunResult
from bilberryrail.bench.scheduler import Scheduler, Timer
from bilberryrail.bench.topology import CLIENT_LATENCY_S, Deployment
from bilberryrail.control import messages
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    CallId,
    NodeId,
    RecordId,
    RegionId,
)
from bilberryrail.core.load import Outcome
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    Change,
    Edit,
    Member,
)
from bilberryrail.policy import actions, events
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.settings import EngineSettings

#: Time within which new work in an availability zone must stop after the zone
#: was taken out, in seconds; later dispatches are counted.
ZONE_LIMIT_S = 3.0
#: Age of a health report when the node receives it, in seconds.
HEALTH_LAG_S = 0.1


@dataclass(slots=True)
class Pending:
    """A call that waits for its outcome."""

    call: Call
    on_done: Callable[[Outcome, bool], None]


@dataclass(slots=True)
class SimulatedNode:
    """An engine, its backend server and its next wake-up."""

    identity: NodeIdentity
    engine: NodeEngine
    backend: FakeBackend
    pending: dict[CallId, Pending] = field(default_factory=dict)
    wakeup: Timer | None = None

    def member(self) -> Member:
        """Return the announcement that the node sends in its Hello."""
        return Member(
            node=self.identity.node,
            incarnation=self.engine.incarnation,
            service=self.identity.service,
            zone=self.identity.zone,
            region=self.identity.region,
            host=self.identity.host,
            port=self.identity.port,
            http_port=self.identity.http_port,
        )


class Fabric:
    """The system under measurement: one engine for each backend server."""

    def __init__(
        self,
        scheduler: Scheduler,
        deployment: Deployment,
        backends: dict[NodeId, FakeBackend],
        seed: int,
        result: RunResult,
    ) -> None:
        self.scheduler = scheduler
        self.deployment = deployment
        self.random = random.Random(seed)
        self.result = result
        self.log = FakeLog(scheduler)
        self.out_since: dict[AvailabilityZoneId, float] = {}
        self.nodes = {
            identity.node: self.make_node(
                identity,
                backends[identity.node],
                f'{seed}/{identity.node}',
            )
            for identity in deployment.identities()
        }
        self._by_region: dict[RegionId, list[SimulatedNode]] = {}
        for node in self.nodes.values():
            self._by_region.setdefault(node.identity.region, []).append(node)

    def make_node(
        self,
        identity: NodeIdentity,
        backend: FakeBackend,
        seed: str,
    ) -> SimulatedNode:
        """Make a fresh incarnation of a node."""
        engine = NodeEngine(
            EngineSettings(identity=identity),
            random.Random(seed),
        )
        return SimulatedNode(identity, engine, backend)

    def start(self) -> None:
        """Publish the first configuration and start all engines."""
        self.publish(self.deployment.edits())
        for node in self.nodes.values():
            self.handle(node, messages.Tick())

    def publish(self, edits: tuple[Edit, ...]) -> None:
        """Append a change to the log, as the confirmation of a plan does."""
        end = self.log.end
        self.log.append(Change(RecordId(f'change-{end}'), end, 'bench', edits))

    def take_zone_out(self, zone: AvailabilityZoneId) -> None:
        """Take an availability zone out, as a confirmed intent does."""
        self.out_since[zone] = self.scheduler.now
        self._set_zone(zone, out=True)

    def bring_zone_back(self, zone: AvailabilityZoneId) -> None:
        """Bring an availability zone back, as a confirmed intent does."""
        self.out_since.pop(zone)
        self._set_zone(zone, out=False)

    def submit(
        self, call: Call, on_done: Callable[[Outcome, bool], None]
    ) -> None:
        """Send a call to a random node of the caller's region."""
        node = self.random.choice(self._by_region[call.region])
        number = CallId(call.number)
        node.pending[number] = Pending(call, on_done)
        self.result.call_bytes += CALL_BYTES
        if call.idempotent:
            event: events.Event = _call_arrived(call, None)
        else:
            event = events.ReservationAsked(
                number,
                call.service,
                call.tenant,
                DEADLINE_S,
            )
        self._handle_later(CLIENT_LATENCY_S, node, event)

    def handle(self, node: SimulatedNode, event: events.Event) -> None:
        """Pass an event to an engine and carry out the actions it returns."""
        started = time.perf_counter()
        requested = node.engine.handle(event, self.scheduler.now)
        self.result.decision_s += time.perf_counter() - started
        for action in requested:
            self._carry_out(node, action)
        if node.wakeup is not None:
            node.wakeup.cancelled = True
        node.wakeup = self.scheduler.at(
            node.engine.wakeup_at,
            lambda: self.handle(node, messages.Tick()),
        )

    def _set_zone(self, zone: AvailabilityZoneId, *, out: bool) -> None:
        region = self.deployment.zones[zone]
        config = AvailabilityZoneConfig(zone, region, out)
        self.publish((AvailabilityZoneEdit(config),))

    def _handle_later(
        self,
        delay_s: float,
        node: SimulatedNode,
        event: events.Event,
    ) -> None:
        self.scheduler.after(delay_s, lambda: self.handle(node, event))

    def _carry_out(self, node: SimulatedNode, action: actions.Action) -> None:
        match action:
            case messages.LogEvent():
                return
            case messages.ReadLog() | messages.AppendRecord():
                self._use_log(node, action)
            case messages.OpenLink(peer=peer):
                self._open_link(node, self.nodes[peer])
            case (
                actions.CompleteCall()
                | actions.RejectCall()
                | actions.GrantReservation()
            ):
                self._answer_caller(node, action)
            case actions.Dispatch():
                self._dispatch(node, action)
            case actions.AbortDispatch(dispatch=dispatch):
                node.backend.cancel(dispatch)
                failed = events.BackendFailed(dispatch, True, 'cancelled')
                self._handle_later(0, node, failed)
            case actions.CheckHealth():
                report = node.backend.report()
                self._handle_later(
                    HEALTH_LAG_S, node, events.BackendHealth(report)
                )
            case actions.DrainInput():
                self._handle_later(0, node, events.InputDrained())
            case _:
                self._send(node, action)

    def _send(self, node: SimulatedNode, action: actions.Action) -> None:
        """Deliver a message to another node, or to the node itself."""
        event = peer_event(node.identity.node, action) or control_event(
            node.member(),
            action,
        )
        if event is None:
            return
        if isinstance(action, actions.SendProbe | actions.SendProbeReply):
            self._count_probe(node)
        peer = self.nodes[action.peer]
        delay = self.deployment.latency_s(
            node.identity.zone,
            peer.identity.zone,
        )
        self._handle_later(0 if peer is node else delay, peer, event)

    def _count_probe(self, node: SimulatedNode) -> None:
        settings = node.engine.settings.probes
        self.result.probes += 1
        self.result.probe_bytes += settings.bytes_per_probe // 2

    def _open_link(self, node: SimulatedNode, peer: SimulatedNode) -> None:
        delay = self.deployment.latency_s(
            node.identity.zone,
            peer.identity.zone,
        )
        self._handle_later(2 * delay, node, messages.LinkUp(peer.member()))
        self._handle_later(delay, peer, messages.LinkUp(node.member()))

    def _use_log(
        self,
        node: SimulatedNode,
        action: messages.ReadLog | messages.AppendRecord,
    ) -> None:
        first_zone = next(iter(self.deployment.zones))
        delay = self.deployment.latency_s(node.identity.zone, first_zone)

        def answer(event: events.Event) -> None:
            self._handle_later(delay, node, event)

        match action:
            case messages.ReadLog(start=start, wait=wait):
                run = lambda: self.log.read(start, answer, wait=wait)  # noqa: E731
            case messages.AppendRecord(record=record):
                run = lambda: self.log.append(record, answer)  # noqa: E731
        self.scheduler.after(delay, run)

    def _dispatch(self, node: SimulatedNode, action: actions.Dispatch) -> None:
        out_since = self.out_since.get(node.identity.zone)
        if out_since is not None:
            late = self.scheduler.now - out_since > ZONE_LIMIT_S
            self.result.into_zone += late

        def finished(status: int) -> None:
            answered = events.BackendAnswered(
                action.dispatch,
                status,
                CALL_BYTES // 2,
                node.backend.report(),
            )
            self.handle(node, answered)

        node.backend.start(action.dispatch, finished)

    def _answer_caller(
        self,
        node: SimulatedNode,
        action: actions.CompleteCall
        | actions.RejectCall
        | actions.GrantReservation,
    ) -> None:
        pending = node.pending[action.call]
        match action:
            case actions.GrantReservation(token=token):
                event = _call_arrived(pending.call, token)
                self._handle_later(2 * CLIENT_LATENCY_S, node, event)
                return
            case actions.CompleteCall(status=status):
                outcome, success = Outcome.COMPLETED, status < 400
            case actions.RejectCall(outcome=outcome):
                success = False
        node.pending.pop(action.call)
        self.scheduler.after(
            CLIENT_LATENCY_S, lambda: pending.on_done(outcome, success)
        )


def _call_arrived(
    call: Call,
    token: events.Token | None,
) -> events.CallArrived:
    return events.CallArrived(
        CallId(call.number),
        call.service,
        call.tenant,
        CALL_BYTES // 2,
        DEADLINE_S,
        token,
    )
