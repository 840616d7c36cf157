"""Simulated network whose links, log and backend servers can fail.

The network stands in for the shells of all nodes (the code that does their
input and output). It keeps the bodies of calls, which here are the numbers of
submissions, and delivers messages in order over links that can break. The real
engines make all decisions.
"""

import random
from collections.abc import Callable
from functools import partial

from bilberryrail.bench.backends import FakeBackend
from bilberryrail.bench.fabric import Fabric, SimulatedNode
from bilberryrail.bench.peer_events import control_event, peer_event
from bilberryrail.bench.results import RunResult
from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.bench.topology import CLIENT_LATENCY_S
from bilberryrail.control import messages
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.core.ids import NodeId
from bilberryrail.policy import actions, events
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.settings import (
    EngineSettings,
    PauseSettings,
    ReservationSettings,
)
from bilberryrail.proofs import trace
from bilberryrail.proofs.deployment import ProofDeployment
from bilberryrail.proofs.faulty_log import FaultyLog, unreachable
from bilberryrail.proofs.jobs import Submission
from bilberryrail.proofs.links import Links
from bilberryrail.proofs.node import ProofNode
from bilberryrail.proofs.recorder import Recorder

#: Time in seconds after which a refused connection to a backend server fails.
REFUSED_S = 0.001
#: Time in seconds between the end of a drain and the exit, as in a real node.
LINGER_S = 0.5
#: Tick interval in seconds; longer than in production, so that simulating
#: seconds takes milliseconds.
TICK_S = 0.1
#: Records between snapshots; few, so that the log of a short run has snapshots.
SNAPSHOT_EVERY = 4
#: Validity of a reservation in seconds; short, so that a pause can exceed it.
RESERVATION_S = 3.0

#: Called with each event before a node handles it.
EventHook = Callable[[ProofNode, events.Event], None]
#: Called with each action after it was carried out.
ActionHook = Callable[[ProofNode, actions.Action], None]
#: Replaces an action of a node, to prove that a checker detects the change.
Mutation = Callable[[ProofNode, actions.Action], tuple[actions.Action, ...]]


class Network(Fabric):
    """Engines, backend servers, links and log of one run.

    Attributes
    ----------
    before, after
        Hooks that are called before events and after actions; they inject
        faults.
    mutate
        Replaces actions before they are carried out; None if they stay as
        they are.
    """

    nodes: dict[NodeId, ProofNode]

    def __init__(self, deployment: ProofDeployment, seed: int) -> None:
        self.seed = seed
        self.starts = 0
        scheduler = Scheduler()
        self.before: list[EventHook] = []
        self.after: list[ActionHook] = []
        self.mutate: Mutation | None = None
        backends = {
            identity.node: FakeBackend(
                scheduler,
                deployment.limits,
                random.Random(f'{seed}/{identity.node}/service'),
            )
            for identity in deployment.identities()
        }
        super().__init__(scheduler, deployment, backends, seed, RunResult())
        self.log = FaultyLog(scheduler)
        self.links = Links(scheduler, deployment)
        self.recorder = Recorder(scheduler)
        self.submissions: dict[int, Submission] = {}

    def make_node(
        self,
        identity: NodeIdentity,
        backend: FakeBackend,
        seed: str,
    ) -> ProofNode:
        """Create a new incarnation, whose random numbers are its own."""
        self.starts += 1
        settings = EngineSettings(
            identity=identity,
            relay=RelaySettings(snapshot_every_records=SNAPSHOT_EVERY),
            pause=PauseSettings(tick_interval_s=TICK_S),
            reservations=ReservationSettings(valid_s=RESERVATION_S),
        )
        engine = NodeEngine(settings, random.Random(f'{seed}/{self.starts}'))
        return ProofNode(identity, engine, backend, known_boot=backend.boots)

    def handle(self, node: SimulatedNode, event: events.Event) -> None:
        """Deliver an event to a node.

        The event is dropped if the process does not run, and queued while the
        process is paused; ticks are not queued.
        """
        if node.alive:
            for hook in tuple(self.before):
                hook(node, event)
        if not node.alive:
            return
        if node.frozen:
            if not isinstance(event, messages.Tick):
                node.waiting.append(event)
            return
        self.recorder.event_received(node, event)
        super().handle(node, event)
        self.recorder.event_handled(node)

    def record_reachability(self) -> None:
        """Record which nodes are now able to learn what the log holds."""
        for node in self.nodes.values():
            reachable = node.alive and not (
                node.frozen or self.log.down or node.name in self.links.cut
            )
            self.recorder.reachability_changed(node.name, reachable=reachable)

    def live(self) -> list[ProofNode]:
        """Return the nodes that are neither killed nor stopped."""
        return [node for node in self.nodes.values() if node.alive]

    def drop_connection(self, submission: Submission) -> None:
        """End a submission whose connection to the ingress broke."""
        self.recorder.submission_ended(submission)
        submission.done(None, None)

    def disconnect_callers(self, node: ProofNode) -> None:
        """Break the connections of all callers of a node."""
        for number in sorted(node.open_calls):
            lost = partial(self.drop_connection, self.submissions[number])
            self.scheduler.after(CLIENT_LATENCY_S, lost)
        node.open_calls.clear()

    def break_link(self, node: ProofNode, peer: ProofNode) -> None:
        """Close the link between two nodes; both are notified immediately."""
        if self.links.close(node.name, peer.name):
            down = messages.LinkDown
            self._handle_later(0, node, down(peer.name, 'reset'))
            self._handle_later(0, peer, down(node.name, 'reset'))

    def _close(self, node: ProofNode) -> None:
        """Exit after a drain, or try again later if the process is paused."""
        if not node.alive:
            return
        if node.frozen:
            self.scheduler.after(LINGER_S, partial(self._close, node))
            return
        self.recorder.add(
            trace.Stopped(
                self.scheduler.now,
                node.name,
                len(node.running),
                len(node.open_calls & node.read_calls),
            ),
        )
        self.disconnect_callers(node)
        node.alive = False
        self.record_reachability()
        for peer in self.live():
            self.break_link(node, peer)

    def _carry_out(self, node: ProofNode, action: actions.Action) -> None:
        """Carry out an action, unless the process has ended or is paused."""
        if not node.alive:
            return
        if node.frozen:
            # The shell is paused together with its engine; the actions that
            # the engine has already decided are carried out on resume.
            node.unsent.append(action)
            return
        for each in self.mutate(node, action) if self.mutate else (action,):
            self.recorder.action_started(node, each, self.submissions)
            if not self._carry_out_in_shell(node, each):
                super()._carry_out(node, each)
            for hook in tuple(self.after):
                hook(node, each)

    def _carry_out_in_shell(
        self, node: ProofNode, action: actions.Action
    ) -> bool:
        """Carry out the part of an action that concerns only the node's shell.

        Return whether the action is complete with this.
        """
        match action:
            case actions.KeepAnswer(sequence=sequence, dispatch=dispatch):
                node.kept[sequence] = node.answers.get(dispatch)
            case actions.DropAnswer(sequence=sequence):
                node.kept.pop(sequence, None)
            case actions.DropBody(peer=peer, attempt=attempt):
                node.bodies.pop((peer, attempt), None)
            case actions.Stop():
                # The shell waits before it closes, so that calls that arrive
                # late get a refusal instead of a broken connection.
                self.scheduler.after(LINGER_S, partial(self._close, node))
            case actions.CheckHealth() if node.backend_down:
                self._handle_later(REFUSED_S, node, events.BackendHealth(None))
            case messages.CloseLink():
                # The link stays open because the peer may still need it.
                return True
            case actions.AbortDispatch(dispatch=dispatch):
                node.running.pop(dispatch, None)
                return False
            case _:
                return False
        return True

    def _send(self, node: ProofNode, action: actions.Action) -> None:
        event = peer_event(node.name, action) or control_event(
            node.member(),
            action,
        )
        if event is None:
            return
        peer = self.nodes[action.peer]
        body = self._body(node, action)
        deliver = partial(self._deliver, peer, event, body)
        if peer is node:
            self.scheduler.after(0, deliver)
        else:
            self.links.send(node.name, peer.name, deliver)

    def _body(self, node: ProofNode, action: actions.Action) -> int | None:
        match action:
            case actions.SendAttempt(call=call):
                return call
            case actions.SendAnswer(dispatch=dispatch):
                return node.answers.get(dispatch)
            case actions.SendKeptAnswer(sequence=sequence):
                return node.kept.get(sequence)
        return None

    def _deliver(
        self,
        peer: ProofNode,
        event: events.Event,
        body: int | None,
    ) -> None:
        match event:
            case events.AttemptReceived(peer=sender, attempt=attempt):
                peer.bodies[sender, attempt] = body
            case events.AnswerReceived(peer=sender, attempt=attempt):
                peer.arrived[sender, attempt] = body
        self.handle(peer, event)

    def _open_link(self, node: ProofNode, peer: ProofNode) -> None:
        delay = self.links.delay_s(node.name, peer.name)
        self.scheduler.after(delay, lambda: self._accept(node, peer, delay))

    def _accept(
        self,
        node: ProofNode,
        peer: ProofNode,
        delay: float,
    ) -> None:
        peer = self.nodes[peer.name]
        if not node.alive:
            return
        if not peer.alive or self.links.is_cut(node.name, peer.name):
            refused = messages.LinkDown(peer.name, 'refused')
            self._handle_later(delay, node, refused)
            return
        self.links.open(node.name, peer.name)
        self.handle(peer, messages.LinkUp(node.member()))
        up = partial(self.handle, node, messages.LinkUp(peer.member()))
        self.links.send(peer.name, node.name, up)

    def _use_log(
        self,
        node: ProofNode,
        action: messages.ReadLog | messages.AppendRecord,
    ) -> None:
        first_zone = next(iter(self.deployment.zones))
        delay = self.deployment.latency_s(node.identity.zone, first_zone)
        delay += self.log.delay_s

        def answer(event: events.Event) -> None:  # noqa: WPS430
            if node.name in self.log.blocked:
                event = unreachable(action)
            self._handle_later(delay, node, event)

        if node.name in self.log.blocked:
            request = partial(answer, unreachable(action))
        elif isinstance(action, messages.ReadLog):
            request = partial(self.log.fetch, action, answer)
        else:
            request = partial(self.log.store, action.record, answer)
        self.scheduler.after(delay, request)

    def _dispatch(self, node: ProofNode, action: actions.Dispatch) -> None:
        dispatch = action.dispatch
        number = node.bodies.pop((action.peer, action.attempt), None)
        if node.backend_down:
            failed = events.BackendFailed(dispatch, False, 'refused')
            self._handle_later(REFUSED_S, node, failed)
            return
        self.recorder.executed(node, self.submissions.get(number))
        node.running[dispatch] = number

        def finished(status: int) -> None:  # noqa: WPS430
            node.running.pop(dispatch, None)
            node.answers[dispatch] = number
            answered = events.BackendAnswered(
                dispatch,
                status,
                1,
                node.backend.report(),
            )
            self.handle(node, answered)

        node.backend.start(dispatch, finished)
