"""Tests of calls at the ingress, from arrival to end."""

from dataclasses import replace

import pytest

from bilberryrail.control.messages import DrainRequested, LinkDown, LinkUp
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy import actions, events
from bilberryrail.policy.fakes_test import IDLE, Rig, make_view


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'service': 'nothing'}, Reason.UNKNOWN_SERVICE),
        ({'tenant': 'nobody'}, Reason.UNKNOWN_TENANT),
        ({'service': 'booking'}, Reason.RESERVATION_REQUIRED),
        ({'tenant': 'north-only'}, Reason.HOME_REGION),
        ({'parent': 9}, Reason.UNKNOWN_PARENT),
    ],
)
def test_invalid_calls_are_not_forwarded(fields, reason):
    """Guards against sending calls that must not run."""
    rig = Rig()
    rig.arrive(**fields)
    rig.assert_ended(Outcome.INVALID, reason)
    assert not rig.sent
    assert 'north-only' not in repr(rig.seen)


def test_answer_completes_and_a_late_one_is_dropped():
    """Guards against two responses to one request."""
    rig = Rig()
    call = rig.arrive()
    rig.answer(rig.sent[0])
    rig.answer(rig.sent[0])
    assert [end.call for end in rig.ends] == [call]
    assert rig.role.idle


def test_answer_of_another_peer_is_dropped():
    """Guards against an answer that reaches the wrong caller."""
    rig = Rig()
    rig.arrive()
    rig.answer(replace(rig.sent[0], peer='south99'))
    assert not rig.ends


def test_not_run_is_retried_at_other_targets_up_to_max_attempts():
    """Guards against retries at the same target and against endless retries."""
    rig = Rig()
    rig.arrive()
    for number in range(3):
        rig.refuse(rig.sent[number], Outcome.NOT_RUN)
    assert len({sent.peer for sent in rig.sent}) == 3
    assert len(rig.sent) == 3
    rig.assert_ended(Outcome.NOT_RUN, Reason.OVERLOADED)
    assert rig.ends[0].retry_after_s == pytest.approx(0.25)


def test_token_goes_only_to_the_node_it_names():
    """Guards against running a reserved call at another incarnation."""
    rig = Rig()
    rig.arrive('booking', token='south51')
    assert [sent.peer for sent in rig.sent] == ['south51']
    rig.refuse(rig.sent[0], Outcome.NOT_RUN, Reason.QUEUE_FULL)
    assert len(rig.sent) == 1
    rig.assert_ended(Outcome.NOT_RUN, Reason.QUEUE_FULL)


@pytest.mark.parametrize('linked', [True, False])
def test_token_of_a_lost_node_is_unknown(linked):
    """Guards against "not run" when an earlier submission may have run."""
    rig = Rig(auto_link=linked)
    rig.arrive('booking', token='south51')
    rig.feed(LinkDown('south51', 'reset'))
    assert len(rig.sent) == int(linked)
    rig.assert_ended(Outcome.UNKNOWN, Reason.LINK_LOST)


def test_token_of_a_node_that_left_is_unknown():
    """Guards against "not run" for a token whose incarnation is gone."""
    rig = Rig()
    rig.arrive('booking', token='south77')
    rig.assert_ended(Outcome.UNKNOWN, Reason.OTHER_INCARNATION)


def test_token_in_an_unsent_message_is_unknown():
    """Guards against "not run" if the message never reached the target."""
    rig = Rig()
    rig.arrive('booking', token='south51')
    rig.refuse(rig.sent[0], Outcome.NOT_RUN, Reason.LINK_LOST)
    rig.assert_ended(Outcome.UNKNOWN, Reason.LINK_LOST)


def test_invalid_tokens_do_not_count_as_errors_of_a_target():
    """Guards against one caller that makes others avoid a healthy target."""
    rig = Rig()
    rig.arrive('booking', token='south51')
    rig.refuse(rig.sent[0], Outcome.INVALID, Reason.RESERVATION_INVALID)
    rig.assert_ended(Outcome.INVALID, Reason.RESERVATION_INVALID)
    assert rig.role.sender.estimates.of('south51').error_rate == 0


def test_reservation_is_granted():
    """Guards against losing the token on its way to the caller."""
    rig = Rig()
    rig.feed(events.ReservationAsked(7, 'booking', 'free'))
    asked = rig.of_type(actions.SendReservation)[0]
    rig.feed(events.ReservationGranted(asked.peer, asked.attempt, 'tok', IDLE))
    assert rig.ends == [actions.GrantReservation(7, 'tok')]


def test_unsent_attempts_are_rerouted_and_sent_ones_are_unknown():
    """Guards against "not run" for a running call whose link was lost."""
    rig = Rig(auto_link=False)
    rig.arrive()
    first = rig.routes[0]
    rig.feed(LinkDown(first['target'], 'refused'))
    second = rig.routes[1]['target']
    assert second != first['target']
    rig.feed(LinkUp(rig.view.member(second)))
    assert [sent.peer for sent in rig.sent] == [second]
    rig.feed(LinkDown(second, 'reset'))
    rig.wait(1.1)
    rig.assert_ended(Outcome.UNKNOWN, Reason.DEADLINE)


@pytest.mark.parametrize(
    ('linked', 'outcome'),
    [(True, Outcome.UNKNOWN), (False, Outcome.NOT_RUN)],
)
def test_deadline_gives_the_final_answer_at_once(linked, outcome):
    """Guards against late answers and against a false "not run"."""
    rig = Rig(auto_link=linked)
    rig.arrive(deadline_s=0.1)
    rig.wait(0.12)
    rig.assert_ended(outcome, Reason.DEADLINE)
    assert len(rig.of_type(actions.SendCancel)) == len(rig.sent)


def test_caller_gone_cancels_every_attempt():
    """Guards against slots occupied for a caller that has disconnected."""
    rig = Rig()
    call = rig.arrive()
    rig.feed(events.CallerGone(call))
    cancelled = [done.attempt for done in rig.of_type(actions.SendCancel)]
    assert cancelled == [sent.attempt for sent in rig.sent]
    assert rig.role.idle


def test_nested_calls_shrink_limits_and_end_with_their_dispatch():
    """Guards against nested calls that exceed the limits of their call tree."""
    rig = Rig()
    rig.ledger.limits[0] = events.CallLimits(0.2, 2, ('south',))
    rig.arrive(parent=0, tenant='both', deadline_s=5)
    limits = rig.sent[0].limits
    assert limits.remaining_s == pytest.approx(0.2)
    assert limits.home_regions == ('south',)
    assert limits.retry_budget + rig.ledger.limits[0].retry_budget == 2
    rig.seen.extend(rig.role.cancel_nested((1,)))
    rig.assert_ended(Outcome.UNKNOWN, Reason.CANCELLED)
    assert not rig.ledger.attached
    assert rig.of_type(actions.SendCancel)


def test_nested_call_without_common_home_region_is_refused():
    """Guards against an empty intersection that would allow every region."""
    rig = Rig()
    rig.ledger.limits[1] = events.CallLimits(1, 2, ('north',))
    rig.arrive(parent=1, tenant='south-only')
    rig.assert_ended(Outcome.INVALID, Reason.HOME_REGION)


def test_slow_call_is_hedged_once_and_the_loser_is_cancelled():
    """Guards against waiting for a slow target and against repeated hedges."""
    rig = Rig()
    for _ in range(40):
        rig.arrive()
        rig.clock.advance(0.01)
        rig.answer(rig.sent[-1])
    rig.seen.clear()
    rig.arrive()
    rig.wait(0.2)
    first, hedge = rig.sent
    assert first.peer != hedge.peer
    rig.answer(hedge)
    assert [done.attempt for done in rig.of_type(actions.SendCancel)] == [
        first.attempt,
    ]
    assert len(rig.ends) == 1


def test_drain_refuses_new_calls_but_not_nested_ones():
    """Guards against interrupting a running call during a shutdown."""
    rig = Rig()
    rig.feed(DrainRequested())
    rig.arrive()
    rig.assert_ended(Outcome.NOT_RUN, Reason.DRAINING)
    rig.ledger.limits[4] = events.CallLimits(1, 0)
    rig.arrive(parent=4)
    assert len(rig.sent) == 1


def test_no_candidate_is_not_run():
    """Guards against a call that waits for a target until its deadline."""
    rig = Rig(view=make_view(0, 0))
    rig.arrive()
    rig.assert_ended(Outcome.NOT_RUN, Reason.NO_TARGET)
