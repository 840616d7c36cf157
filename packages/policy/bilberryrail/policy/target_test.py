"""Guards against wrong admission decisions of a target."""

import pytest

from bilberryrail.control.messages import (
    DrainRequested,
    LinkDown,
    LogEvent,
    Tick,
)
from bilberryrail.core import records
from bilberryrail.policy import actions, events
from bilberryrail.policy import target_harness_test as harness
from bilberryrail.policy.settings import AdmissionSettings, EngineSettings

_ABROAD = records.TenantConfig('abroad', home_regions=('darkhan',))
_PEER = 'ub2-bookings-1'


def _full_driver(**fields):
    driver = harness.Driver(**fields)
    dispatches = []
    for _ in range(harness.LIMITS.slots):
        driver.attempt()
        dispatches.append(driver.dispatch())
    return driver, dispatches


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'service': 'invoices'}, 'wrong-service'),
        ({'tenant': 'nobody'}, 'unknown-tenant'),
        ({'tenant': 'abroad'}, 'home-region'),
        ({'home_regions': ('darkhan',)}, 'home-region'),
        ({'home_regions': ('ulaanbaatar',)}, 'draining'),
    ],
)
def test_request_checks_come_before_draining(fields, reason):
    """Guards against a wrong reason for calls that must not run here."""
    driver = harness.Driver(harness.make_state(tenants=(_ABROAD,)))
    driver.handle(DrainRequested())
    attempt = driver.attempt(**fields)
    assert driver.refusals() == [(attempt, 'not-run', reason)]


def test_tenant_is_not_logged_outside_its_home_regions():
    """Guards against storing a tenant id in a foreign region."""
    driver = harness.Driver(harness.make_state(tenants=(_ABROAD,)))
    driver.attempt(tenant='abroad')
    driver.attempt()
    logged = [
        action.fields.get('tenant')
        for action in driver.sent
        if isinstance(action, LogEvent)
    ]
    assert logged == [None, 'club']


def test_zone_out_refuses_calls_and_restarts_the_ramp_afterwards():
    """Guards against new work in a zone that is out, or full load on return."""
    driver, _ = _full_driver()
    waiting = driver.attempt()
    driver.set_state(harness.make_state(out=True))
    driver.handle(Tick())
    assert driver.refusals() == [
        (waiting, 'not-run', 'availability-zone-out'),
    ]
    driver.set_state(harness.make_state())
    driver.handle(Tick())
    assert driver.role.load(driver.now).limit == 1


def test_new_home_regions_apply_to_waiting_calls():
    """Guards against serving a waiting call outside its home regions."""
    club = records.TenantConfig('club', home_regions=('darkhan',))
    driver, dispatches = _full_driver()
    waiting = driver.attempt()
    driver.set_state(harness.make_state(tenants=(club,)))
    driver.answer(dispatches[0])
    assert driver.refusals() == [(waiting, 'not-run', 'home-region')]
    assert not driver.of(actions.Dispatch)


def test_drain_finishes_running_and_waiting_calls():
    """Guards against a graceful shutdown that interrupts a request."""
    driver, dispatches = _full_driver()
    waiting = driver.attempt()
    driver.handle(DrainRequested())
    assert driver.refusals() == []
    for dispatch in dispatches:
        driver.answer(dispatch)
    taken = [
        action for action in driver.sent if isinstance(action, actions.Dispatch)
    ]
    assert taken[-1].attempt == waiting
    driver.answer(taken[-1].dispatch)
    assert driver.role.idle


def test_failed_connection_marks_down_until_health_succeeds():
    """Guards against sending calls to a dead backend server."""
    driver, dispatches = _full_driver()
    waiting = driver.attempt()
    driver.fail(dispatches[0], started=False)
    assert driver.refusals() == [
        (1, 'not-run', 'backend-server-down'),
        (waiting, 'not-run', 'backend-server-down'),
    ]
    assert driver.of(actions.CheckHealth)
    late = driver.attempt()
    assert driver.refusals() == [(late, 'not-run', 'backend-server-down')]
    for dispatch in dispatches[1:]:
        driver.answer(dispatch)
    driver.handle(events.BackendHealth(harness.REPORT))
    driver.attempt()
    assert driver.dispatch()
    assert driver.role.load(driver.now).cold


def test_started_failure_is_unknown():
    """Guards against "not run" for a call that may have run."""
    driver = harness.Driver()
    attempt = driver.attempt()
    driver.fail(driver.dispatch(), started=True)
    assert driver.refusals() == [(attempt, 'unknown', 'backend-server-failed')]


def test_new_boot_stops_dispatch_while_running_exceeds_cold_limit():
    """Guards against full load on a backend server that restarted."""
    driver, dispatches = _full_driver()
    driver.handle(events.BackendHealth(harness.REPORT))
    waiting = driver.attempt()
    reboot = events.BackendReport(0, cold=False, draining=False, boot='2')
    driver.answer(dispatches[0], report=reboot)
    assert not driver.of(actions.Dispatch)
    driver.answer(dispatches[1])
    driver.answer(dispatches[2])
    assert not driver.of(actions.Dispatch)
    driver.answer(dispatches[3])
    assert driver.of(actions.Dispatch)[0].attempt == waiting
    assert driver.role.counters.cold_limited == 0


def test_cancel_keeps_the_slot_until_the_backend_server_ends_the_call():
    """Guards against overload by calls that are aborted but still run."""
    driver, dispatches = _full_driver()
    waiting = driver.attempt()
    driver.ledger.attach(dispatches[0], 900)
    driver.cancel(1)
    assert driver.of(actions.AbortDispatch) == [
        actions.AbortDispatch(dispatches[0]),
    ]
    assert driver.role.pop_cancelled_nested() == (900,)
    assert driver.role.load(driver.now).in_flight == 4
    driver.fail(dispatches[0])
    assert driver.refusals() == []
    assert driver.of(actions.Dispatch)[0].attempt == waiting


@pytest.mark.parametrize('cancels', [True, False])
def test_link_loss_forgets_attempts_and_cancels_if_set(cancels):
    """Guards against orphaned calls, and answers to reused attempt ids."""
    settings = EngineSettings(
        identity=harness.IDENTITY,
        admission=AdmissionSettings(cancel_on_link_loss=cancels),
    )
    driver, dispatches = _full_driver(settings=settings)
    driver.attempt()
    driver.handle(LinkDown(_PEER, 'reset'))
    assert len(driver.of(actions.AbortDispatch)) == cancels * len(dispatches)
    assert len(driver.of(actions.DropBody)) == cancels
    driver.answer(dispatches[0])
    assert not driver.of(actions.SendAnswer)


def test_calls_that_cannot_meet_their_deadline_are_refused_at_once():
    """Guards against refusals that are sent late."""
    driver = harness.Driver()
    driver.attempt()
    driver.now += 0.1
    driver.answer(driver.dispatch())
    for _ in range(4):
        driver.attempt()
    too_late = driver.attempt(remaining_s=0.11)
    assert driver.refusals() == [(too_late, 'not-run', 'deadline')]
    assert driver.of(actions.SendRefusal)[0].retry_after_s > 0
    late = driver.attempt(remaining_s=0.2)
    assert not driver.refusals()
    assert driver.role.wakeup_at <= driver.now + 0.2
    driver.now += 0.2
    driver.handle(Tick())
    assert driver.refusals() == [(late, 'not-run', 'deadline')]


def test_non_idempotent_call_needs_a_reservation():
    """Guards against a booking that could run twice."""
    driver = harness.Driver(harness.make_state(idempotent=False))
    attempt = driver.attempt()
    assert driver.refusals() == [(attempt, 'invalid', 'reservation-required')]


def test_resubmission_attaches_and_all_get_the_answer():
    """Guards against a lost answer after a caller submits a token again."""
    driver = harness.Driver(harness.make_state(idempotent=False))
    token = driver.token()
    driver.attempt(token=token)
    dispatch = driver.dispatch()
    driver.cancel(1)
    assert not driver.of(actions.AbortDispatch)
    again = [driver.attempt(token=token), driver.attempt(token=token)]
    assert not driver.of(actions.Dispatch)
    driver.answer(dispatch)
    assert [sent.attempt for sent in driver.of(actions.SendAnswer)] == again
    assert driver.of(actions.KeepAnswer) == [actions.KeepAnswer(1, dispatch)]
    driver.handle(DrainRequested())
    late = driver.attempt(token=token)
    assert [sent.attempt for sent in driver.of(actions.SendKeptAnswer)] == [
        late,
    ]


def test_waiting_submissions_of_one_token_get_the_same_result():
    """Guards against "not run" for one while another still waits to run."""
    driver = harness.Driver(harness.make_state(idempotent=False))
    for _ in range(harness.LIMITS.slots):
        driver.attempt(token=driver.token())
    running = driver.dispatch()
    token = driver.token()
    first = driver.attempt(token=token, remaining_s=2)
    second = driver.attempt(token=token, remaining_s=0.1)
    driver.now += 0.2
    driver.handle(Tick())
    assert not driver.refusals()
    driver.answer(running)
    assert driver.of(actions.Dispatch)[0].attempt == first
    driver.answer(driver.dispatch())
    answered = [sent.attempt for sent in driver.of(actions.SendAnswer)]
    assert answered == [first, second]


def test_used_token_never_gets_not_run():
    """Guards against "not run" for a token whose call is running."""
    state = harness.make_state(idempotent=False)
    driver = harness.Driver(state)
    token = driver.token()
    driver.attempt(token=token)
    attempt = driver.attempt(token=token, home_regions=('darkhan',))
    assert driver.refusals() == [(attempt, 'unknown', 'home-region')]
