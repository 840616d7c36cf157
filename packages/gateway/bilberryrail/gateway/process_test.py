"""Tests of the connections between the parts of a process."""

from types import SimpleNamespace

import pytest

from bilberryrail.core.ids import NodeId, Seconds
from bilberryrail.forwarding.backend_test import heartbeat
from bilberryrail.forwarding.fixtures_test import (
    BOARD,
    RULES,
    SETTINGS,
    forward,
)
from bilberryrail.forwarding.load_report import Notice, NoticeSource
from bilberryrail.forwarding.messages import OperatorSnapshot
from bilberryrail.forwarding.records import (
    BackendPhase,
    ClientLimits,
    ConfigVersion,
    TrafficConfig,
)
from bilberryrail.forwarding.work_queue import Origin, Work
from bilberryrail.gateway.backend_pool import MAX_BUFFERED_BYTES
from bilberryrail.gateway.backend_pool_test import FakeDialect, FakeReactor
from bilberryrail.gateway.http_server_test import ignore
from bilberryrail.gateway.process import GatewayProcess
from bilberryrail.gateway.settings import GatewaySettings, ListenSettings


@pytest.fixture
def process(tmp_path):
    address = '127.0.0.1:1'
    settings = GatewaySettings(
        forwarding=SETTINGS,
        listen=ListenSettings(*(address for _ in range(5))),
        service=BOARD,
        backend=address,
        store=address,
    )
    return GatewayProcess(
        settings,
        tmp_path / 'node.json',
        FakeReactor(),
        FakeDialect(),
        lambda *_: None,
        SimpleNamespace(process=ignore, request=ignore),
        ignore,
    )


def test_paused_request_starts_a_health_check(process):
    # Guards against a target role that is not connected to the health checker:
    # paused requests waited for a health check that was never started.
    process.backend.rules = RULES
    message = forward(1)
    origin = Origin(NodeId('n2'), message.attempt)
    work = Work(1, origin, message, Seconds(0), Seconds(1))
    process.target.paused.add(work)
    assert process.health.is_running


def test_departure_stated_in_an_answer_is_announced_and_stored(process):
    # Guards against a departure that only the node beside the backend server
    # knows, and that its restart forgets (issue 23).
    stored = []
    process.presence.store_announcement = lambda: stored.append('stored')
    process.backend.heartbeat_received(heartbeat(), Seconds(1))
    process.backend_changed()
    process.target.notice_received(
        Notice(is_leaving=True), process.backend.run, NoticeSource.ANSWER
    )
    assert process.membership.own.phase is BackendPhase.DRAINING
    assert stored == ['stored']


def test_limits_for_clients_do_not_apply_to_answers(process):
    # Guards against answers that are rejected because operators limit what
    # clients may send.
    limits = ClientLimits(body_bytes=100)
    config = TrafficConfig(ConfigVersion(1), (), {BOARD: RULES}, limits)
    process.operators.replace(OperatorSnapshot(1, config, ()))
    process.links.events.on_operators()
    assert process.client_server.limits.body_bytes == 100
    assert process.pool.max_body_bytes == MAX_BUFFERED_BYTES
