"""Tests of the composed engine: startup, pauses and drains."""

from random import Random

import pytest
from result import Ok

from bilberryrail.control import messages
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy import actions, events
from bilberryrail.policy.engine import NodeEngine
from bilberryrail.policy.fakes_test import (
    IDLE,
    SETTINGS,
    FakeLedger,
    make_view,
)
from bilberryrail.policy.ingress import IngressRole
from bilberryrail.policy.parts import EngineParts
from bilberryrail.policy.pause import PauseDetector
from bilberryrail.policy.settings import PauseSettings

START = 50.0
LIMITS = events.CallLimits(remaining_s=1, retry_budget=0)


class FakePlane:
    """A control plane that has caught up with a fixed state."""

    def __init__(self):
        self.view_version = 1
        self.state = make_view().state
        self.unlogged = {}
        self.leaving = frozenset()
        self.caught_up = True
        self.has_left = True
        self.offset_reported_at = START
        self.wakeup_at = START + 100
        self.closing = ()

    def handle(self, event, now):
        return self.closing


class FakeTarget:
    """A target that records its events and returns scripted actions."""

    def __init__(self):
        self.events = []
        self.idle = True
        self.wakeup_at = START + 100
        self.script = ()
        self.cancelled = ()

    def handle(self, event, now, view):
        self.events.append(event)
        return self.script

    def pop_cancelled_nested(self):
        return self.cancelled

    def load(self, now):
        return IDLE


def make_engine():
    ledger = FakeLedger()
    ingress = IngressRole(SETTINGS, Random(1), ledger, Ok)
    parts = EngineParts(7, FakePlane(), FakeTarget(), ingress)
    engine = NodeEngine(SETTINGS, Random(1), parts)
    engine.handle(messages.Tick(), START)
    return engine


def arrival(call=1, **fields):
    return events.CallArrived(call, 'lookup', 'free', 10, **fields)


def attempt(number=1):
    return events.AttemptReceived('south1', number, 'lookup', 'free', LIMITS, 9)


def only(done, *kinds):
    return [action for action in done if isinstance(action, kinds)]


def test_refuses_before_it_has_caught_up():
    """Guards against serving from an empty or old configuration."""
    engine = make_engine()
    engine.parts.plane.caught_up = False
    done = engine.handle(arrival(), START)
    assert done[0].reason is Reason.CATCHING_UP
    refusal, dropped = engine.handle(attempt(), START)
    assert refusal.outcome is Outcome.NOT_RUN
    assert dropped == actions.DropBody('south1', 1)
    assert attempt() not in engine.parts.target.events


def test_refuses_without_contact_but_only_when_it_has_peers():
    """Guards against serving from the stale view of an isolated node."""
    engine = make_engine()
    engine.parts.plane.offset_reported_at = START - 4
    done = engine.handle(arrival(), START)
    assert done[0].reason is Reason.STALE_VIEW
    assert not PauseDetector(PauseSettings()).is_stale(9, 0, has_peers=False)


def test_pause_holds_calls_until_cancellations_are_read():
    """Guards against running work whose cancellation waits in a socket."""
    engine = make_engine()
    resumed = START + 0.4
    done = engine.handle(attempt(1), resumed)
    assert only(done, actions.DrainInput)
    engine.handle(attempt(2), resumed)
    engine.handle(arrival(), resumed)
    engine.handle(messages.Tick(), resumed)
    dropped = engine.handle(events.CancelReceived('south1', 1), resumed)
    assert dropped == (actions.DropBody('south1', 1),)
    assert not engine.handle(events.CallerGone(1), resumed)
    assert len(engine.parts.target.events) == 1
    done = engine.handle(events.InputDrained(), resumed + 0.1)
    received = engine.parts.target.events[-1]
    assert received.attempt == 2
    assert received.limits.remaining_s == pytest.approx(1 - 0.4 - 0.1)
    assert not only(done, actions.SendAttempt)


def test_pause_is_charged_to_callers_deadlines():
    """Guards against deadlines that a pause extends."""
    engine = make_engine()
    engine.handle(arrival(1, deadline_s=0.3), START + 0.4)
    engine.handle(arrival(2), START + 0.4)
    done = engine.handle(events.InputDrained(), START + 0.4)
    assert only(done, actions.RejectCall)[0].reason is Reason.DEADLINE
    assert engine.parts.ingress.table.calls[2].deadline_at == pytest.approx(
        START + 1.0,
    )


def test_long_pause_refuses_until_a_current_offset_is_known():
    """Guards against serving from a view that became stale in a pause."""
    engine = make_engine()
    resumed = START + 10
    engine.parts.plane.offset_reported_at = resumed - 1
    engine.handle(messages.Tick(), resumed)
    engine.handle(events.InputDrained(), resumed)
    done = engine.handle(arrival(), resumed)
    assert done[0].reason is Reason.STALE_VIEW
    engine.parts.plane.offset_reported_at = resumed
    assert not only(engine.handle(arrival(), resumed), actions.RejectCall)


def test_own_pause_makes_no_target_suspected():
    """Guards against avoiding healthy targets after a pause of this node."""
    engine = make_engine()
    engine.handle(arrival(deadline_s=5), START)
    engine.handle(events.InputDrained(), START + 0.5)
    engine.handle(events.InputDrained(), START + 0.5)
    engine.handle(messages.Tick(), START + 0.5)
    assert not engine.parts.ingress.sender.estimates.suspects


def test_cancelled_dispatch_cancels_its_nested_calls():
    """Guards against nested calls that occupy slots although nobody waits."""
    engine = make_engine()
    ledger = engine.parts.ingress.intake.ledger
    ledger.limits[8] = events.CallLimits(1, 1)
    engine.handle(arrival(parent=8), START)
    engine.parts.target.script = (actions.AbortDispatch(8),)
    engine.parts.target.cancelled = (1,)
    done = engine.handle(events.CancelReceived('south1', 3), START)
    assert only(done, actions.RejectCall)[0].reason is Reason.CANCELLED


def pass_time(engine, first, last):
    """Handle ten ticks per second and return all actions."""
    return [
        action
        for tick in range(first, last)
        for action in engine.handle(messages.Tick(), START + tick / 10)
    ]


def test_drain_stops_once_when_both_roles_are_idle():
    """Guards against a shutdown that interrupts a request, or never ends."""
    engine = make_engine()
    engine.handle(arrival(), START)
    engine.parts.target.idle = False
    assert not only(
        engine.handle(messages.DrainRequested(), START),
        actions.Stop,
    )
    engine.handle(events.CallerGone(1), START)
    assert not only(pass_time(engine, 1, 11), actions.Stop)
    engine.parts.target.idle = True
    done = engine.handle(messages.Tick(), START + 1.1)
    assert not only(done, actions.Stop)
    assert only(pass_time(engine, 12, 20), actions.Stop) == [actions.Stop()]


def test_draining_node_forwards_calls_with_tokens():
    """Guards against "outcome unknown" for a booking that never ran.

    The target that issued the token would have answered "not run" or sent the
    kept answer.
    """
    engine = make_engine()
    engine.handle(messages.DrainRequested(), START)
    fresh = engine.handle(arrival(), START)
    assert only(fresh, actions.RejectCall)[0].outcome is Outcome.NOT_RUN
    call = events.CallArrived(2, 'booking', 'free', 10, token='south50')
    done = engine.handle(call, START)
    assert not only(done, actions.RejectCall)


def test_drain_does_not_stop_before_leave_is_appended():
    """Guards against a replaced node that stays a member for hours."""
    engine = make_engine()
    engine.parts.plane.has_left = False
    assert not only(
        engine.handle(messages.DrainRequested(), START),
        actions.Stop,
    )
    assert not only(pass_time(engine, 1, 11), actions.Stop)
    engine.parts.plane.has_left = True
    assert only(pass_time(engine, 11, 18), actions.Stop) == [actions.Stop()]
    late = engine.handle(arrival(call=9), START + 1.8)
    assert only(late, actions.RejectCall)[0].reason is Reason.DRAINING


def test_view_is_rebuilt_only_for_a_new_version():
    """Guards against grouping 19,000 members again for each event."""
    engine = make_engine()
    before = engine.view
    engine.handle(messages.Tick(), START)
    assert engine.view is before
    engine.parts.plane.view_version = 2
    engine.handle(messages.Tick(), START)
    assert engine.view is not before


def test_links_for_calls_stay_open_when_the_relay_closes_them():
    """Guards against a control plane that closes a link used by calls."""
    engine = make_engine()
    engine.handle(arrival(), START)
    peer = next(iter(engine.parts.ingress.sender.needed_links))
    engine.parts.plane.closing = tuple(
        messages.CloseLink(node) for node in (peer, 'north9')
    )
    done = engine.handle(messages.Tick(), START)
    assert only(done, messages.CloseLink) == [messages.CloseLink('north9')]


def test_wakes_up_within_the_tick_interval():
    """Guards against mistaking an idle event loop for a paused process."""
    engine = make_engine()
    assert engine.wakeup_at == pytest.approx(
        START + SETTINGS.pause.tick_interval_s
    )
