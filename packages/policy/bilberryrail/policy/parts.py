"""The parts that an engine composes, and how they are made by default."""

from collections.abc import Mapping
from dataclasses import dataclass
from importlib import import_module
from random import Random
from typing import Protocol

from bilberryrail.control.messages import ControlAction, ControlEvent
from bilberryrail.core.ids import CallId, Incarnation, NodeId, Seconds
from bilberryrail.core.load import LoadReport, Outcome
from bilberryrail.core.records import ClusterState, Member
from bilberryrail.policy.actions import Action
from bilberryrail.policy.events import Event, Token
from bilberryrail.policy.ingress import IngressRole
from bilberryrail.policy.settings import EngineSettings
from bilberryrail.policy.view import ClusterView

_INCARNATION_BITS = 64


class Plane(Protocol):
    """What the engine needs of the control plane.

    Attributes
    ----------
    view_version
        Changes whenever ``state``, ``unlogged`` or ``leaving`` changes, but
        not when members merely refresh: building a view of 19,000 members
        takes 7 ms, and several refresh every second.
    has_left
        Whether a drain has come so far that the node's Leave was appended.
    offset_reported_at
        When the log or a peer last stated a current offset.
    """

    view_version: int
    state: ClusterState
    unlogged: Mapping[NodeId, Member]
    leaving: frozenset[NodeId]
    caught_up: bool
    has_left: bool
    offset_reported_at: Seconds
    wakeup_at: Seconds

    def handle(
        self,
        event: ControlEvent,
        now: Seconds,
    ) -> tuple[ControlAction, ...]:
        """Handle an event of the control plane."""


class Target(Protocol):
    """What the engine needs of the target role."""

    wakeup_at: Seconds
    idle: bool

    def handle(
        self,
        event: Event,
        now: Seconds,
        view: ClusterView,
    ) -> tuple[Action, ...]:
        """Handle an event about calls at this node's backend server."""

    def load(self, now: Seconds) -> LoadReport:
        """Report the load now."""

    def outcome_refused(self, token: Token) -> Outcome:
        """Say what a refusal before dispatch may claim about a token."""

    def take_cancelled_nested(self) -> tuple[CallId, ...]:
        """Return nested calls whose dispatch has ended, once."""


@dataclass(frozen=True, slots=True)
class EngineParts:
    """Control plane and both roles of a node."""

    incarnation: Incarnation
    plane: Plane
    target: Target
    ingress: IngressRole


def default_parts(settings: EngineSettings, random: Random) -> EngineParts:
    """Make the parts of a fresh incarnation.

    The modules are loaded here, so that the engine can be imported and
    composed with other parts without them.
    """
    incarnation = Incarnation(random.getrandbits(_INCARNATION_BITS))
    plane = import_module('bilberryrail.control.plane')
    ledger = import_module('bilberryrail.policy.ledger').Ledger()
    target = import_module('bilberryrail.policy.target')
    tokens = import_module('bilberryrail.policy.tokens')
    return EngineParts(
        incarnation=incarnation,
        plane=plane.ControlPlane(
            settings.relay,
            settings.identity,
            incarnation,
            random,
        ),
        target=target.TargetRole(settings, ledger, random, incarnation),
        ingress=IngressRole(
            settings,
            random,
            ledger,
            tokens.token_target,
        ),
    )
