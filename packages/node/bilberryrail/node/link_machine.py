"""Life cycle of a link between two nodes, a state machine.

connecting -> greeting -> up -> closing -> down
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, Final, Protocol

from automat import TypeMachineBuilder

from bilberryrail.core.records import Member


class LinkPhase(Enum):
    """State of a link."""

    CONNECTING = 'connecting'
    GREETING = 'greeting'
    UP = 'up'
    CLOSING = 'closing'
    DOWN = 'down'


class LinkSteps(Protocol):
    """What the machine makes the link do on entering a state."""

    phase: LinkPhase

    def greet(self) -> None:
        """Say Hello, or wait for the peer's."""

    def open(self, member: Member) -> None:
        """Hand frames to the registry from now on."""

    def end_output(self) -> None:
        """Write what is queued, then end the own direction."""

    def hang_up(self) -> None:
        """Write what is queued, then close the connection."""

    def take_down(self, reason: str) -> None:
        """Report the end."""

    def disconnect(self) -> None:
        """Close the connection."""


class LinkMachine(Protocol):
    """Inputs of the machine; one that no longer matters does nothing."""

    def connected(self) -> None:
        """Note that the connection is open."""

    def greeted(self, member: Member) -> None:
        """Note that the peer has said who it is."""

    def finish(self) -> None:
        """Close the link after everything queued is written."""

    def peer_ended(self) -> None:
        """Note that the peer sends nothing more."""

    def failed(self, reason: str) -> None:
        """Note that the link cannot be trusted further."""

    def lost(self, reason: str) -> None:
        """Note that the connection is gone."""


def _greet(_: LinkMachine, link: LinkSteps) -> None:
    link.phase = LinkPhase.GREETING
    link.greet()


def _open(_: LinkMachine, link: LinkSteps, member: Member) -> None:
    link.phase = LinkPhase.UP
    link.open(member)


def _finish(_: LinkMachine, link: LinkSteps) -> None:
    link.phase = LinkPhase.CLOSING
    link.end_output()


def _answer_end(_: LinkMachine, link: LinkSteps) -> None:
    link.phase = LinkPhase.CLOSING
    link.hang_up()


def _both_ended(_: LinkMachine, link: LinkSteps) -> None:
    link.hang_up()


def _fail(_: LinkMachine, link: LinkSteps, reason: str) -> None:
    link.phase = LinkPhase.DOWN
    link.take_down(reason)
    link.disconnect()


def _lose(_: LinkMachine, link: LinkSteps, reason: str) -> None:
    link.phase = LinkPhase.DOWN
    link.take_down(reason)


def _give_up(_: LinkMachine, link: LinkSteps) -> None:
    link.phase = LinkPhase.DOWN
    link.take_down('closed before both sides said Hello')
    link.disconnect()


def _build() -> Callable[[LinkSteps], LinkMachine]:
    builder = TypeMachineBuilder(LinkMachine, LinkSteps)
    states: dict[LinkPhase, Any] = {
        phase: builder.state(phase.value) for phase in LinkPhase
    }
    connecting = states[LinkPhase.CONNECTING]
    greeting = states[LinkPhase.GREETING]
    up = states[LinkPhase.UP]
    closing = states[LinkPhase.CLOSING]
    down = states[LinkPhase.DOWN]
    connecting.upon(LinkMachine.connected).to(greeting)(_greet)
    greeting.upon(LinkMachine.greeted).to(up)(_open)
    greeting.upon(LinkMachine.peer_ended).to(down)(_give_up)
    up.upon(LinkMachine.finish).to(closing)(_finish)
    up.upon(LinkMachine.peer_ended).to(closing)(_answer_end)
    closing.upon(LinkMachine.peer_ended).loop()(_both_ended)
    for early in (connecting, greeting):
        early.upon(LinkMachine.finish).to(down)(_give_up)
    for living in (connecting, greeting, up, closing):
        living.upon(LinkMachine.failed).to(down)(_fail)
        living.upon(LinkMachine.lost).to(down)(_lose)
    _ignore(closing, LinkMachine.finish)
    _ignore(
        down,
        LinkMachine.connected,
        LinkMachine.greeted,
        LinkMachine.finish,
        LinkMachine.peer_ended,
        LinkMachine.failed,
        LinkMachine.lost,
    )
    return builder.build()


def _ignore(state: Any, *inputs: Callable[..., None]) -> None:
    for ignored in inputs:
        state.upon(ignored).loop().returns(None)


#: Creates a machine in the state ``connecting``.
new_link_machine: Final = _build()
