"""Tests of which requests are suspected when a backend server has ended."""

import pytest

from bilberryrail.core.ids import Seconds
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.fixtures_test import BOARD, SETTINGS
from bilberryrail.forwarding.load_report import HealthResult, Heartbeat
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendPhase,
    BackendRun,
    Fingerprint,
    InstanceId,
    RouteId,
)

ONE = Fingerprint(b'one')
TWO = Fingerprint(b'two')
RUN = BackendRun(InstanceId('i1'), 100)


def heartbeat(instance='i1', born_ms=100, phase=BackendPhase.READY, sequence=1):
    return Heartbeat(
        instance=InstanceId(instance),
        service=BOARD,
        address='10.0.0.1:80',
        phase=phase,
        slots=18,
        born_ms=born_ms,
        sequence=sequence,
    )


def healthy(instance='i1'):
    return HealthResult(is_healthy=True, instance=InstanceId(instance))


class Bench:
    """A backend server whose crashes are recorded."""

    def __init__(self):
        self.backend = Backend(SETTINGS.admission)
        self.crashes = []
        self.backend.crashes.on_crashed = lambda *seen: self.crashes.append(
            seen
        )
        self.backend.heartbeat_received(heartbeat(), Seconds(0))

    def confirm(self):
        """Let the run respond and send its second heartbeat."""
        self.backend.health_checked(healthy(), Seconds(0.5))
        self.backend.heartbeat_received(heartbeat(sequence=2), Seconds(0.6))

    def start(self, number, fingerprint, at=0.0):
        self.backend.request_started(
            number, RouteId('r1'), Seconds(at), fingerprint
        )

    def lose(self, number, at):
        self.backend.crashes.request_lost(number, Seconds(at))
        self.backend.request_ended(number)


@pytest.fixture
def bench():
    return Bench()


def test_requests_in_flight_at_the_end_are_suspected(bench):
    # Guards against an end that nobody connects with its cause: one request is
    # already reset, the other is not yet.
    bench.start(1, ONE)
    bench.start(2, TWO)
    bench.lose(1, at=1.0)
    bench.backend.connection_refused()
    assert bench.crashes == [(RUN, (ONE, TWO))]


def test_end_is_reported_once(bench):
    # Guards against counting one crash several times: connections are refused
    # until another run starts.
    bench.start(1, ONE)
    bench.backend.connection_refused()
    bench.backend.connection_refused()
    bench.lose(1, at=1.0)
    bench.backend.heartbeat_received(heartbeat('i2', 200), Seconds(3))
    assert len(bench.crashes) == 1


@pytest.mark.parametrize(
    'next_run', [heartbeat('i2', 200), heartbeat('i1', 200)]
)
def test_silent_end_is_noticed_with_the_next_run(bench, next_run):
    # Guards against missing the crash of a backend server that falls silent,
    # also if it starts again under the same id.
    bench.start(1, ONE)
    bench.lose(1, at=1.0)
    bench.backend.heartbeat_received(next_run, Seconds(3))
    assert bench.crashes == [(RUN, (ONE,))]


def test_silent_end_and_restart_under_the_same_id_is_noticed(bench):
    # Guards against missing a crash because the next run has the id of the one
    # before and answers a health check before its first heartbeat.
    bench.confirm()
    bench.start(1, ONE)
    bench.lose(1, at=1.0)
    bench.backend.health_checked(healthy(), Seconds(3.0))
    bench.backend.heartbeat_received(heartbeat('i1', 200), Seconds(3.5))
    assert bench.crashes == [(RUN, (ONE,))]


def test_silence_alone_is_no_crash(bench):
    # Guards against blaming requests that were lost while the backend server
    # was frozen: its next heartbeat shows that it is the same run.
    bench.confirm()
    bench.start(1, ONE)
    bench.lose(1, at=1.0)
    bench.backend.health_checked(healthy(), Seconds(3.0))
    bench.backend.heartbeat_received(heartbeat(sequence=3), Seconds(3.5))
    bench.backend.health_checked(healthy(), Seconds(3.6))
    bench.backend.heartbeat_received(heartbeat('i2', 200), Seconds(9))
    assert not bench.crashes


def test_reset_of_one_connection_is_no_crash(bench):
    # Guards against blaming a request for an answer that is broken off, while
    # the backend server goes on and ends for another reason later.
    bench.confirm()
    bench.start(1, ONE)
    bench.lose(1, at=1.0)
    bench.backend.health_checked(healthy(), Seconds(1.2))
    bench.start(2, TWO, at=1.3)
    bench.lose(2, at=1.4)
    bench.backend.connection_refused()
    assert bench.crashes == [(RUN, (TWO,))]


def test_answer_that_is_read_after_a_reset_clears_nobody(bench):
    # Guards against losing a suspect because an answer that was sent before the
    # end is read after the reset.
    bench.start(1, ONE)
    bench.lose(1, at=1.0)
    bench.backend.crashes.responded(Seconds(1.01))
    bench.backend.connection_refused()
    assert bench.crashes == [(RUN, (ONE,))]


def test_planned_end_is_no_crash(bench):
    # Guards against blaming requests that a leaving backend server cuts.
    bench.start(1, ONE)
    leaving = heartbeat(phase=BackendPhase.DRAINING, sequence=2)
    bench.backend.heartbeat_received(leaving, Seconds(0.5))
    bench.lose(1, at=3.0)
    bench.backend.connection_refused()
    assert not bench.crashes


def test_first_heartbeat_of_a_known_instance_is_no_crash(bench):
    # Guards against a false crash: a health check identifies a new instance,
    # and its first heartbeat then states the time of its start.
    bench.backend.health_checked(healthy('i2'), Seconds(3))
    bench.start(1, ONE, at=3.1)
    bench.backend.heartbeat_received(heartbeat('i2', 200), Seconds(3.2))
    assert not bench.crashes


def test_requests_without_a_fingerprint_are_not_suspected(bench):
    # Guards against treating all requests of nodes of an earlier version,
    # which state no fingerprint, as one request.
    bench.start(1, NO_FINGERPRINT)
    bench.lose(1, at=1.0)
    bench.backend.connection_refused()
    assert not bench.crashes
