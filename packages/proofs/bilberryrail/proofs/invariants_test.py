"""Step functions of the scenarios in ``invariants.feature``."""

from functools import partial

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryrail.core.load import Outcome
from bilberryrail.core.records import TenantConfig, TenantEdit, Verdict
from bilberryrail.proofs import faults, trace
from bilberryrail.proofs.deployment import COURTS, HOME_TENANT, KETTLES
from bilberryrail.proofs.operators import Operator
from bilberryrail.proofs.scenario import Scenario

scenarios('invariants.feature')

DEPLOYMENTS = {'Tsagaan Tal': COURTS, 'Kettle Safety': KETTLES}
LAST_ZONES = {'Darkhan': 'da2', 'Karadeniz': 'kar2'}
SERVER = r'(?P<service>\S+) server in (?P<zone>\w+)'
NODE = r"(?P<service>\S+) server's node in (?P<zone>\w+)"
SECONDS = r'(?P<seconds>\d+) seconds'
#: Time in seconds over which calls arrive.
LOAD_S = 6.0
#: Time in seconds by which every configuration must be in force.
END_S = 13.0


@given(
    parsers.re(r'(?P<name>.+) serves (?P<rate>\d+) calls a second'),
    target_fixture='run',
)
def serve(name, rate):
    run = Scenario(DEPLOYMENTS[name])
    run.load(int(rate), LOAD_S)
    run.run(1)
    return run


@given('a club whose data must stay in Darkhan')
def club(run):
    assert run.rules.home[HOME_TENANT] == ('darkhan',)


@given('every caller submits again before the answer arrives')
def short_timeout(monkeypatch):
    monkeypatch.setattr('bilberryrail.proofs.jobs.SHORT_TIMEOUT_SHARE', 1)
    monkeypatch.setattr('bilberryrail.proofs.jobs.SHORT_TIMEOUT_S', 0.015)


def begin_fault(run, service, zone, fault):
    node = run.node(service, zone)
    fault(run.world, node)
    return node


def begin_fault_for(run, service, zone, begin, end, seconds):
    node = begin_fault(run, service, zone, begin)
    run.at(seconds, lambda: end(run.world, node))


@when(parsers.re(rf'an? {SERVER} is slow for {SECONDS}'))
@when(parsers.re(rf'the {SERVER} and its connections are slow for {SECONDS}'))
def slow(run, service, zone, seconds):
    begin_fault_for(
        run, service, zone, faults.slow, faults.speed_up, int(seconds)
    )


@when(parsers.re(rf'the {SERVER} restarts without warning'))
def cold(run, service, zone):
    begin_fault(run, service, zone, faults.turn_cold)


@when(parsers.re(r"(?P<region>\w+)'s second availability zone is taken out"))
def zone_out(run, region):
    run.set_zone(LAST_ZONES[region], out=True)


@when(parsers.re(rf'the {NODE} is paused for {SECONDS}'))
def pause(run, service, zone, seconds):
    begin_fault_for(
        run, service, zone, faults.freeze, faults.thaw, int(seconds)
    )


@when(parsers.re(rf'the {NODE} loses all its connections'))
def cut_off(run, service, zone):
    """Cut a node off from its peers and from the log."""
    node = begin_fault(run, service, zone, faults.cut)
    run.world.log.blocked.add(node.name)


@when('all bookings servers in Darkhan are lost')
def lose_servers(run):
    for zone in ('da1', 'da2'):
        begin_fault(run, 'bookings', zone, faults.lose_backend)


@when(parsers.re(rf'the log service fails and the {NODE} restarts'))
def restart_without_log(run, service, zone):
    node = begin_fault(run, service, zone, faults.log_down)
    faults.kill(run.world, node)
    run.at(0.2, lambda: faults.restart(run.world, node))
    run.at(3, lambda: faults.log_up(run.world, node))


@when(parsers.re(rf'the {NODE} is killed'))
def kill(run, service, zone):
    begin_fault(run, service, zone, faults.kill)


@when(parsers.re(rf'the {SERVER} begins to drain'))
def leave(run, service, zone):
    begin_fault(run, service, zone, faults.drain_backend)


@when(parsers.re(rf'the {NODE} is asked to shut down'))
def drain(run, service, zone):
    begin_fault(run, service, zone, faults.drain)


@when(
    'two operators take different zones out at the same moment',
    target_fixture='operators',
)
def conflict(run):
    nodes = run.world.live()
    pair = (Operator(run.world, 'first'), Operator(run.world, 'second'))
    pair[0].change(nodes[0], b'{"zones_out": ["ub2"]}')
    pair[1].change(nodes[-1], b'{"zones_out": ["da2"]}')
    return pair


@when('the node of the first operator is killed')
def kill_first(run):
    faults.kill(run.world, run.world.live()[0])


@when(parsers.re(rf'the {NODE} is paused until the log has expired it'))
def pause_until_dropped(run, service, zone):
    node = begin_fault(run, service, zone, faults.freeze)
    for number in range(12):
        run.at(0.1, partial(publish, run, f'new-{number}'))
    run.at(1, lambda: expire_records(run))
    run.at(1.1, lambda: faults.thaw(run.world, node))


def publish(run, tenant):
    run.world.publish((TenantEdit(TenantConfig(tenant)),))


def expire_records(run):
    zone_out = [
        note
        for note in run.world.recorder.notes
        if isinstance(note, trace.ZoneSet) and note.out
    ]
    assert zone_out
    assert run.world.log.expire()


@pytest.fixture
def holds(run):
    """Run to the end once, and return a check that an invariant holds."""
    run.run(END_S)
    return lambda number: not run.violations(number)


@then('no node sends more load probes than its budget allows')
def probe_budget(run, holds):
    assert any(
        isinstance(note, trace.MessageSent) and note.size
        for note in run.world.recorder.notes
    )
    assert holds(1)


@then('it gets no more calls than its cold limit, once its node can know of it')
def cold_limit(run, holds):
    assert holds(2)


@then('it gets no new work after 3 seconds')
def zone_work(run, holds):
    assert any(
        isinstance(note, trace.ZoneSet) and note.out
        for note in run.world.recorder.notes
    )
    assert holds(3)


@then('nothing of the club was sent, run, logged or kept elsewhere')
def home(run, holds):
    assert holds(4)
    used = {
        note.use
        for note in run.world.recorder.notes
        if isinstance(note, trace.Used) and note.tenant == HOME_TENANT
    }
    assert used == set(trace.Use)


@then('calls of the club were refused as "not run"')
def refused(run):
    told = {
        note.submission
        for note in run.world.recorder.notes
        if isinstance(note, trace.SubmissionEnded)
        and note.outcome is Outcome.NOT_RUN
    }
    assert any(
        run.world.submissions[number].job.tenant == HOME_TENANT
        for number in told
    )


@then('every call ended once, with its own complete answer or a refusal')
def own_answers(holds):
    assert holds(5)


@then('nothing that was refused as "not run" has run')
def true_refusals(run, holds):
    assert any(
        isinstance(note, trace.SubmissionEnded)
        and note.outcome is Outcome.NOT_RUN
        for note in run.world.recorder.notes
    )
    assert holds(6)


@then('no booking ran twice')
def once(run, holds):
    repeated = [job for job in run.callers.jobs if job.submissions > 2]
    assert len(repeated) > 50
    assert holds(7)
    assert holds(6)


@then('it gets no new work 3 seconds after it began to drain')
def leaving(holds):
    assert holds(8)


@then('it finished all its calls before it exited')
def drained(run, holds):
    assert any(
        isinstance(note, trace.Stopped) for note in run.world.recorder.notes
    )
    assert holds(9)


@then('exactly one of the two changes is accepted')
def one_accepted(holds, operators):
    verdicts = {operator.verdict for operator in operators}
    assert verdicts == {Verdict.ACCEPTED, Verdict.REJECTED}


@then('it is in force everywhere within 12 seconds and never reverts')
def in_force(holds):
    assert holds(10)


@then('most callers got their answers')
def served(run):
    """Guard against scenarios in which no calls run."""
    completed = {
        run.world.submissions[note.submission].job.number
        for note in run.world.recorder.notes
        if isinstance(note, trace.SubmissionEnded)
        and note.outcome is Outcome.COMPLETED
    }
    assert len(completed) > 0.8 * len(run.callers.jobs)
