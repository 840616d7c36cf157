"""Tests of heartbeats, departures and readiness checks."""

from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.fixtures_test import BOARD, RULES, SETTINGS
from bilberryrail.forwarding.load_report import Heartbeat
from bilberryrail.forwarding.operators import ConfigRecord, OperatorState
from bilberryrail.forwarding.records import (
    BackendPhase,
    ConfigVersion,
    HttpRequest,
    InstanceId,
    TrafficConfig,
)
from bilberryrail.gateway.control import (
    DEPARTURE_WAIT_S,
    MAX_LOCAL_BODY_BYTES,
    ControlService,
    ReadyService,
    local_server,
)
from bilberryrail.gateway.dialect import Departure
from bilberryrail.gateway.http_server_test import FakeTransport, ignore
from bilberryrail.gateway.presence import wall_ms

ADDRESS = '10.0.0.1:80'
START = b'PUT /i1 HTTP/1.1\r\nHost: a\r\n'
REQUEST = HttpRequest(b'PUT', b'/i1', (), b'')


class FakeDialect:
    """Returns the announcement that the test has set."""

    def __init__(self):
        self.found = None

    def announcement(self, request):
        return self.found

    def is_readiness_check(self, request):
        return request.target == b'/ready'


class FakeOwner:
    """The part of the process that the services use."""

    def __init__(self):
        self.reactor = Clock()
        self.reactor.advance(10)
        self.dialect = FakeDialect()
        self.backend = Backend(SETTINGS.admission)
        self.backend.rules = RULES
        self.operators = OperatorState()
        self.settings = SimpleNamespace(backend=ADDRESS)
        self.log = SimpleNamespace(process=ignore)
        self.is_ready = False
        self.stored = None

    def backend_changed(self):
        return self.stored

    def announce(self, found):
        self.dialect.found = found
        answers = []
        ControlService(self).serve(REQUEST, '', answers.append)
        return [int(answer.status) for answer in answers]


@pytest.fixture
def owner():
    return FakeOwner()


def heartbeat(**fields):
    terms = {
        'instance': InstanceId('i1'),
        'service': BOARD,
        'address': ADDRESS,
        'phase': BackendPhase.READY,
        'slots': 10,
        'born_ms': 100,
        'sequence': 1,
    }
    return Heartbeat(**(terms | fields))


def test_heartbeat_is_acknowledged_and_used(owner):
    # Guards against a backend server that gets no acknowledgement.
    assert owner.announce(heartbeat()) == [200]
    assert owner.backend.is_usable(10)


def test_old_heartbeat_is_acknowledged_and_not_used(owner):
    # Guards against repetitions of a heartbeat that will never be applied.
    owner.announce(heartbeat(born_ms=200))
    assert owner.announce(heartbeat(instance=InstanceId('i0'))) == [200]
    assert owner.backend.instance == 'i1'


def test_heartbeat_of_another_address_is_rejected(owner):
    # Guards against another process that replaces this node's backend server.
    assert owner.announce(heartbeat(address='10.0.0.2:80')) == [400]
    assert owner.backend.instance is None


def test_heartbeat_of_an_unknown_service_is_rejected(owner):
    # Guards against serving a service that is not in the configuration.
    config = TrafficConfig(ConfigVersion(1), (), {BOARD: RULES})
    owner.operators.apply(ConfigRecord(1, config))
    stranger = heartbeat(service=ServiceId('stranger'))
    assert owner.announce(stranger) == [400]
    assert owner.announce(heartbeat()) == [200]


def test_invalid_announcement_changes_nothing(owner):
    # Guards against invalid bytes that stop the use of a backend server.
    owner.announce(heartbeat())
    assert owner.announce(None) == [400]
    assert owner.backend.is_usable(10)


def test_departure_is_applied_before_it_is_acknowledged(owner):
    # Guards against new requests after the acknowledgement.
    owner.announce(heartbeat())
    owner.stored = Deferred()
    assert not owner.announce(Departure(InstanceId('i1')))
    assert not owner.backend.is_usable(10)


def test_departure_is_acknowledged_once_when_it_is_stored(owner):
    # Guards against an acknowledged departure that a restart forgets.
    owner.stored = Deferred()
    owner.dialect.found = Departure(InstanceId('i1'))
    answers = []
    ControlService(owner).serve(REQUEST, '', answers.append)
    owner.stored.callback(True)
    owner.reactor.advance(DEPARTURE_WAIT_S * 2)
    assert len(answers) == 1


def test_departure_is_acknowledged_without_the_store(owner):
    # Guards against backend servers that wait for ever while the store is
    # unreachable.
    owner.stored = Deferred()
    owner.dialect.found = Departure(InstanceId('i1'))
    answers = []
    ControlService(owner).serve(REQUEST, '', answers.append)
    owner.reactor.advance(DEPARTURE_WAIT_S)
    owner.stored.callback(True)
    assert len(answers) == 1


@pytest.mark.parametrize(
    ('is_ready', 'target', 'status'),
    [(True, b'/ready', 200), (False, b'/ready', 503), (True, b'/x', 404)],
)
def test_readiness_check(owner, is_ready, target, status):
    # Guards against sending clients to a node that has no configuration.
    owner.is_ready = is_ready
    answers = []
    question = HttpRequest(b'GET', target, (), b'')
    ReadyService(owner).serve(question, '', answers.append)
    assert [int(answer.status) for answer in answers] == [status]


def test_heartbeat_of_a_run_that_starts_in_the_future_is_rejected(owner):
    # Guards against a malformed heartbeat that makes all later ones look old.
    later_ms = wall_ms() + 2 * MAX_CLOCK_LEAD_MS
    assert owner.announce(heartbeat(born_ms=later_ms)) == [400]
    assert owner.announce(heartbeat()) == [200]
    assert owner.backend.instance == 'i1'


@pytest.mark.parametrize(
    'head',
    [b'Content-Length: 9000000\r\n\r\n', b'Transfer-Encoding: chunked\r\n\r\n'],
)
def test_announcement_without_end_is_rejected(owner, head):
    # Guards against a faulty backend server that takes its node over its memory
    # with the body of an announcement (issue 42, LOST).
    server = local_server(owner.reactor, ControlService(owner), ignore)
    connection = server.buildProtocol(None)
    connection.makeConnection(FakeTransport())
    connection.dataReceived(b'%b%b' % (START, head))
    chunk = b'1000\r\n%b\r\n' % bytes(4096)
    for _ in range(100):
        connection.dataReceived(chunk)
    assert b'HTTP/1.1 413' in connection.transport.value()
    assert server.budget.large.held + server.budget.small.held == 0


def test_usual_announcement_is_accepted(owner):
    # Guards against limits below the size of an announcement.
    server = local_server(owner.reactor, ControlService(owner), ignore)
    connection = server.buildProtocol(None)
    connection.makeConnection(FakeTransport())
    owner.dialect.found = Departure(InstanceId('i1'))
    body = bytes(MAX_LOCAL_BODY_BYTES - 1)
    connection.dataReceived(START)
    connection.dataReceived(b'Content-Length: %d\r\n\r\n' % len(body))
    connection.dataReceived(body)
    assert b'HTTP/1.1 200' in connection.transport.value()
