"""Step functions of the scenarios on real processes.

The scenarios guard against failures that appear only with several processes:
calls that are interrupted, lost, executed twice or answered wrongly while a
part fails, and changes whose verdict is missing or not final.
"""

import re
import time
import zlib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bilberryrail.standins.caller_report import LoadReport
from bilberryrail.standins.demo_system import (
    System,
    confirm_first_intent,
    start_system,
)
from bilberryrail.standins.deployments import load_deployment, plan_deployment
from bilberryrail.standins.load_process import LoadProcess, start_load
from bilberryrail.standins.processes import Children
from bilberryrail.standins.waiting import WaitError, wait_until

scenarios('processes.feature')

SPARE_NODE = 'bookings-3'
#: Far below the capacity of the backend servers, so that none must be refused.
CALLS_PER_S = 30
MAX_LOAD_S = 60
#: Minimum number of executed calls that shows that calls go on.
MIN_CALLS = 20
STOP_S = 10


@dataclass
class ScenarioState:
    """State that the steps of one scenario share."""

    system: System
    seed: int
    load: LoadProcess | None = None
    report: LoadReport | None = None
    log_down_at: float = 0
    zone_out: str = ''
    plans: dict[str, str] = field(default_factory=dict)
    printed: dict[str, tuple[int, str]] = field(default_factory=dict)

    def final_report(self) -> LoadReport:
        """End the load and return the report of its callers."""
        if self.report is None:
            self.report = self.load.finish()
        return self.report

    def executions(self) -> int:
        """Return the number of all executions so far."""
        return self.system.executions(self.system.plan.hosts)


@pytest.fixture(scope='module')
def system():
    """Start the processes once; the ``scene`` fixture restores them."""
    plan = plan_deployment(load_deployment('six-nodes'), 1)
    with Children(STOP_S) as children:
        started = start_system(plan, children, (SPARE_NODE,))
        confirm_first_intent(started)
        yield started


@pytest.fixture
def scene(request, system):
    """Provide the state of a scenario, and undo its faults afterwards."""
    shown = ScenarioState(system, zlib.crc32(request.node.name.encode()))
    yield shown
    if shown.load is not None:
        shown.final_report()
    system.set_log_faults(mode='up')
    if SPARE_NODE in system.nodes:
        system.children.stop([system.nodes.pop(SPARE_NODE)])
    for node, child in tuple(system.nodes.items()):
        if child.process.poll() is not None:
            system.start(node)
    if shown.zone_out:
        system.run_command('zone', 'in', shown.zone_out, '--yes')


@given('six nodes in three availability zones')
def started(scene):
    assert len(scene.system.nodes) == 6


@given('callers that look up and book')
def loaded(scene):
    settings = scene.system.load_settings(
        scene.seed,
        MAX_LOAD_S,
        CALLS_PER_S,
        patience_s=4,
    )
    scene.load = start_load(settings, scene.system.children)
    calls_go_on(scene)


@given(parsers.parse('the plan "{name}" to add the tenant "{tenant}"'))
def plan_tenant(scene, name, tenant):
    intent = {'tenants': [{'tenant': tenant}]}
    scene.plans[name] = scene.system.make_plan(name, intent)


@given(
    parsers.parse(
        'the plan "{name}" to give the tenant "{tenant}" the weight {weight:d}',
    ),
)
def plan_weight(scene, name, tenant, weight):
    intent = {'tenants': [{'tenant': tenant, 'weight': weight}]}
    scene.plans[name] = scene.system.make_plan(name, intent)


@when(parsers.parse('the node {node} is killed'))
def kill(scene, node):
    process = scene.system.nodes[node].process
    process.kill()
    process.wait()


@when(parsers.parse('the node {node} is frozen for {seconds:d} seconds'))
def freeze(scene, node, seconds):
    with scene.system.frozen(node):
        thawed_at = time.monotonic() + seconds
        calls_go_on(scene)
        time.sleep(max(thawed_at - time.monotonic(), 0))


@when('the log service goes down')
def log_down(scene):
    scene.system.set_log_faults(mode='down')
    scene.log_down_at = time.monotonic()


@when(parsers.parse('the new node {node} is started'))
def start_spare(scene, node):
    scene.system.start(node)


@when(
    parsers.parse(
        'the log service has been down for {seconds:d} seconds and returns',
    ),
)
def log_up(scene, seconds):
    left = scene.log_down_at + seconds - time.monotonic()
    time.sleep(max(left, 0))
    scene.system.set_log_faults(mode='up')


@when('the log service loses the answer to the next append')
def lose_answer(scene):
    scene.system.set_log_faults(lose_answers=1)


@when('every node is replaced one after another')
def replace_all(scene):
    for node in tuple(scene.system.nodes):
        assert scene.system.replace(scene.system.host(node)) == 0


@when(parsers.parse('the availability zone {zone} is taken out'))
def zone_out(scene, zone):
    scene.zone_out = zone
    scene.system.run_command('zone', 'out', zone, '--yes')


@when(parsers.parse('"{one}" and "{other}" are confirmed at the same time'))
def confirm_both(scene, one, other):
    with ThreadPoolExecutor() as operators:
        futures = {
            name: operators.submit(confirm, scene, name)
            for name in (one, other)
        }
    scene.printed = {name: found.result() for name, found in futures.items()}


@then('calls go on')
def calls_go_on(scene):
    before = scene.executions()
    wait_until(
        lambda: scene.executions() >= before + MIN_CALLS,
        f'{MIN_CALLS} more calls executed',
    )


@then('no call was lost')
def none_lost(scene):
    report = scene.final_report()
    assert (report.lost, report.missing) == (0, 0), report


@then('no booking ran twice')
def none_doubled(scene):
    report = scene.final_report()
    assert (report.doubled, report.false_not_run) == (0, 0), report


@then('every answer reached the caller it was meant for')
def none_wrong(scene):
    report = scene.final_report()
    assert (report.wrong, report.invalid) == (0, 0), report


@then('no call was cut')
def none_cut(scene):
    report = scene.final_report()
    assert (report.cut, report.has_violations) == (0, False), report


@then(parsers.parse('the backend server of {node} gets calls'))
def gets_calls(scene, node):
    hosts = (scene.system.host(node),)
    wait_until(
        lambda: scene.system.executions(hosts) > 0,
        f'a call executed by the backend server of {node}',
    )


@then(
    parsers.parse('confirming the plan "{name}" says that it is not accepted'),
)
def confirm_fails(scene, name):
    status, printed = confirm(scene, name, '--wait', '1')
    assert status != 0, printed
    assert 'Accepted' not in printed
    assert 'not accepted' in printed


@then(parsers.parse('the plan "{name}" can be confirmed'))
def confirm_works(scene, name):
    # A node detects at its next retry that the log is available again.
    try:
        wait_until(lambda: is_confirmed(scene, name), f'plan {name} confirmed')
    except WaitError as error:
        raise AssertionError(scene.printed[name]) from error


@then(parsers.parse('confirming the plan "{name}" again names the same change'))
def same_change(scene, name):
    first = offset_in(scene.printed[name][1])
    assert offset_in(confirm(scene, name)[1]) == first


@then(parsers.parse('{zone} gets no calls from 3 seconds after that'))
def no_late_calls(scene, zone):
    time.sleep(3)
    before = scene.system.executions_in(zone)
    calls_go_on(scene)
    assert scene.system.executions_in(zone) == before


@then('exactly one of them is accepted')
def one_accepted(scene):
    statuses = sorted(status for status, _ in scene.printed.values())
    assert statuses == [0, 1], scene.printed


@then('the other operator gets the reason')
def reason_told(scene):
    told = [text for status, text in scene.printed.values() if status]
    assert len(told) == 1
    assert re.search('rejected: .*tenant/clubs', told[0]), told


def confirm(scene, name, *options):
    """Confirm a plan; return the exit status and the printed text."""
    return scene.system.try_command('confirm', scene.plans[name], *options)


def is_confirmed(scene, name):
    scene.printed[name] = confirm(scene, name)
    return scene.printed[name][0] == 0


def offset_in(printed):
    return re.search(r'Accepted at offset (\d+)', printed)[1]
