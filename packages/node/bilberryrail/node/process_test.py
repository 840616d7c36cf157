"""Tests of a node process: input after a pause, draining, operators."""

import asyncio
from functools import partial

import msgspec
from twisted.internet import reactor

from bilberryrail.bench.raw_http import RawClient, read_message, request_bytes
from bilberryrail.bench.scripted_engine import LOAD
from bilberryrail.control import messages
from bilberryrail.core.records import ChangeOutcome, Verdict
from bilberryrail.node.engine_task import MAX_DRAIN_ITERATIONS, QUIET_ITERATIONS
from bilberryrail.node.lifecycle import Phase
from bilberryrail.policy import actions, events

TENANT = 'Bilberryrail-Tenant: club\r\n'
CALLS = '/v1/services/bookings/calls'
INTENT = {
    'zones': [{'zone': 'ub1', 'region': 'ulaanbaatar'}],
    'tenants': [{'tenant': 'club'}],
}


def record_event(order, event):
    order.append(event)
    return ()


async def test_draining_finishes_calls_in_flight(shell, until):
    """Guards against a shutdown that truncates answers or never ends."""
    await until(lambda: shell.process.hooks.phase is Phase.SERVING)
    client = RawClient(shell.callers_port)
    await client.send(request_bytes(f'{CALLS}/hang', TENANT, b'x'))
    await until(lambda: shell.backend.requests)
    shell.process.lifecycle.terminate()
    shell.process.lifecycle.terminate()
    assert len(shell.engine.seen(messages.DrainRequested)) == 1
    assert shell.process.hooks.phase is Phase.DRAINING
    shell.backend.released.set()
    answer = await client.ask(b'')
    assert (answer.status, answer.body) == (200, b'x')
    await shell.process.finished
    assert shell.process.hooks.phase is Phase.STOPPED


async def test_draining_target_answers_its_peers(
    ingress,
    target,
    client,
    until,
):
    """Guards against a stopped target that loses a finished answer."""
    await client.send(request_bytes(f'{CALLS}/hang', TENANT, b'x'))
    await until(lambda: target.backend.requests)
    target.process.lifecycle.terminate()
    target.backend.released.set()
    answer = await client.ask(b'')
    assert (answer.status, answer.body) == (200, b'x')
    await target.process.finished


async def test_drained_node_sends_its_last_answer_over_links_it_opened(
    ingress,
    target,
    client,
    until,
):
    """Guards against closing a link before its last answer is written."""
    target.engine.target = 'n1'
    reverse_client = RawClient(target.callers_port)
    assert (
        await reverse_client.ask(request_bytes(CALLS, TENANT))
    ).status == 200
    await client.send(request_bytes(f'{CALLS}/hang', TENANT, b'x' * 900))
    await until(lambda: target.backend.requests)
    assert target.process.dialer.dialing
    target.process.lifecycle.terminate()
    target.backend.released.set()
    answer = await client.ask(b'')
    assert (answer.status, answer.body) == (200, b'x' * 900)
    await target.process.finished


async def test_calls_after_the_engine_stopped_are_refused(shell):
    """Guards against calls without an answer after the engine has stopped."""
    shell.process.engine_task.stop()
    client = RawClient(shell.callers_port)
    answer = await client.ask(request_bytes(CALLS, TENANT))
    assert answer.status == 503
    assert answer.headers['bilberryrail-reason'] == 'draining'


async def test_call_with_a_token_after_the_engine_stopped_is_unknown(shell):
    """Guards against "not run" although an earlier submission may have run."""
    shell.process.engine_task.stop()
    client = RawClient(shell.callers_port)
    headers = f'{TENANT}Bilberryrail-Reservation: token-1\r\n'
    answer = await client.ask(request_bytes(CALLS, headers))
    assert answer.headers['bilberryrail-outcome'] == 'unknown'
    assert answer.headers['bilberryrail-reason'] == 'draining'


async def test_waiting_input_is_read_before_input_drained(shell, until):
    """Guards against admitting calls whose cancellation is still unread."""
    clients = [RawClient(shell.callers_port) for _ in range(20)]
    request = request_bytes(CALLS, TENANT)
    await asyncio.gather(*[client.ask(request) for client in clients])
    order = []
    script = partial(record_event, order)
    shell.engine.scripts[events.CallArrived] = script
    shell.engine.scripts[events.InputDrained] = script
    await asyncio.gather(*[client.send(request) for client in clients])
    shell.engine.scripts[events.ProbeReceived] = lambda _: (
        actions.DrainInput(),
        actions.DrainInput(),
    )
    shell.process.engine_task.submit(events.ProbeReceived('n1', 1))
    await until(lambda: shell.engine.seen(events.InputDrained))
    assert len(order) == 21
    assert isinstance(order[-1], events.InputDrained)


async def test_steady_input_does_not_delay_input_drained(shell, until):
    """Guards against a node that steady input prevents from serving."""
    task = shell.process.engine_task
    iterations = []

    def keep_busy():
        if not shell.engine.seen(events.InputDrained):
            iterations.append(reactor.seconds())
            task.submit(events.ProbeReplied('n1', 1, LOAD))
            reactor.callLater(0, keep_busy)

    drain = actions.DrainInput()
    shell.engine.scripts[events.ProbeReceived] = lambda _: (drain,)
    task.submit(events.ProbeReceived('n1', 1))
    keep_busy()
    await until(lambda: shell.engine.seen(events.InputDrained))
    assert (
        QUIET_ITERATIONS
        < len(iterations)
        <= MAX_DRAIN_ITERATIONS + QUIET_ITERATIONS
    )


async def test_timer_follows_a_changed_wakeup_time(shell, until):
    """Guards against a timer that fires late or at an outdated time."""
    engine, task = shell.engine, shell.process.engine_task
    for delay in (5, 0.02):
        engine.wakeup_at = reactor.seconds() + delay
        task.submit(events.ProbeReceived('n1', 1))
    seen = len(engine.events)
    await asyncio.sleep(0.01)
    assert len(engine.events) == seen
    await until(lambda: len(engine.events) > seen)
    engine.wakeup_at = float('inf')


async def test_operators_can_request_and_confirm_a_plan(shell):
    """Guards against answers that the operators' command cannot parse."""
    client = RawClient(shell.settings.operator_port)
    body = msgspec.json.encode(INTENT)
    made = await client.ask(request_bytes('/v1/operator/plan', '', body))
    assert made.status == 200
    bad = await client.ask(request_bytes('/v1/operator/plan', '', b'{'))
    assert bad.status == 400
    assert set(msgspec.json.decode(bad.body)) == {'error', 'field'}
    confirm = request_bytes('/v1/operator/confirm', '', made.body)
    confirmed = await client.ask(confirm)
    assert confirmed.status == 202
    asked = shell.engine.seen(messages.AppendRequested)[0]
    assert msgspec.json.decode(confirmed.body) == {
        'record_id': asked.record.record_id,
    }
    shell.engine.plane.log_available = False
    assert (await client.ask(confirm)).status == 503


async def test_operators_can_read_verdicts_and_status(shell):
    """Guards against a verdict that differs from the result of the replay."""
    client = RawClient(shell.settings.operator_port)
    path = '/v1/operator/changes/r1'
    assert (await read(client, path))['verdict'] == 'pending'
    outcome = ChangeOutcome('r1', 4, Verdict.REJECTED, 'conflict')
    shell.engine.plane.state.outcomes['r1'] = outcome
    assert await read(client, path) == {
        'verdict': 'rejected',
        'offset': 4,
        'reason': 'conflict',
    }
    status = await read(client, '/v1/operator/status')
    assert (status['node'], status['log']) == ('n1', 'up')


async def test_metrics_have_no_tenant_label(shell):
    """Guards against a time series for each tenant, and empty metrics."""
    caller = RawClient(shell.callers_port)
    await caller.ask(request_bytes(CALLS, TENANT))
    client = RawClient(shell.settings.operator_port)
    await client.send(b'GET /metrics HTTP/1.0\r\n\r\n')
    text = (await client.streams[0].read()).decode()
    assert 'bilberryrail_calls_total{outcome="completed"} 1' in text
    assert 'bilberryrail_step_seconds_count{step="decide"} 1' in text
    assert 'bilberryrail_in_flight{role="ingress"} 0' in text
    assert 'bilberryrail_limit 4' in text
    assert 'club' not in text


async def read(client, path):
    await client.send(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
    message = await read_message(client.streams[0])
    return msgspec.json.decode(message.body)
