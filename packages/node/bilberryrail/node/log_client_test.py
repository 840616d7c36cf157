"""Tests of the log client with scripted answers over loopback."""

import asyncio

import msgspec
import pytest
from twisted.internet import reactor

from bilberryrail.bench.raw_http import read_message
from bilberryrail.bench.shell_harness import free_ports, node_settings
from bilberryrail.control import messages
from bilberryrail.core.codec import encode_record
from bilberryrail.core.records import Leave, LogEntry, Unreadable
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.log_client import LogClient

LEAVE = Leave('r1', 'n1', 5)


class Recorder(EngineTask):
    """Records events instead of handling them."""

    def __init__(self):
        super().__init__(None, reactor)
        self.events = asyncio.Queue()

    def submit(self, event, payload=None):
        self.events.put_nowait(event)


def http_response(status, body):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def batch(*records, end=4):
    found = {'first': 3, 'end': end, 'records': records}
    return http_response(200, msgspec.msgpack.encode(found))


class RawLog:
    """A log service that answers every request with the same bytes."""

    def __init__(self, response):
        self.response = response
        self.requests = []

    async def serve(self, reader, writer):
        self.requests.append(await read_message(reader))
        if self.response is None:
            await asyncio.sleep(2)
        writer.write(self.response or b'')
        writer.close()


async def run_action(action, response):
    """Carry out one action with a log service that sends the given bytes."""
    log = RawLog(response)
    port = free_ports(1)[0]
    server = await asyncio.start_server(log.serve, '127.0.0.1', port)
    recorder = Recorder()
    client = LogClient(recorder, node_settings('n1', port).log)
    if isinstance(action, messages.ReadLog):
        client.read(action)
    else:
        client.append(action.record)
    event = await recorder.events.get()
    server.close()
    assert len(log.requests) == 1
    return event, log.requests[0]


async def test_read_keeps_the_offset_of_unreadable_records():
    """Guards against an unreadable record that blocks every reader.

    Without an entry at its offset, replay waited for that offset forever.
    """
    records = ((3, encode_record(LEAVE)), (4, b'\xc1'))
    event, request = await run_action(
        messages.ReadLog(3, wait=True), batch(*records)
    )
    entries = (LogEntry(3, LEAVE), LogEntry(4, Unreadable(b'\xc1')))
    assert event == messages.LogRead(entries, 4)
    assert request.path == (
        '/v1/streams/bilberryrail/records?start=3&limit=500&wait_ms=1000'
    )


async def test_expired_offset_is_reported():
    """Guards against continuing to read at records that have expired."""
    event, _ = await run_action(
        messages.ReadLog(3, wait=False), http_response(410, b'{"first":9}')
    )
    assert event == messages.LogExpired(9)


@pytest.mark.parametrize(
    'response',
    [
        http_response(500, b''),
        http_response(200, b'\xc1'),
        batch()[:-1],
        b'',
        None,
    ],
)
async def test_failed_read_is_reported(response):
    """Guards against a reader that waits forever after a lost answer."""
    event, _ = await run_action(messages.ReadLog(3, wait=False), response)
    assert isinstance(event, messages.LogUnavailable)


async def test_append_sends_the_record_unchanged():
    """Guards against a record that is changed before it reaches the log."""
    appended = http_response(201, b'{"offset": 8}')
    event, request = await run_action(messages.AppendRecord(LEAVE), appended)
    assert event == messages.AppendAcknowledged('r1', 8)
    assert request.body == encode_record(LEAVE)


@pytest.mark.parametrize('response', [http_response(500, b''), b'', None])
async def test_lost_append_is_uncertain_and_not_repeated(response):
    """Guards against appending a record twice after a lost answer."""
    event, _ = await run_action(messages.AppendRecord(LEAVE), response)
    assert isinstance(event, messages.AppendUncertain)
    assert event.record_id == 'r1'
