"""Tests of the target role: which requests run, wait or are refused."""

from itertools import repeat

import pytest
from twisted.internet.task import Clock

from bilberryrail.core.ids import AttemptId, NodeId, Seconds
from bilberryrail.forwarding.admission import MAX_HEALTH_CHECK_WAIT_S
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.fixtures_test import (
    BOARD,
    RULES,
    SETTINGS,
    forward,
)
from bilberryrail.forwarding.load_report import (
    HealthResult,
    Heartbeat,
    LoadReport,
    Notice,
    NoticeSource,
)
from bilberryrail.forwarding.messages import Answered, Failed, Refused
from bilberryrail.forwarding.quarantine import Quarantine
from bilberryrail.forwarding.records import (
    BackendPhase,
    BackendRun,
    CrashRecord,
    Failure,
    Fingerprint,
    HttpAnswer,
    InstanceId,
    Refusal,
    RouteId,
)
from bilberryrail.forwarding.target import Target

PEER = NodeId('n2')


LOOKUP = Fingerprint(b'lookup')


class FakePort:
    """Records the calls of the target role."""

    def __init__(self):
        self.sent = []
        self.aborted = []
        self.replies = []
        self.health_checks = 0

    def check_health(self):
        self.health_checks += 1

    def dispatch(self, work, instance):
        self.sent.append(work)

    def abort(self, work):
        self.aborted.append(work)

    def reply(self, node, reply):
        self.replies.append(reply)

    def refusals(self):
        return [one.reason for one in self.replies if isinstance(one, Refused)]


class Bench:
    """A target on a fake clock, with a warm backend server of 10 slots."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(100)
        self.backend = Backend(SETTINGS.admission)
        self.backend.rules = RULES
        self.port = FakePort()
        ledger = CrashLedger(
            SETTINGS.quarantine, lambda: int(self.clock.seconds() * 1000)
        )
        self.target = Target(
            SETTINGS, self.clock, self.backend, self.port, Quarantine(ledger)
        )
        self.send_heartbeat(BackendPhase.READY, 1)
        self.backend.service_time.overall.learn(0.05)
        self.warm()

    def warm(self):
        now = Seconds(self.clock.seconds())
        self.backend.health_checked(
            HealthResult(is_healthy=True, cold_s=0.0), now
        )

    def send_heartbeat(self, phase, sequence):
        heartbeat = Heartbeat(
            instance=InstanceId('i1'),
            service=BOARD,
            address='10.0.0.1:80',
            phase=phase,
            slots=10,
            born_ms=100,
            sequence=sequence,
        )
        self.backend.heartbeat_received(
            heartbeat, Seconds(self.clock.seconds())
        )

    def offer(self, *attempts, **terms):
        for attempt in attempts:
            self.target.offer(PEER, forward(attempt, **terms))

    def share_host(self, slowdown=5.0):
        """Report a slow host for a quarter of the time."""
        for _ in repeat(None, 100):
            self.clock.advance(0.05)
            self.report_slowdown(1.0)
            self.clock.advance(0.1)
            self.report_slowdown(1.0)
            self.clock.advance(0.05)
            self.report_slowdown(slowdown)
        self.clock.advance(0.1)
        self.warm()

    def report_slowdown(self, slowdown):
        now = Seconds(self.clock.seconds())
        self.backend.load_reported(LoadReport(0, 0, 10, slowdown), now)

    def running(self):
        return [work.message.attempt for work in self.port.sent]


@pytest.fixture
def bench():
    return Bench()


def test_only_the_usable_slots_run_at_once(bench):
    # Guards against filling the backend server completely, because a nearly
    # full one slows all requests down.
    bench.offer(*range(1, 12))
    assert len(bench.port.sent) == 8


def test_next_request_is_sent_when_one_is_answered(bench):
    # Guards against a queue that is only processed by a timer.
    bench.offer(*range(1, 11))
    bench.target.answered(bench.port.sent[0], HttpAnswer(200))
    assert len(bench.port.sent) == 9
    assert isinstance(bench.port.replies[0], Answered)


def test_urgent_requests_go_first(bench):
    # Guards against serving a request after a less urgent one of the same
    # service.
    bench.offer(*range(1, 9))
    bench.offer(20, priority=2)
    bench.offer(21, priority=1)
    bench.offer(22, priority=0)
    for index in range(3):
        bench.target.answered(bench.port.sent[index], HttpAnswer(200))
    assert bench.running()[8:] == [22, 21, 20]


def test_late_request_goes_after_those_in_time(bench):
    # Guards against an overload in which every answer is late, because the
    # oldest requests are served first although they are late already.
    bench.offer(*range(1, 9))
    bench.offer(20, priority=1, target_latency_left_s=0.04)
    bench.offer(21, priority=2)
    for index in range(2):
        bench.target.answered(bench.port.sent[index], HttpAnswer(200))
    assert bench.running()[8:] == [21, 20]


def test_late_request_is_refused_while_the_caller_can_retry(bench):
    # Guards against holding a late request until its deadline while other
    # requests get the slots.
    bench.offer(*range(1, 9))
    bench.offer(20, target_latency_left_s=0.04, remaining_s=0.4)
    bench.clock.pump(repeat(0.05, 3))
    assert bench.port.refusals() == [Refusal.LATE]
    assert bench.target.load().waiting == 0


def test_request_that_becomes_late_in_the_queue_is_moved_back(bench):
    # Guards against giving a slot to a request that has become late in the
    # queue before one that is still in time.
    bench.offer(*range(1, 9))
    bench.offer(20, priority=1, target_latency_left_s=0.12)
    bench.clock.pump(repeat(0.05, 3))
    bench.offer(21, priority=2, target_latency_left_s=0.3)
    for index in range(2):
        bench.target.answered(bench.port.sent[index], HttpAnswer(200))
    assert bench.running()[8:] == [21, 20]


def test_short_request_never_counts_as_late(bench):
    # Guards against refusing a nested call of a running request, which makes
    # the whole request fail.
    bench.backend.service_time.learn(RouteId('r0'), 0.5, Seconds(100))
    bench.backend.service_time.learn(RouteId('r1'), 0.05, Seconds(100))
    bench.offer(*range(1, 9))
    bench.offer(20, target_latency_left_s=0.04, remaining_s=0.4)
    bench.clock.pump(repeat(0.05, 3))
    assert not bench.port.refusals()


def test_draining_backend_server_gets_no_new_requests(bench):
    # Guards against sending requests after the departure of the backend server
    # was acknowledged, also those that were queued before.
    bench.offer(*range(1, 11))
    bench.send_heartbeat(BackendPhase.DRAINING, 2)
    bench.target.process_queue()
    bench.offer(30)
    assert len(bench.port.sent) == 8
    assert bench.port.refusals() == list(repeat(Refusal.NO_BACKEND, 3))


def test_zone_that_is_out_gets_no_new_requests(bench):
    # Guards against running requests in an availability zone that operators
    # have taken out.
    bench.target.capacity.zone_out = True
    bench.offer(1)
    assert bench.port.refusals() == [Refusal.ZONE_OUT]


def test_running_requests_complete_while_the_node_shuts_down(bench):
    # Guards against a shutdown that aborts running requests.
    bench.offer(1)
    bench.target.capacity.leaving = True
    bench.target.process_queue()
    bench.offer(2)
    bench.target.answered(bench.port.sent[0], HttpAnswer(200))
    assert bench.port.refusals() == [Refusal.DRAINING]
    assert isinstance(bench.port.replies[-1], Answered)
    assert bench.target.is_idle


def test_request_that_will_miss_its_deadline_is_refused_at_once(bench):
    # Guards against queueing a request that cannot be answered before its
    # deadline.
    bench.offer(*range(1, 9))
    bench.offer(9, remaining_s=0.04)
    assert bench.port.refusals() == [Refusal.LATE]


def test_queued_request_is_refused_before_its_deadline(bench):
    # Guards against sending a request that can no longer be answered before its
    # deadline.
    bench.offer(*range(1, 9))
    bench.offer(9, remaining_s=0.1)
    bench.clock.pump(repeat(0.05, 4))
    assert bench.port.refusals() == [Refusal.DEADLINE]
    assert len(bench.port.sent) == 8


def test_request_is_refused_if_another_target_is_faster(bench):
    # Guards against queueing a request here while other targets are idle.
    bench.offer(*range(1, 9))
    bench.offer(9, max_answer_s=0.051)
    assert bench.port.refusals() == [Refusal.BUSY]


def test_slow_host_refuses_a_request_with_a_faster_alternative(bench):
    # Guards against running a request on a host that other work slows down at
    # the moment.
    now = Seconds(bench.clock.seconds())
    bench.backend.load_reported(LoadReport(0, 0, 10, slowdown=4.0), now)
    bench.offer(1, max_answer_s=0.1)
    bench.offer(2, max_answer_s=0.0)
    assert bench.port.refusals() == [Refusal.SLOW]
    assert bench.running() == [2]


def test_cold_backend_server_gets_no_more_than_its_rate(bench):
    # Guards against sending the full load to a cold backend server, which fails
    # under it.
    now = Seconds(bench.clock.seconds())
    bench.backend.health_checked(HealthResult(is_healthy=True, cold_s=3.0), now)
    sent_in_first_second = 0
    for attempt in range(1, 200):
        bench.offer(attempt, remaining_s=0.2)
        for work in tuple(bench.target.in_flight.values()):
            bench.target.answered(work, HttpAnswer(200))
        bench.clock.advance(0.005)
        if attempt == 200 - 1:
            sent_in_first_second = len(bench.port.sent)
    assert sent_in_first_second <= 40 * 1.5 + 5


def test_cancelled_request_is_aborted_at_the_backend_server(bench):
    # Guards against running a request whose client has disconnected.
    bench.offer(*range(1, 10))
    bench.target.cancel(PEER, AttemptId(1))
    assert [work.message.attempt for work in bench.port.aborted] == [1]
    assert bench.running()[-1] == 9


def test_cancelled_queued_request_never_runs(bench):
    # Guards against running a request that was cancelled while it was queued.
    bench.offer(*range(1, 10))
    bench.target.cancel(PEER, AttemptId(9))
    bench.target.answered(bench.port.sent[0], HttpAnswer(200))
    assert 9 not in bench.running()


def test_requests_of_a_lost_node_are_cancelled(bench):
    # Guards against slots that remain in use for a node whose link is lost.
    bench.offer(*range(1, 10))
    bench.target.peer_lost(PEER)
    assert bench.target.is_idle
    assert len(bench.port.aborted) == 8


def test_failed_request_is_not_reported_as_not_run(bench):
    # Guards against reporting that a request has not run after its connection
    # was reset, because it may have run.
    bench.offer(1)
    bench.target.failed(bench.port.sent[0], Failure.RESET)
    assert isinstance(bench.port.replies[0], Failed)


def test_repeated_message_runs_once(bench):
    # Guards against running a request twice because its message was delivered
    # twice.
    bench.offer(1, 1)
    assert bench.running() == [1]


def test_refused_connection_stops_new_requests_until_a_health_check(bench):
    # Guards against sending requests to a backend server that refuses
    # connections.
    bench.offer(1)
    bench.target.not_run(bench.port.sent[0], Refusal.CONNECT_FAILED)
    bench.offer(2)
    bench.warm()
    bench.offer(3)
    assert bench.running() == [1, 3]


def test_request_waits_for_a_health_check_of_a_shared_host(bench):
    # Guards against starting a request while the host is slow. The speed at the
    # start decides how long it runs, and a health check takes only
    # milliseconds.
    bench.share_host()
    bench.backend.service_time.reported_slowdown.health_check_s = 0.001
    bench.offer(1)
    assert bench.port.health_checks == 1
    assert not bench.port.sent
    bench.report_slowdown(1.0)
    bench.target.process_queue()
    assert bench.running() == [1]


def test_wait_for_a_health_check_is_bounded(bench):
    # Guards against holding requests for a health check that is not answered.
    bench.share_host()
    bench.backend.service_time.reported_slowdown.health_check_s = 0.001
    bench.offer(1)
    bench.clock.advance(MAX_HEALTH_CHECK_WAIT_S)
    assert bench.running() == [1]


def test_short_request_is_sent_without_a_health_check(bench):
    # Guards against waiting for a health check that takes as long as it may
    # save.
    bench.share_host()
    bench.backend.service_time.reported_slowdown.health_check_s = 0.02
    bench.offer(1)
    assert not bench.port.health_checks
    assert bench.running() == [1]


def test_long_request_is_paused_during_a_short_slow_episode(bench):
    # Guards against starting a request on a slow host, where it takes five
    # times as long, although the host is fast again after a moment.
    bench.share_host()
    bench.backend.service_time.by_route.clear()
    bench.backend.service_time.overall.usual_s = 0.2
    bench.report_slowdown(5.0)
    bench.offer(1)
    assert not bench.port.sent
    bench.clock.advance(0.05)
    bench.report_slowdown(1.0)
    bench.target.process_queue()
    assert bench.running() == [1]


def test_pause_ends_during_a_long_slow_episode(bench):
    # Guards against pausing requests on a host that remains slow.
    bench.share_host()
    bench.backend.service_time.overall.usual_s = 0.2
    bench.report_slowdown(5.0)
    bench.offer(1)
    for _ in repeat(None, 80):
        bench.clock.advance(0.02)
        bench.report_slowdown(5.0)
        bench.target.process_queue()
    assert bench.running() == [1]
    bench.offer(2)
    assert bench.running() == [1, 2]


def test_paused_request_can_be_cancelled(bench):
    # Guards against running a paused request whose client has disconnected.
    bench.share_host()
    bench.backend.service_time.reported_slowdown.health_check_s = 0.001
    bench.offer(1)
    bench.target.cancel(PEER, AttemptId(1))
    bench.clock.pump(repeat(0.02, 20))
    assert not bench.port.sent
    assert bench.target.is_idle


def test_paused_requests_are_refused_when_the_zone_is_out(bench):
    # Guards against running a request in a zone that was taken out while the
    # request was paused.
    bench.share_host()
    bench.backend.service_time.reported_slowdown.health_check_s = 0.001
    bench.offer(1)
    bench.target.capacity.zone_out = True
    bench.target.process_queue()
    assert bench.port.refusals() == [Refusal.ZONE_OUT]
    assert bench.target.is_idle


def test_each_new_notice_is_reported_once(bench):
    # Guards against a limit that no log line shows, and against a log line for
    # each answer that repeats it.
    noticed = []
    bench.target.on_notice = lambda *fields: noticed.append(fields)
    run = bench.backend.run
    for _ in range(2):
        bench.target.notice_received(Notice(7.5), run, NoticeSource.ANSWER)
    assert noticed == [(Notice(7.5), run, NoticeSource.ANSWER)]


def test_notice_of_an_earlier_run_is_ignored(bench):
    # Guards against a limit that a restarted backend server never stated.
    earlier = BackendRun(bench.backend.instance, born_ms=50)
    bench.target.notice_received(Notice(7.5), earlier, NoticeSource.ANSWER)
    assert bench.backend.statements.notice is None


def test_notice_ends_with_the_run(bench):
    # Guards against the limit of a backend server that has been replaced.
    run = bench.backend.run
    bench.target.notice_received(Notice(7.5), run, NoticeSource.ANSWER)
    bench.backend.health_checked(
        HealthResult(is_healthy=True, instance=InstanceId('i2')),
        Seconds(bench.clock.seconds()),
    )
    assert bench.backend.statements.notice is None


def test_quarantined_request_is_refused_unless_it_is_a_trial(bench):
    # Guards against sending a request that crashes backend servers for an
    # ingress node that does not know this, and against trials that are refused.
    now_ms = int(bench.clock.seconds() * 1000)
    bench.target.quarantine.ledger.merge(
        CrashRecord(BackendRun(InstanceId(f'i{number}')), now_ms, (LOOKUP,))
        for number in range(3)
    )
    bench.offer(1, fingerprint=LOOKUP)
    assert bench.port.refusals() == [Refusal.QUARANTINED]
    bench.offer(2, fingerprint=LOOKUP, is_trial=True)
    assert bench.running() == [2]
