"""Tests of ending calls that the engine forgot."""

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


def test_only_late_calls_expire():
    """Guards against ending a call that still has time or has ended."""
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


async def test_call_that_the_engine_fails_on_gets_an_answer(shell, until):
    """Guards against silence after a fault in the engine."""

    def fail(event):
        raise ValueError('fault of the test')

    shell.engine.scripts[events.CallArrived] = fail
    client = RawClient(shell.callers_port)
    asking = client.ask(request_bytes(CALLS, HEADERS))
    answer = await asyncio.wait_for(asking, 5)
    assert answer.status == 504
    assert answer.headers['bilberryrail-outcome'] == 'unknown'
    assert shell.engine.seen(events.CallerGone)
    assert not shell.process.engine_task.bodies.calls
    assert not shell.process.callers.waiting
