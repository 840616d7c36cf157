"""Tests that each checker fails when its rule is broken on purpose.

Every case runs one scenario twice. The first run shows that the scenario itself
violates no rule, the second that the checker detects the rule being broken.
"""

import dataclasses

import pytest

from bilberryrail.control import messages
from bilberryrail.control.plane import ControlPlane
from bilberryrail.control.replay import replay
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import ClusterState
from bilberryrail.policy import actions
from bilberryrail.policy.backend_state import BackendState
from bilberryrail.policy.cold_start import ColdStart
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.probing import Prober
from bilberryrail.policy.reservations import ReservationState, ReservationTable
from bilberryrail.policy.view import ClusterView
from bilberryrail.proofs import faults
from bilberryrail.proofs.scenario import Scenario

BOOKINGS = 'bookings'
ZONE = 'da2'


def undisturbed(_):
    """Inject no fault."""


def turn_cold(scenario):
    node = scenario.node(BOOKINGS, ZONE)
    scenario.load(400, 1)
    scenario.at(0.3, lambda: faults.turn_cold(scenario.world, node))


def take_out(scenario):
    scenario.set_zone(ZONE, out=True)


def leave(scenario):
    faults.drain_backend(scenario.world, scenario.node(BOOKINGS, ZONE))


def drain(scenario):
    """Drain a node whose calls last longer than the shell waits to exit."""
    node = scenario.node(BOOKINGS, ZONE)
    node.backend.slow_factor = 40
    scenario.at(0.3, lambda: faults.drain(scenario.world, node))


def restart_without_log(scenario):
    """Start a node from an old state while it cannot learn the newest."""
    world = scenario.world
    node = scenario.node(BOOKINGS, ZONE)
    faults.kill(world, node)
    faults.log_down(world, node)
    faults.cut(world, node)
    faults.restart(world, node)
    state = replay(ClusterState(), world.log.entries[:8])[0]
    old = messages.StateReceived(scenario.node(BOOKINGS).name, state)
    world.handle(world.nodes[node.name], old)


def probe_without_budget(patch):
    patch.setattr(Prober, 'can_probe', lambda *_: True)


def ignore_cold(patch):
    patch.setattr(ColdStart, 'limit', lambda ramp, limits, now: limits.slots)


def ignore_zones(patch):
    patch.setattr(ClusterView, 'is_zone_out', lambda *_: False)


def ignore_home_regions(patch):
    original = ClusterView.candidates
    patch.setattr(
        ClusterView,
        'candidates',
        lambda view, service, _=(): original(view, service),
    )


def run_again(patch):
    """Treat a token that was used as unused."""
    original = ReservationTable.complete

    def complete(table, sequence, *others):
        original(table, sequence, *others)
        entry = table._entries[sequence]  # noqa: SLF001
        entry.state = ReservationState.RESERVED
        entry.answer = None

    patch.setattr(ReservationTable, 'complete', complete)


def ignore_leaving(patch):
    original = BackendState.reported

    def reported(state, report, now):
        original(state, dataclasses.replace(report, draining=False), now)

    patch.setattr(BackendState, 'reported', reported)


def stop_at_once(patch):
    def stop(engine, now):
        if not engine.draining or engine.stopped:
            return ()
        engine.stopped = True
        return (actions.Stop(),)

    patch.setattr(NodeEngine, '_stop', stop)


def serve_early(patch):
    patch.setattr(ControlPlane, 'caught_up', property(lambda _: True))
    patch.setattr(ControlPlane, 'offset_reported_at', 100)


CASES = (
    (1, 'probe_budget', undisturbed, probe_without_budget),
    (2, 'cold_limit', turn_cold, ignore_cold),
    (3, 'zones_out', take_out, ignore_zones),
    (4, 'home_regions', undisturbed, ignore_home_regions),
    (7, 'at_most_once', undisturbed, run_again),
    (8, 'leaving_servers', leave, ignore_leaving),
    (9, 'drains', drain, stop_at_once),
    (10, 'fresh_nodes', restart_without_log, serve_early),
)


def run_scenario(disturb, invariant, mutate=None):
    scenario = Scenario()
    scenario.world.mutate = mutate
    scenario.load(100, 4)
    disturb(scenario)
    scenario.run(5.5)
    return scenario.violations(invariant)


@pytest.mark.parametrize(
    ('invariant', 'checker', 'disturb', 'break_rule'), CASES
)
def test_checker_detects_a_broken_rule(
    invariant, checker, disturb, break_rule, monkeypatch
):
    """Guards against a checker that can never fail."""
    assert not run_scenario(disturb, invariant)
    break_rule(monkeypatch)
    found = run_scenario(disturb, invariant)
    assert any(checker in violation for violation in found)


class SwappedAnswers:
    """Sends to each caller the answer to the previous call."""

    def __init__(self):
        self.last = {}

    def __call__(self, node, action):
        if not isinstance(action, actions.SendAnswer):
            return (action,)
        dispatch = self.last.get(node.name, action.dispatch)
        self.last[node.name] = action.dispatch
        return (dataclasses.replace(action, dispatch=dispatch),)


def withhold_answers(_, action):
    """Send no answers to callers."""
    return () if isinstance(action, actions.CompleteCall) else (action,)


def deny_execution(_, action):
    """Refuse calls as "not run" although they have run."""
    if not isinstance(action, actions.SendAnswer):
        return (action,)
    return (
        actions.SendRefusal(
            action.peer,
            action.attempt,
            Outcome.NOT_RUN,
            Reason.OVERLOADED,
            0.1,
            action.load,
        ),
    )


def withhold_records(node, action):
    """Stop the log reads of one node and all records sent to children."""
    kinds = messages.SendRecords | messages.SendState
    reads = node.identity.zone == ZONE and isinstance(action, messages.ReadLog)
    return () if reads or isinstance(action, kinds) else (action,)


MUTATIONS = (
    (5, 'own_answers', undisturbed, SwappedAnswers()),
    (5, 'own_answers', undisturbed, withhold_answers),
    (6, 'true_refusals', undisturbed, deny_execution),
    (10, 'configuration', undisturbed, withhold_records),
)


@pytest.mark.parametrize(
    ('invariant', 'checker', 'disturb', 'mutate'), MUTATIONS
)
def test_checker_detects_mutated_actions(invariant, checker, disturb, mutate):
    """Guards against a checker that misses wrong actions of an engine."""
    assert not run_scenario(disturb, invariant)
    found = Scenario()
    found.world.mutate = mutate
    # Reads that were in flight before the mutation end within this time.
    found.run(1.5)
    found.set_zone(ZONE, out=True)
    found.load(100, 2)
    found.run(13)
    violations = found.violations(invariant)
    assert any(checker in violation for violation in violations)


def test_checker_detects_an_older_configuration():
    """Guards against a node that reverts to an earlier state."""
    scenario = Scenario()
    scenario.run(0.5)
    replica = scenario.node(BOOKINGS).engine.plane.parts.replica
    replica.state = replay(ClusterState(), scenario.world.log.entries[:3])[0]
    scenario.run(0.2)
    assert any('went back' in found for found in scenario.violations(10))
