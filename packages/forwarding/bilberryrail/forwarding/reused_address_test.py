"""Tests of an address that is given to a backend server of another service."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.backend_test import LEDGER, healthy, heartbeat
from bilberryrail.forwarding.fixtures_test import BOARD
from bilberryrail.forwarding.records import BackendPhase, Refusal
from bilberryrail.forwarding.target_test import Bench


class ReusedAddressBench(Bench):
    """A target whose backend server may be replaced by one of a service."""

    def replace_backend(self, service, *, has_heartbeat=True):
        now = Seconds(self.clock.seconds())
        self.backend.health_checked(healthy('i2'), now)
        if has_heartbeat:
            found = heartbeat('i2', service=service, born=200)
            self.backend.heartbeat_received(found, now)
        self.target.process_queue()

    def end_requests(self):
        for work in list(self.port.sent):
            self.target.not_run(work, Refusal.CONNECT_FAILED)
        self.backend.down = False


@pytest.fixture
def bench():
    return ReusedAddressBench()


@pytest.mark.parametrize('has_heartbeat', [False, True])
def test_request_on_its_way_is_not_run_by_another_service(bench, has_heartbeat):
    # Guards against a request that an ingress node has sent before it learned
    # that the address belongs to another service (issue 42).
    bench.replace_backend(LEDGER, has_heartbeat=has_heartbeat)
    bench.offer(1, service=BOARD)
    assert bench.port.refusals() == [Refusal.NO_BACKEND]
    assert not bench.running()


def test_request_for_the_new_service_is_run(bench):
    # Guards against a backend server at a reused address that gets nothing.
    bench.replace_backend(LEDGER)
    bench.offer(1, service=LEDGER)
    assert bench.running() == [1]


def test_waiting_request_is_not_run_by_another_service(bench):
    # Guards against requests that waited for a slot of the backend server that
    # had the address before.
    bench.offer(*range(1, 10), service=BOARD)
    assert len(bench.target.queue) == 1
    bench.replace_backend(LEDGER)
    assert not bench.target.queue.peek()
    assert bench.port.refusals() == [Refusal.NO_BACKEND]
    bench.end_requests()
    assert len(bench.running()) == 8


def test_request_that_names_no_service_is_run(bench):
    # Guards against refusing all requests of nodes of an earlier version.
    bench.offer(1, service='')
    assert bench.running() == [1]


def test_next_run_keeps_no_phase_of_the_run_before(bench):
    # Guards against a new instance that is used because the one before it at
    # the same address was ready.
    bench.replace_backend(LEDGER, has_heartbeat=False)
    assert bench.backend.phase is BackendPhase.ABSENT
    assert not bench.target.load().limit
