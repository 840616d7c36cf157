"""Interfaces of the parts of an engine, and their default construction."""

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
    """Interface of the control plane that the engine uses.

    Attributes
    ----------
    view_version
        Changes whenever ``state``, ``unlogged`` or ``leaving`` changes, but
        not when members only refresh their announcements: building a view of
        19,000 members takes 7 ms, and several members refresh every second.
    has_left
        Whether the node is draining and its Leave record has been appended.
    offset_reported_at
        When the log or a peer last reported a current offset.
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
    """Interface of the target role that the engine uses."""

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
        """Return the current load."""

    def outcome_if_refused(self, token: Token) -> Outcome:
        """Return the outcome of a call refused before it is dispatched.

        It is ``UNKNOWN`` if the token may have been used before.
        """

    def pop_cancelled_nested(self) -> tuple[CallId, ...]:
        """Remove and return nested calls whose parent dispatch has ended."""


@dataclass(frozen=True, slots=True)
class EngineParts:
    """Control plane and both roles of a node."""

    incarnation: Incarnation
    plane: Plane
    target: Target
    ingress: IngressRole


def default_parts(settings: EngineSettings, random: Random) -> EngineParts:
    """Make the parts of a new incarnation.

    The modules are imported here so that the engine can be imported, and
    composed with other parts, without loading them.
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
