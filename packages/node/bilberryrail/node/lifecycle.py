"""Life cycle of a node process as a state machine.

starting -> catching-up -> serving -> draining -> stopped
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, Protocol

from automat import TypeMachineBuilder

from bilberryrail.node import logs


class Phase(Enum):
    """State of the process."""

    STARTING = 'starting'
    CATCHING_UP = 'catching-up'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


@dataclass(slots=True)
class Hooks:
    """Callbacks of the state machine, and its current phase.

    Attributes
    ----------
    drain
        Starts draining in the engine.
    shut_down
        Closes the servers and ends the event loop.
    """

    drain: Callable[[], None]
    shut_down: Callable[[], None]
    phase: Phase = Phase.STARTING


class Lifecycle(Protocol):
    """Inputs of the state machine; those without effect are ignored."""

    def opened(self) -> None:
        """Handle that all servers are listening."""

    def caught_up(self) -> None:
        """Handle that the engine has applied the log up to its end."""

    def terminate(self) -> None:
        """Handle a signal to terminate the process."""

    def stop(self) -> None:
        """Handle that the engine has finished draining."""


def _enter(hooks: Hooks, phase: Phase) -> None:
    hooks.phase = phase
    logs.decision('lifecycle', {'phase': phase.value})


def _catch_up(_: Lifecycle, hooks: Hooks) -> None:
    _enter(hooks, Phase.CATCHING_UP)


def _serve(_: Lifecycle, hooks: Hooks) -> None:
    _enter(hooks, Phase.SERVING)


def _drain(_: Lifecycle, hooks: Hooks) -> None:
    _enter(hooks, Phase.DRAINING)
    hooks.drain()


def _shut_down(_: Lifecycle, hooks: Hooks) -> None:
    _enter(hooks, Phase.STOPPED)
    hooks.shut_down()


def _build() -> Callable[[Hooks], Lifecycle]:
    builder = TypeMachineBuilder(Lifecycle, Hooks)
    states: dict[Phase, Any] = {
        phase: builder.state(phase.value) for phase in Phase
    }
    starting = states[Phase.STARTING]
    catching_up = states[Phase.CATCHING_UP]
    serving = states[Phase.SERVING]
    draining = states[Phase.DRAINING]
    stopped = states[Phase.STOPPED]
    starting.upon(Lifecycle.opened).to(catching_up)(_catch_up)
    starting.upon(Lifecycle.terminate).to(stopped)(_shut_down)
    catching_up.upon(Lifecycle.caught_up).to(serving)(_serve)
    for running in (catching_up, serving):
        running.upon(Lifecycle.terminate).to(draining)(_drain)
        running.upon(Lifecycle.stop).to(stopped)(_shut_down)
    draining.upon(Lifecycle.stop).to(stopped)(_shut_down)
    _ignore(serving, Lifecycle.caught_up)
    _ignore(draining, Lifecycle.caught_up, Lifecycle.terminate)
    _ignore(
        stopped,
        Lifecycle.opened,
        Lifecycle.caught_up,
        Lifecycle.terminate,
        Lifecycle.stop,
    )
    return builder.build()


def _ignore(state: Any, *inputs: Callable[..., None]) -> None:
    for ignored in inputs:
        state.upon(ignored).loop().returns(None)


#: Creates a state machine in the state ``starting``.
new_lifecycle: Final = _build()
