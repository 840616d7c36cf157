"""Tests that the stand-in for the log answers as the real log does."""

import threading
import time
from http.client import HTTPException

import msgspec
import pytest

from bilberryrail.standins.endpoint import Endpoint
from bilberryrail.standins.log_streams import Expired, Stream
from bilberryrail.standins.processes import Children, free_ports

RECORDS = '/v1/streams/bilberryrail/records'


@pytest.fixture
def log(children: Children) -> Endpoint:
    port = free_ports(1)[0]
    module = 'bilberryrail.standins.log_service'
    child = children.start('log', module, '--port', f'{port}', '--retention=3')
    children.wait_until_listening(child, [port])
    return Endpoint(port)


def read(log: Endpoint, start: int, wait_ms: int = 0) -> dict:
    path = f'{RECORDS}?start={start}&limit=10&wait_ms={wait_ms}'
    status, body = log.send('GET', path)
    assert status == 200
    return msgspec.msgpack.decode(body)


def test_offsets_go_on_when_old_records_expire():
    """Guards against offsets that are used twice."""
    stream = Stream(retention=2)
    assert [stream.append(b'x') for _ in range(4)] == [0, 1, 2, 3]
    assert stream.read(1, 10) == Expired(first=2)
    assert stream.read(2, 1).records == ((2, b'x'),)
    assert stream.read(4, 10).records == ()
    assert Stream(retention=2).read(0, 10).end == -1


def test_read_from_an_expired_offset_gets_410(log: Endpoint):
    """Guards against readers that miss expired records without an error."""
    for number in range(4):
        assert log.json('POST', RECORDS, number) == {'offset': number}
    assert log.send('GET', f'{RECORDS}?start=0') == (410, b'{"first":1}')
    assert read(log, 3) == {'first': 1, 'end': 3, 'records': [[3, b'3']]}


def test_long_poll_returns_with_the_append(log: Endpoint):
    """Guards against long polls that answer only after their full wait."""
    append = threading.Timer(0.3, log.send, ('POST', RECORDS, b'new'))
    append.start()
    started_at = time.monotonic()
    page = read(log, 0, wait_ms=8000)
    append.join()
    assert page['records'] == [[0, b'new']]
    assert time.monotonic() - started_at < 4


def test_long_poll_without_append_ends_empty(log: Endpoint):
    """Guards against a long poll that never ends."""
    assert read(log, 0, wait_ms=100)['records'] == []


def test_lost_answer_keeps_the_record(log: Endpoint):
    """Guards against a fault that loses the record together with its answer."""
    log.json('POST', '/faults', {'lose_answers': 1})
    with pytest.raises((HTTPException, ConnectionError)):
        log.send('POST', RECORDS, b'kept')
    assert read(log, 0)['records'] == [[0, b'kept']]
    assert log.send('POST', RECORDS, b'next')[0] == 201


def test_fault_modes_take_effect(log: Endpoint):
    """Guards against fault modes without effect."""
    log.json('POST', '/faults', {'mode': 'down'})
    assert log.send('POST', RECORDS, b'x')[0] == 503
    assert log.send('GET', RECORDS)[0] == 503
    log.json('POST', '/faults', {'mode': 'slow', 'delay_ms': 300})
    started_at = time.monotonic()
    assert log.send('POST', RECORDS, b'x')[0] == 201
    elapsed_ms = (time.monotonic() - started_at) * 1000
    assert elapsed_ms > 290
    assert log.send('POST', '/faults', b'{"mode": "odd"}')[0] == 400
