"""Tests of a node's view of the backend server beside it."""

import pytest

from bilberryrail.core.ids import Seconds, ServiceId
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.bounds import MAX_COUNT
from bilberryrail.forwarding.fixtures_test import BOARD, RULES
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Heartbeat,
    LoadReport,
    Notice,
)
from bilberryrail.forwarding.records import (
    BackendPhase,
    InstanceId,
    RouteId,
)
from bilberryrail.forwarding.settings import AdmissionSettings

NOW = Seconds(10)
LEDGER = ServiceId('ledger')
ROUTE = RouteId('r1')


def healthy(name):
    return HealthResult(is_healthy=True, instance=InstanceId(name))


def heartbeat(
    name='i1',
    *,
    service=BOARD,
    born=100,
    seq=1,
    phase=BackendPhase.READY,
    cold=0.0,
):
    return Heartbeat(
        instance=InstanceId(name),
        service=service,
        address='10.0.0.1:80',
        phase=phase,
        slots=10,
        born_ms=born,
        sequence=seq,
        cold_s=cold,
    )


@pytest.fixture
def backend():
    found = Backend(AdmissionSettings())
    found.rules = RULES
    found.heartbeat_received(heartbeat(), NOW)
    return found


def test_late_heartbeat_of_an_earlier_instance_changes_nothing(backend):
    # Guards against a delayed heartbeat that replaces the present instance with
    # one that has ended.
    assert not backend.heartbeat_received(heartbeat('i0', born=50, seq=9), NOW)
    assert backend.instance == 'i1'


def test_late_heartbeat_of_the_same_instance_changes_nothing(backend):
    # Guards against a delayed heartbeat that makes a draining backend server
    # ready again.
    backend.heartbeat_received(
        heartbeat(seq=3, phase=BackendPhase.DRAINING), NOW
    )
    assert not backend.heartbeat_received(heartbeat(seq=2), NOW)
    assert not backend.is_usable(NOW)


def test_departure_counts_after_a_sequence_number_that_is_too_high(backend):
    # Guards against a malformed heartbeat after which an acknowledged departure
    # is ignored, so that requests still reach the leaving backend server.
    backend.heartbeat_received(heartbeat(seq=MAX_COUNT), NOW)
    departure = heartbeat(seq=3, phase=BackendPhase.DRAINING)
    assert backend.heartbeat_received(departure, NOW)
    assert not backend.is_usable(NOW)
    assert not backend.heartbeat_received(heartbeat(seq=4), NOW)
    assert not backend.is_usable(NOW)


def test_late_departure_of_an_earlier_run_with_the_same_id_is_ignored(backend):
    # Guards against a restarted backend server that is not used because of a
    # delayed heartbeat of its earlier run.
    backend.heartbeat_received(heartbeat(born=200, seq=0), NOW)
    departure = heartbeat(seq=9, phase=BackendPhase.DRAINING)
    assert not backend.heartbeat_received(departure, NOW)
    assert backend.is_usable(NOW)


def test_restart_under_the_same_id_is_accepted(backend):
    # Guards against ignoring a restarted backend server because its sequence
    # numbers start again.
    backend.heartbeat_received(
        heartbeat(seq=40, phase=BackendPhase.DRAINING), NOW
    )
    assert backend.heartbeat_received(heartbeat(born=200, seq=0), NOW)
    assert backend.is_usable(NOW)


def test_departed_instance_gets_no_new_requests(backend):
    # Guards against sending requests to an instance whose departure was
    # acknowledged. Its heartbeats and health checks continue for a while.
    backend.instance_left(InstanceId('i1'))
    backend.heartbeat_received(heartbeat(seq=2), NOW)
    backend.health_checked(
        HealthResult(is_healthy=True, instance=InstanceId('i1')), NOW
    )
    assert not backend.is_usable(NOW)


def test_departure_is_kept_before_the_first_heartbeat():
    # Guards against a node that forgets an acknowledged departure when it
    # restarts.
    backend = Backend(AdmissionSettings())
    backend.instance_left(InstanceId('i1'))
    backend.heartbeat_received(heartbeat(), NOW)
    assert not backend.is_usable(NOW)


def test_restart_of_a_departed_instance_is_used():
    # Guards against excluding a backend server for ever because it starts again
    # under the id with which it departed.
    backend = Backend(AdmissionSettings())
    backend.rules = RULES
    backend.instance_left(InstanceId('i1'), 100)
    backend.heartbeat_received(heartbeat(born=100), NOW)
    assert not backend.is_usable(NOW)
    backend.heartbeat_received(heartbeat(born=200, seq=0), NOW)
    assert backend.is_usable(NOW)


def test_health_check_names_the_instance_before_its_heartbeat():
    # Guards against a restarted node that cannot serve until the next
    # heartbeat.
    backend = Backend(AdmissionSettings())
    backend.address.seen(BOARD, Seconds(NOW - 1))
    backend.health_checked(healthy('i1'), NOW)
    assert backend.is_usable(NOW)
    assert backend.service == BOARD


def test_instance_is_used_while_the_address_cannot_be_reused(backend):
    # Guards against a restarted backend server that waits for its heartbeat.
    backend.health_checked(healthy('i1'), NOW)
    later = Seconds(NOW + 1.9)
    backend.health_checked(healthy('i2'), later)
    assert backend.is_usable(later)
    assert backend.service == BOARD


def test_instance_is_not_used_before_its_service_is_known(backend):
    # Guards against requests to a backend server of another service that has
    # got the address of one that has ended (issue 42).
    backend.health_checked(healthy('i1'), NOW)
    later = Seconds(NOW + 2)
    backend.health_checked(healthy('i2'), later)
    backend.health_checked(healthy('i2'), later)
    assert not backend.is_usable(later)
    assert backend.service is None
    backend.heartbeat_received(heartbeat('i2', born=200, service=LEDGER), later)
    assert backend.is_usable(later)
    assert backend.service == LEDGER


def test_answer_that_is_read_late_does_not_prolong_the_service(backend):
    # Guards against a node that was paused, and takes the last answer of a
    # backend server for one that was written now.
    backend.health_checked(healthy('i1'), Seconds(NOW + 5), NOW)
    later = Seconds(NOW + 5.1)
    backend.health_checked(healthy('i2'), later)
    assert not backend.is_usable(later)


def test_instance_before_any_known_service_waits_for_its_heartbeat():
    # Guards against a process that takes an instance for the one that its
    # settings named long ago.
    backend = Backend(AdmissionSettings())
    backend.address.seen(BOARD, Seconds(NOW - 2))
    backend.health_checked(healthy('i1'), NOW)
    assert not backend.is_usable(NOW)
    backend.heartbeat_received(heartbeat(), NOW)
    assert backend.is_usable(NOW)


def test_late_heartbeat_does_not_name_the_service_of_a_new_instance(backend):
    # Guards against a delayed heartbeat of the backend server that had the
    # address before, after a health check has identified another one.
    backend.health_checked(healthy('i2'), NOW)
    assert not backend.heartbeat_received(heartbeat(seq=2), NOW)
    backend.health_checked(healthy('i2'), NOW)
    assert not backend.is_usable(NOW)
    assert backend.instance == 'i2'


def test_instance_with_an_earlier_start_is_used_if_it_answers(backend):
    # Guards against a backend server that is never used because the clock of
    # its host was set back before its start.
    backend.health_checked(healthy('i2'), NOW)
    assert not backend.is_usable(NOW)
    assert backend.heartbeat_received(heartbeat('i2', born=50, seq=1), NOW)
    assert backend.is_usable(NOW)


def test_cold_limit_holds_until_a_fresh_check_says_warm(backend):
    # Guards against sending the full load to a backend server that became cold
    # without notice.
    assert backend.cold_limit(NOW) == 40 * 1.5 + 5
    warm = HealthResult(is_healthy=True, cold_s=0.0)
    backend.health_checked(warm, NOW)
    assert backend.cold_limit(NOW) > 1000
    assert backend.cold_limit(Seconds(NOW + 1)) == 40 * 1.5 + 5
    backend.health_checked(HealthResult(is_healthy=True, cold_s=2.0), NOW)
    assert backend.cold_limit(NOW) == 40 * 1.5 + 5


def test_unhealthy_backend_server_gets_trials_and_recovers(backend):
    # Guards against excluding a working backend server for ever because its
    # health checks fail wrongly.
    for _ in range(3):
        backend.health_checked(HealthResult(is_healthy=False), NOW)
    backend.request_started(1, ROUTE, NOW)
    assert not backend.is_usable(NOW)
    later = Seconds(NOW + 0.3)
    assert backend.is_usable(later)
    backend.request_answered(1, later)
    assert backend.is_usable(later)


def test_reported_slowdown_fades(backend):
    # Guards against an old report that keeps requests away from a host.
    backend.load_reported(LoadReport(1, 0, 10, slowdown=4.0), NOW)
    assert backend.slowdown(NOW) == pytest.approx(4.0)
    assert backend.slowdown(Seconds(NOW + 3)) < 1.1


def test_stalled_request_shows_a_slow_backend_server(backend):
    # Guards against a backend server that hangs and seems to be idle.
    for number in range(30):
        backend.request_started(number, ROUTE, Seconds(NOW + number))
        backend.request_answered(number, Seconds(NOW + number + 0.05))
        backend.request_ended(number)
    backend.request_started(99, ROUTE, Seconds(NOW + 40))
    assert backend.slowdown(Seconds(NOW + 41)) > 5


def test_share_of_slots_is_kept_free(backend):
    # Guards against using all slots, at which point every request slows down.
    assert backend.limit() == 8


def test_first_heartbeat_completes_the_identification(backend):
    # Guards against a restarted node that forgets with the first heartbeat what
    # a health check or another node has told about the same run.
    fresh = Backend(AdmissionSettings())
    fresh.rules = RULES
    healthy = HealthResult(is_healthy=True, instance=InstanceId('i1'))
    fresh.health_checked(healthy, NOW)
    fresh.statements.noticed(Notice(rate_limit=7.5), NOW)
    fresh.heartbeat_received(heartbeat(born=100), NOW)
    assert fresh.run == backend.run
    assert fresh.statements.known_rate_limit == 7.5
