"""Carries out the engine's actions by dispatching them to other objects."""

from dataclasses import dataclass
from typing import Any

from bilberryrail.control import messages
from bilberryrail.node import logs, self_delivery
from bilberryrail.node.backend_client import BackendClient
from bilberryrail.node.caller_server import CallerServer
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.log_client import LogClient
from bilberryrail.node.metrics import Step
from bilberryrail.node.peer_dialer import PeerDialer
from bilberryrail.node.peer_links import PeerLinks
from bilberryrail.policy import actions
from bilberryrail.policy.events import BackendFailed
from bilberryrail.wire import encoding
from bilberryrail.wire.content import Payload


@dataclass(frozen=True, slots=True)
class Executor:
    """Calls the object that carries out an action."""

    engine_task: EngineTask
    callers: CallerServer
    links: PeerLinks
    dialer: PeerDialer
    backend: BackendClient
    log: LogClient
    lifecycle: Any

    def execute(self, action: actions.Action) -> None:
        """Carry out one action."""
        match action:
            case actions.CompleteCall():
                started_at = self.engine_task.reactor.seconds()
                self.callers.complete(action)
                self._measure(Step.ANSWER, started_at)
            case actions.RejectCall():
                self.callers.reject(action)
            case actions.GrantReservation():
                self.callers.grant(action)
            case actions.Dispatch():
                self._dispatch(action)
            case actions.AbortDispatch(dispatch=dispatch):
                self.backend.abort(dispatch)
            case actions.CheckHealth():
                self.backend.check_health()
            case messages.LogEvent(name=name, fields=fields):
                logs.decision(name, fields)
            case actions.Stop():
                self.lifecycle.stop()
            case _:
                self._execute_storage_or_link(action)

    def _execute_storage_or_link(self, action: actions.Action) -> None:
        bodies = self.engine_task.bodies
        match action:
            case actions.KeepAnswer():
                bodies.keep(action)
            case actions.DropAnswer(sequence=sequence):
                bodies.kept.pop(sequence, None)
            case actions.DropBody(peer=peer, attempt=attempt):
                bodies.attempts.pop((peer, attempt), None)
            case messages.ReadLog():
                self.log.read(action)
            case messages.AppendRecord(record=record):
                self.log.append(record)
            case messages.OpenLink():
                self.dialer.keep_open(action)
            case messages.OpenSeedLink(host=host, port=port):
                self.dialer.open_seed(host, port)
            case messages.CloseLink(peer=peer):
                self.dialer.release(peer)
            case _:
                self._send(action)

    def _dispatch(self, action: actions.Dispatch) -> None:
        key = (action.peer, action.attempt)
        stored = self.engine_task.bodies.attempts.pop(key, None)
        if stored is None:
            self.engine_task.submit(
                BackendFailed(action.dispatch, False, 'no body is stored'),
            )
            return
        started_at = self.engine_task.reactor.seconds()
        self.backend.dispatch(action, stored)
        self._measure(Step.FORWARD, started_at)

    def _send(self, action: Any) -> None:
        """Send a message to another node, or deliver it to this one."""
        started_at = self.engine_task.reactor.seconds()
        payload = self._payload_of(action)
        if payload is None and _needs_payload(action):
            # The caller has disconnected, or the answer has been dropped.
            return
        if isinstance(action, actions.SendAnswer | actions.SendProbeReply):
            self.engine_task.metrics.count_load(action.load)
        if action.peer == self.engine_task.engine.identity.node:
            self._send_to_self(action, payload)
            return
        self.links.send(action.peer, self._frame(action, payload), action)
        if isinstance(action, actions.SendAttempt):
            self._measure(Step.SEND, started_at)
        elif isinstance(action, actions.SendAnswer):
            self._measure(Step.ANSWER, started_at)

    def _send_to_self(self, action: Any, payload: Payload | None) -> None:
        engine = self.engine_task.engine
        event = self_delivery.received_event(
            action,
            engine.identity.node,
            engine.incarnation,
            len(payload.body) if payload else 0,
        )
        if event is not None:
            self.engine_task.submit(event, payload)

    def _frame(self, action: Any, payload: Any) -> Any:
        match action:
            case actions.SendAttempt():
                return encoding.request_frame(action, payload)
            case actions.SendAnswer() | actions.SendKeptAnswer():
                return encoding.answer_frame(action, payload)
        incarnation = self.engine_task.engine.incarnation
        return encoding.bodyless_frame(action, incarnation)

    def _payload_of(self, action: Any) -> Payload | None:
        bodies = self.engine_task.bodies
        match action:
            case actions.SendAttempt(call=call):
                return bodies.calls.get(call)
            case actions.SendAnswer() | actions.SendKeptAnswer():
                return bodies.answer_for(action)
        return None

    def _measure(self, step: Step, started_at: float) -> None:
        elapsed = self.engine_task.reactor.seconds() - started_at
        self.engine_task.metrics.observe(step, elapsed)


def _needs_payload(action: Any) -> bool:
    return isinstance(
        action,
        actions.SendAttempt | actions.SendAnswer | actions.SendKeptAnswer,
    )
