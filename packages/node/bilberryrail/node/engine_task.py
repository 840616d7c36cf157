"""Passes events to the engine, and its actions to the executor.

Only this module calls the engine; all other modules submit events. ``submit``
handles an event before it returns, without waiting for another iteration of
the event loop, unless the engine is already handling an event. In that case
the event is queued.
"""

import math
from collections import deque
from typing import Any, Final, Protocol

from bilberryrail.control.messages import Tick
from bilberryrail.control.settings import NodeIdentity
from bilberryrail.core.ids import Incarnation, Seconds
from bilberryrail.node import logs
from bilberryrail.node.bodies import Bodies
from bilberryrail.node.metrics import Metrics, Step
from bilberryrail.policy.actions import Action, DrainInput
from bilberryrail.policy.events import (
    AttemptReceived,
    CallArrived,
    Event,
    InputDrained,
)
from bilberryrail.wire.content import Payload

#: Iterations of the event loop without new input after which all sockets are
#: considered read. One iteration each is needed to poll a socket, to read it
#: and to parse the data in the task of its reader.
QUIET_ITERATIONS: Final = 4
#: Bound on the iterations spent on draining input, so that a steady stream of
#: input cannot block the engine forever.
MAX_DRAIN_ITERATIONS: Final = 500

_TICK: Final = Tick()


class Engine(Protocol):
    """The interface of ``NodeEngine`` that the node process uses."""

    wakeup_at: Seconds
    plane: Any
    identity: NodeIdentity
    incarnation: Incarnation

    def handle(self, event: Event, now: Seconds) -> tuple[Action, ...]:
        """Handle an event and return the actions to carry out."""


class ActionExecutor(Protocol):
    """Carries out the engine's actions."""

    def execute(self, action: Action) -> None:
        """Carry out one action; unknown ids must not raise an exception."""


class EngineTask:
    """Runs the engine: handles events, executes actions and keeps its timer.

    Attributes
    ----------
    waiting
        Events submitted while another event was being handled.
    submitted
        Number of events submitted since the start.
    draining_input
        Whether the engine waits for ``InputDrained``. Bodies of answers are
        kept in the meantime, because the engine may defer their events.
    """

    def __init__(self, engine: Engine, reactor: Any) -> None:
        self.engine = engine
        self.reactor = reactor
        self.bodies = Bodies()
        self.metrics = Metrics()
        self.executor: ActionExecutor | None = None
        self.waiting: deque[tuple[Event, Payload | None]] = deque()
        self.submitted = 0
        self.draining_input = False
        self.running = False
        self.stopped = False
        self.timer: Any = None
        self.timer_at = math.inf

    def start(self, executor: ActionExecutor) -> None:
        """Handle a first tick, on which the engine requests what it needs."""
        self.executor = executor
        self.submit(_TICK)

    def stop(self) -> None:
        """Stop the timer and ignore later events."""
        self.stopped = True
        self._cancel_timer()

    def submit(self, event: Event, payload: Payload | None = None) -> None:
        """Pass an event, and the body that belongs to it, to the engine."""
        if self.stopped:
            return
        self.submitted += 1
        self.waiting.append((event, payload))
        if not self.running:
            self._run()

    def _run(self) -> None:
        self.running = True
        while self.waiting and not self.stopped:
            self._handle(*self.waiting.popleft())
        self.running = False
        if not self.draining_input:
            self.bodies.drop_unclaimed()
        self._schedule()

    def _handle(self, event: Event, payload: Payload | None) -> None:
        self.bodies.store(event, payload)
        started_at = self.reactor.seconds()
        try:
            actions = self.engine.handle(event, Seconds(started_at))
        except Exception:
            logs.fault('engine-fault', kind=type(event).__name__)
            return
        self._measure(event, started_at)
        for action in actions:
            self._execute(action)

    def _execute(self, action: Action) -> None:
        if isinstance(action, DrainInput):
            self._drain_input()
            return
        try:
            self.executor.execute(action)
        except Exception:
            logs.fault('action-fault', kind=type(action).__name__)

    def _measure(self, event: Event, started_at: float) -> None:
        if isinstance(event, CallArrived):
            step = Step.DECIDE
        elif isinstance(event, AttemptReceived):
            step = Step.ADMIT
        else:
            return
        self.metrics.observe(step, self.reactor.seconds() - started_at)

    def _drain_input(self) -> None:
        """Submit ``InputDrained`` after the pending input of all sockets."""
        if not self.draining_input:
            self.draining_input = True
            self._drain_iteration(
                QUIET_ITERATIONS, self.submitted, MAX_DRAIN_ITERATIONS
            )

    def _drain_iteration(
        self, quiet_left: int, submitted_before: int, iterations_left: int
    ) -> None:
        if self.submitted > submitted_before:
            quiet_left = QUIET_ITERATIONS
        if quiet_left and iterations_left:
            self.reactor.callLater(
                0,
                self._drain_iteration,
                quiet_left - 1,
                self.submitted,
                iterations_left - 1,
            )
            return
        self.draining_input = False
        self.submit(InputDrained())

    def _schedule(self) -> None:
        """Set the timer unless it already fires early enough."""
        wakeup_at = self.engine.wakeup_at
        if self.stopped or wakeup_at >= self.timer_at:
            return
        self._cancel_timer()
        delay = max(wakeup_at - self.reactor.seconds(), 0)
        self.timer_at = wakeup_at
        self.timer = self.reactor.callLater(delay, self._wake)

    def _wake(self) -> None:
        self.timer = None
        self.timer_at = math.inf
        if self.reactor.seconds() >= self.engine.wakeup_at:
            self.submit(_TICK)
        else:
            self._schedule()

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None
        self.timer_at = math.inf
