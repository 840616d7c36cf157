"""Tests of refusals when a token that was used before is submitted again.

A caller that lost its answer submits the token again. If a node that cannot
know what happened refuses this as "not run", the caller takes a new reservation
and its booking is made twice.
"""

import pytest

from bilberryrail.core.load import Outcome, Reason
from bilberryrail.proofs import faults, trace
from bilberryrail.proofs.deployment import COURTS_SMALL
from bilberryrail.proofs.jobs import Callers
from bilberryrail.proofs.world import World

DARKHAN = 'darkhan'


@pytest.fixture
def booked():
    """Simulate until one booking was made; return its token as well."""
    world = World(COURTS_SMALL, 3)
    world.start()
    world.scheduler.run_until(0.5)
    callers = Callers(world, 3)
    job = callers.start('bookings', 'clubs', DARKHAN)
    world.scheduler.run_until(1.0)
    token = next(
        found.token for found in world.submissions.values() if found.token
    )
    return world, callers, job, token


def submit_again(booked, ingress, run_for_s=0.2):
    """Submit the token again through a node; return how that ended."""
    world, callers, job, token = booked
    callers.random.choice = lambda _: ingress
    number = callers.submit(job, token).number
    world.scheduler.run_until(world.scheduler.now + run_for_s)
    return next(
        note
        for note in world.recorder.notes
        if isinstance(note, trace.SubmissionEnded) and note.submission == number
    )


def target_of(booked):
    world = booked[0]
    runs = [
        note
        for note in world.recorder.notes
        if isinstance(note, trace.Executed)
    ]
    return world.nodes[runs[0].node]


def other_than(booked):
    target = target_of(booked)
    return next(
        node
        for node in booked[0].live()
        if node.name != target.name and node.identity.region == DARKHAN
    )


def test_target_with_stale_view_does_not_deny_what_it_ran(booked):
    """Guards against a false "not run" by a target that was paused."""
    target = target_of(booked)
    ingress = other_than(booked)
    target.engine.parts.plane.parts.replica.offset_reported_at = -10
    ended = submit_again(booked, ingress, run_for_s=0.02)
    assert (ended.outcome, ended.reason) == (Outcome.UNKNOWN, Reason.STALE_VIEW)


def test_ingress_that_catches_up_does_not_deny_what_ran(booked):
    """Guards against a false "not run" by a new ingress without links."""
    world = booked[0]
    ingress = other_than(booked)
    world.log.down = True
    faults.cut(world, ingress)
    faults.kill(world, ingress)
    faults.restart(world, ingress)
    ended = submit_again(booked, world.nodes[ingress.name])
    assert (ended.outcome, ended.reason) == (
        Outcome.UNKNOWN,
        Reason.CATCHING_UP,
    )


def test_draining_ingress_does_not_deny_what_ran(booked):
    """Guards against a false "not run" by an ingress that drains.

    It forwards the token, so that the caller gets the kept answer.
    """
    ingress = other_than(booked)
    ingress.engine.parts.ingress.draining = True
    ended = submit_again(booked, ingress)
    assert ended.outcome is Outcome.COMPLETED


def test_stopped_ingress_does_not_deny_what_ran(booked):
    """Guards against a false "not run" by a node that is about to exit."""
    ingress = other_than(booked)
    ingress.engine.stopped = True
    ended = submit_again(booked, ingress)
    assert (ended.outcome, ended.reason) == (Outcome.UNKNOWN, Reason.DRAINING)


def test_late_submission_does_not_deny_what_ran(booked):
    """Guards against a false "not run" after a pause exceeded the deadline."""
    world = booked[0]
    ingress = other_than(booked)
    faults.freeze(world, ingress)
    world.scheduler.after(1.5, lambda: faults.thaw(world, ingress))
    ended = submit_again(booked, ingress, run_for_s=2)
    assert (ended.outcome, ended.reason) == (Outcome.UNKNOWN, Reason.DEADLINE)


def test_unsent_message_does_not_deny_what_ran(booked):
    """Guards against a false "not run" when the link broke before sending."""
    world = booked[0]
    ingress = other_than(booked)
    faults.cut(world, ingress)
    ended = submit_again(booked, ingress)
    assert (ended.outcome, ended.reason) == (Outcome.UNKNOWN, Reason.LINK_LOST)


def test_target_refuses_an_unused_token_as_not_run(booked):
    """Guards against "outcome unknown" for a token that never ran."""
    world, callers, job, _ = booked
    target = target_of(booked)
    token = target.engine.parts.target.reservations.issue(
        job.service,
        job.tenant,
        world.scheduler.now,
    )
    target.engine.parts.target.gate.draining = True
    ingress = other_than(booked)
    ended = submit_again((world, callers, job, token), ingress, run_for_s=0.02)
    assert (ended.outcome, ended.reason) == (Outcome.NOT_RUN, Reason.DRAINING)
