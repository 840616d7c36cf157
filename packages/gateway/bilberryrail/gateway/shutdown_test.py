"""Tests of the steps and times of a shutdown."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.shutdown import (
    ACCEPTING_S,
    FLUSH_S,
    KILL_MARGIN_S,
    MIN_SERVING_S,
    QUIET_S,
    STOP_MARGIN_S,
    Shutdown,
)

GRACE_S = 6.0


class Bench:
    """The shutdown of a fake process that the test makes busy or idle."""

    def __init__(self):
        self.clock = Clock()
        self.closed = []
        self.links_closed = []
        self.stopped = []
        self.changes = 0
        self.transport = SimpleNamespace(dataBuffer=b'')
        capacity = SimpleNamespace(leaving=False)
        self.process = SimpleNamespace(
            reactor=self.clock,
            log=SimpleNamespace(process=ignore),
            settings=SimpleNamespace(
                lifecycle=SimpleNamespace(grace_s=GRACE_S),
            ),
            target=SimpleNamespace(
                capacity=capacity,
                is_idle=True,
                in_flight={},
                process_queue=ignore,
            ),
            ingress=SimpleNamespace(is_idle=True, exchanges=set()),
            presence=SimpleNamespace(is_leaving=False),
            backend_changed=self.changed,
            membership=SimpleNamespace(own=None),
            follower=SimpleNamespace(stop=ignore),
            announcer=SimpleNamespace(announce=ignore, stop=ignore),
            client_server=SimpleNamespace(
                is_closing=False,
                start_closing=lambda: self.closed.append(self.now()),
                is_sending=False,
            ),
            frontend=SimpleNamespace(closing=None),
            links=SimpleNamespace(
                close=lambda: self.links_closed.append(self.now()),
                incoming={'n2': SimpleNamespace(transport=self.transport)},
                outgoing={},
            ),
        )
        self.shutdown = Shutdown(
            self.process,
            lambda: self.stopped.append(self.now()),
        )

    def changed(self):
        self.changes += 1

    def now(self):
        return self.clock.seconds()

    def wait(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)


@pytest.fixture
def bench():
    found = Bench()
    found.shutdown.begin()
    return found


def test_target_leaves_at_once_and_clients_are_still_served(bench):
    # Guards against new work at a target that shuts down, and against closing
    # the connections of clients that do not know about the shutdown yet.
    assert bench.process.target.capacity.leaving
    assert bench.process.presence.is_leaving
    assert bench.changes == 1
    assert bench.process.client_server.is_closing
    bench.wait(MIN_SERVING_S - 0.1)
    assert not bench.closed
    assert not bench.stopped


def test_frontend_gets_the_schedule_of_the_shutdown(bench):
    # Guards against accepting requests that are cut before they end, and
    # against refusing requests that can end in time: the front end decides by
    # route.
    closing = bench.process.frontend.closing
    assert closing.ends_at == pytest.approx(GRACE_S - STOP_MARGIN_S)
    assert closing.accepts_until == pytest.approx(ACCEPTING_S)


def test_idle_process_ends_before_the_grace_period_is_over(bench):
    # Guards against an idle process that runs until the platform kills it.
    bench.wait(GRACE_S - 1)
    assert bench.stopped
    assert bench.stopped[0] < GRACE_S - 1


def test_busy_process_serves_until_the_grace_period_is_over(bench):
    # Guards against a shutdown that cuts a request in flight.
    bench.process.ingress.is_idle = False
    bench.wait(GRACE_S - 0.5)
    assert not bench.stopped
    bench.wait(0.5)
    assert bench.stopped


def test_second_signal_changes_nothing(bench):
    # Guards against a second signal that restarts the grace period.
    bench.wait(2)
    bench.shutdown.begin()
    assert bench.changes == 1


def test_process_waits_for_the_work_of_other_nodes(bench):
    # Guards against cutting requests that other nodes have sent to the backend
    # server before the shutdown.
    bench.process.target.is_idle = False
    bench.wait(GRACE_S - STOP_MARGIN_S - 0.1)
    assert not bench.stopped
    bench.process.target.is_idle = True
    bench.wait(QUIET_S + FLUSH_S + 0.2)
    assert bench.stopped


@pytest.mark.parametrize(
    ('to_clients', 'to_nodes'), [(True, b''), (False, b'x')]
)
def test_process_waits_until_answers_are_sent(bench, to_clients, to_nodes):
    # Guards against answers on slow links that are cut although their request
    # has run: to a client (LOST, review/4), or to another node.
    bench.process.client_server.is_sending = to_clients
    bench.transport.dataBuffer = to_nodes
    bench.wait(GRACE_S - KILL_MARGIN_S - 0.1)
    assert not bench.stopped
    bench.wait(KILL_MARGIN_S + 0.1)
    assert bench.stopped


def test_process_ends_once_its_last_answers_are_sent(bench):
    # Guards against a process that runs on until the platform kills it.
    bench.process.client_server.is_sending = True
    bench.wait(GRACE_S - 2)
    bench.process.client_server.is_sending = False
    bench.wait(QUIET_S + FLUSH_S + 0.2)
    assert bench.stopped


def test_process_that_is_ending_accepts_no_request(bench):
    # Guards against a request that arrives within the last tenth of a second: it
    # was passed on to a backend server and its connection ended without an
    # answer (LOST).
    while not bench.links_closed:
        bench.wait(0.05)
    closing = bench.process.frontend.closing
    assert max(closing.accepts_until, closing.ends_at) <= bench.now()
    assert not bench.stopped


def test_process_ends_although_a_step_of_its_shutdown_fails(bench):
    # Guards against a process that runs until the platform kills it, because of
    # an unexpected error in its shutdown.
    close = bench.process.links.close

    def fail():
        bench.process.links.close = close
        raise OverflowError

    bench.process.links.close = fail
    bench.wait(GRACE_S - 1)
    assert bench.stopped
