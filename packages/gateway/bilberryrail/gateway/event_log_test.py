"""Tests that the log is rate-limited and never blocks."""

import os

import pytest
from twisted.internet.task import Clock

from bilberryrail.gateway.event_log import MAX_BURST_LINES, EventLog


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_line_has_its_fields(pipe):
    # Guards against lines that cannot be searched by request.
    log = EventLog(pipe[1], Clock(), 'n1')
    log.request('send', request='q 1', target='n2')
    line = os.read(pipe[0], 1000).decode()
    assert 'node=n1 event=send request="q 1" target=n2\n' in line


def test_lines_about_requests_are_rate_limited(pipe):
    # Guards against a log that grows with the load.
    clock = Clock()
    log = EventLog(pipe[1], clock, 'n1')
    for _ in range(int(MAX_BURST_LINES) + 50):
        dropped = log.dropped
        log.request('send')
        if log.dropped == dropped:
            os.read(pipe[0], 1000)
    assert log.dropped == 50
    clock.advance(6)
    log.request('send')
    assert 'event=log_lines_dropped lines=50' in os.read(pipe[0], 1000).decode()


def test_full_pipe_does_not_block(pipe):
    # Guards against a process that waits for the reader of its log.
    log = EventLog(pipe[1], Clock(), 'n1')
    for _ in range(3000):
        log.process('event', text='x' * 100)
    assert log.dropped > 0
