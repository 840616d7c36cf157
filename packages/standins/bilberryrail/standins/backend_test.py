"""Tests the stand-in for a backend server.

Other tests rely on its execution counts to check at-most-once execution.
"""

import time

import msgspec
import pytest

from bilberryrail.core.records import BackendLimits
from bilberryrail.standins.backend_app import LaggingHealth
from bilberryrail.standins.backend_model import (
    Answer,
    BackendModel,
    BackendSettings,
    Faults,
    Health,
    Mode,
    Refusal,
    checksum_of,
)
from bilberryrail.standins.endpoint import Endpoint
from bilberryrail.standins.processes import Children, free_ports

LIMITS = BackendLimits(slots=4, connections=10, cold_slots=1, warm_up_s=9)


def model(seed: int = 5, sigma: float = 0) -> BackendModel:
    settings = BackendSettings(
        'b0',
        'ege',
        1,
        LIMITS,
        seed=seed,
        median_s=0.1,
        sigma=sigma,
    )
    return BackendModel(settings, now=0)


def test_refuses_calls_when_all_slots_are_taken():
    """Guards against a stand-in that runs more calls than it has slots."""
    server = model()
    started = [server.start(f'{number}', 20) for number in range(5)]
    assert started[4] is Refusal.SHED
    assert server.executions.total() == 4
    server.finish()
    assert server.start('again', 20) == pytest.approx(0.1)


def test_cold_overload_slows_calls_and_is_recorded():
    """Guards against a cold stand-in that is as fast as a warm one."""
    server = model()
    assert server.start('a', 0) == pytest.approx(0.1)
    assert server.start('b', 0) == pytest.approx(0.8)
    assert server.start('c', 0) == pytest.approx(2.7)
    assert (server.max_in_flight_cold, server.max_cold_excess) == (3, 2)
    assert [server.concurrency_limit(now) for now in (0, 3, 6, 9)] == [
        1,
        2,
        3,
        4,
    ]


def test_restart_is_cold_under_a_new_boot_id():
    """Guards against a restart that a node cannot detect."""
    server = model()
    before = server.health(20)
    server.apply_faults(Faults(restart=True), 20)
    after = server.health(20)
    assert (before.cold, after.cold) == (False, True)
    assert before.boot != after.boot


def test_fault_modes_take_effect_and_service_times_are_seeded():
    """Guards against modes without effect and service times without seed."""
    server = model()
    server.apply_faults(Faults(mode=Mode.SLOW, slow_factor=5), 0)
    assert server.start('a', 20) == pytest.approx(0.5)
    server.apply_faults(Faults(mode=Mode.FAIL_FAST), 0)
    assert server.start('b', 20) is Refusal.FAILED
    server.apply_faults(Faults(draining=True), 0)
    assert server.start('c', 20) is Refusal.DRAINING
    assert set(server.executions) == {'a'}
    assert model(3, 0.5).start('x', 20) == model(3, 0.5).start('x', 20)
    assert model(3, 0.5).start('x', 20) != model(4, 0.5).start('x', 20)


def test_health_reports_are_delayed_by_the_lag():
    """Guards against health reports that are fresher than the platform's."""
    idle, busy = Health(0, False, False, 'x'), Health(3, False, False, 'x')
    reported = LaggingHealth(0.2, idle)
    reported.record(1, busy)
    assert reported.reported_at(1.1) == idle
    assert reported.reported_at(1.25) == busy


def test_closed_connection_cancels_its_call(children: Children):
    """Guards against cancelled calls that keep their slot."""
    port = free_ports(1)[0]
    settings = BackendSettings(
        'b0', 'ege', port, LIMITS, median_s=0.01, sigma=0, health_lag_s=0
    )
    path = children.write('b.json', msgspec.json.encode([settings]))
    module = 'bilberryrail.standins.backend_server'
    child = children.start('backend', module, str(path))
    children.wait_until_listening(child, [port])
    server = Endpoint(port)
    status, body = server.send('POST', '/any/path', b'{"request": "whole"}')
    answer = msgspec.json.decode(body, type=Answer)
    assert (status, answer.request) == (200, 'whole')
    assert answer.checksum == checksum_of('whole', answer.payload)
    server.json('POST', '/faults', {'mode': 'slow', 'slow_factor': 3000})
    with pytest.raises(TimeoutError):
        Endpoint(port, 0.3).send('POST', '/', b'{"request": "gone"}')
    time.sleep(0.2)
    assert server.json('GET', '/health')['in_flight'] == 0
    assert server.json('GET', '/executions')['counts'] == {
        'whole': 1,
        'gone': 1,
    }
