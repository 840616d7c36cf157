"""Tests of ending calls that the engine has not ended."""

import asyncio

from twisted.internet.task import Clock

from bilberryrail.bench.raw_http import RawClient, request_bytes
from bilberryrail.node.call_watchdog import (
    CHECK_INTERVAL_S,
    GRACE_S,
    CallWatchdog,
)
from bilberryrail.policy import events

CALLS = '/v1/services/bookings/calls'
HEADERS = 'Bilberryrail-Tenant: club\r\nBilberryrail-Deadline-Ms: 50\r\n'


def test_only_overdue_calls_expire():
    """Guards against ending a call that has time left or has already ended."""
    clock, expired = Clock(), []
    watchdog = CallWatchdog(clock, expired.append)
    for call, deadline_s in ((1, 1), (2, 5), (3, 1)):
        watchdog.watch(call, deadline_s)
    watchdog.forget(3)
    clock.pump((CHECK_INTERVAL_S, CHECK_INTERVAL_S, CHECK_INTERVAL_S))
    assert not expired
    clock.pump((GRACE_S, CHECK_INTERVAL_S))
    assert expired == [1]
    clock.advance(5)
    assert expired == [1, 2]
    assert not clock.getDelayedCalls()


async def test_call_is_answered_when_the_engine_raises(shell, until):
    """Guards against a call without a response after a fault in the engine."""

    def fail(event):
        raise ValueError('fault of the test')

    shell.engine.scripts[events.CallArrived] = fail
    client = RawClient(shell.callers_port)
    response = client.ask(request_bytes(CALLS, HEADERS))
    answer = await asyncio.wait_for(response, 5)
    assert answer.status == 504
    assert answer.headers['bilberryrail-outcome'] == 'unknown'
    assert shell.engine.seen(events.CallerGone)
    assert not shell.process.engine_task.bodies.calls
    assert not shell.process.callers.waiting
