"""Life cycle of a link between two nodes as a state machine.

connecting -> greeting -> up -> closing -> down

In the state ``greeting`` the two nodes exchange Hello frames.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, Final, Protocol

from automat import TypeMachineBuilder

from bilberryrail.core.records import Member


class LinkPhase(Enum):
    """State of a link."""

    CONNECTING = 'connecting'
    HANDSHAKING = 'greeting'
    UP = 'up'
    CLOSING = 'closing'
    DOWN = 'down'


class LinkActions(Protocol):
    """Actions of the link that the state machine calls on a transition."""

    phase: LinkPhase

    def start_handshake(self) -> None:
        """Send Hello, or wait for the peer's Hello."""

    def open(self, member: Member) -> None:
        """Pass received frames to the registry from now on."""

    def flush_and_half_close(self) -> None:
        """Write queued frames, then close this node's direction."""

    def flush_and_close(self) -> None:
        """Write queued frames, then close the connection."""

    def mark_down(self, reason: str) -> None:
        """Report that the link is down."""

    def disconnect(self) -> None:
        """Close the connection."""


class LinkMachine(Protocol):
    """Inputs of the state machine; those without effect are ignored."""

    def connected(self) -> None:
        """Handle that the connection is open."""

    def hello_received(self, member: Member) -> None:
        """Handle the peer's Hello, which identifies it."""

    def finish(self) -> None:
        """Close the link after all queued frames are written."""

    def peer_half_closed(self) -> None:
        """Handle that the peer has closed its direction."""

    def failed(self, reason: str) -> None:
        """Handle a protocol violation or a time-out."""

    def connection_lost(self, reason: str) -> None:
        """Handle that the connection is closed or lost."""


def _start_handshake(_: LinkMachine, link: LinkActions) -> None:
    link.phase = LinkPhase.HANDSHAKING
    link.start_handshake()


def _open(_: LinkMachine, link: LinkActions, member: Member) -> None:
    link.phase = LinkPhase.UP
    link.open(member)


def _finish(_: LinkMachine, link: LinkActions) -> None:
    link.phase = LinkPhase.CLOSING
    link.flush_and_half_close()


def _peer_half_closed(_: LinkMachine, link: LinkActions) -> None:
    link.phase = LinkPhase.CLOSING
    link.flush_and_close()


def _both_half_closed(_: LinkMachine, link: LinkActions) -> None:
    link.flush_and_close()


def _fail(_: LinkMachine, link: LinkActions, reason: str) -> None:
    link.phase = LinkPhase.DOWN
    link.mark_down(reason)
    link.disconnect()


def _connection_lost(_: LinkMachine, link: LinkActions, reason: str) -> None:
    link.phase = LinkPhase.DOWN
    link.mark_down(reason)


def _abandon(_: LinkMachine, link: LinkActions) -> None:
    link.phase = LinkPhase.DOWN
    link.mark_down('closed before both sides sent Hello')
    link.disconnect()


def _build() -> Callable[[LinkActions], LinkMachine]:
    builder = TypeMachineBuilder(LinkMachine, LinkActions)
    states: dict[LinkPhase, Any] = {
        phase: builder.state(phase.value) for phase in LinkPhase
    }
    connecting = states[LinkPhase.CONNECTING]
    handshaking = states[LinkPhase.HANDSHAKING]
    up = states[LinkPhase.UP]
    closing = states[LinkPhase.CLOSING]
    down = states[LinkPhase.DOWN]
    connecting.upon(LinkMachine.connected).to(handshaking)(_start_handshake)
    handshaking.upon(LinkMachine.hello_received).to(up)(_open)
    handshaking.upon(LinkMachine.peer_half_closed).to(down)(_abandon)
    up.upon(LinkMachine.finish).to(closing)(_finish)
    up.upon(LinkMachine.peer_half_closed).to(closing)(_peer_half_closed)
    closing.upon(LinkMachine.peer_half_closed).loop()(_both_half_closed)
    for early in (connecting, handshaking):
        early.upon(LinkMachine.finish).to(down)(_abandon)
    for active in (connecting, handshaking, up, closing):
        active.upon(LinkMachine.failed).to(down)(_fail)
        active.upon(LinkMachine.connection_lost).to(down)(_connection_lost)
    _ignore(closing, LinkMachine.finish)
    _ignore(
        down,
        LinkMachine.connected,
        LinkMachine.hello_received,
        LinkMachine.finish,
        LinkMachine.peer_half_closed,
        LinkMachine.failed,
        LinkMachine.connection_lost,
    )
    return builder.build()


def _ignore(state: Any, *inputs: Callable[..., None]) -> None:
    for ignored in inputs:
        state.upon(ignored).loop().returns(None)


#: Creates a state machine in the state ``connecting``.
new_link_machine: Final = _build()
