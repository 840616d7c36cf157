"""Tests of tasks that go on after an unexpected error."""

from itertools import repeat

import pytest
from twisted.internet.task import Clock

from bilberryrail.gateway.tasks import RESTART_S, PeriodicTask, Supervisor


class UnexpectedError(Exception):
    """An error that the task does not expect."""


class Bench:
    """Counts the calls of a function that fails in all but the last one."""

    def __init__(self):
        self.clock = Clock()
        self.calls = 0
        self.events = []

    def log(self, event, **fields):
        self.events.append(event)

    def work(self):
        self.calls += 1
        if self.calls < 3:
            raise UnexpectedError

    async def run(self):
        self.work()


@pytest.fixture
def bench():
    return Bench()


def test_task_starts_again_after_an_unexpected_error(bench):
    # Guards against a task that ends for good: a node stopped following the
    # operators after one record that could not be decoded.
    task = Supervisor(bench.clock, bench.run, bench.log)
    task.start()
    for _ in range(5):
        bench.clock.advance(RESTART_S)
    assert bench.calls == 3
    assert bench.events == ['task_failed', 'task_failed']


def test_stopped_task_does_not_start_again(bench):
    # Guards against calls of a process that has been stopped.
    task = Supervisor(bench.clock, bench.run, bench.log)
    task.start()
    task.stop()
    bench.clock.advance(RESTART_S)
    assert bench.calls == 1


def test_periodic_task_goes_on_after_an_unexpected_error(bench):
    # Guards against checks of links and connections that end with one error.
    task = PeriodicTask(bench.clock, 1.0, bench.work, bench.log)
    task.start()
    bench.clock.pump(repeat(1.0, 4))
    assert bench.calls == 4
    assert bench.events == ['task_failed', 'task_failed']
    task.stop()
    bench.clock.advance(1.0)
    assert bench.calls == 4
