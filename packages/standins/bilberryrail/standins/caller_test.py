"""Tests the stand-in for callers.

Callers must not cause a call to run twice and must notice every wrong answer.
"""

import itertools
import random
from types import SimpleNamespace

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred, fail
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import RequestTransmissionFailed, ResponseFailed

from bilberryrail.core.records import BackendLimits
from bilberryrail.standins.backend_model import BackendModel, BackendSettings
from bilberryrail.standins.caller_calls import Call, Caller, is_cut
from bilberryrail.standins.caller_http import (
    CallerHttp,
    Completed,
    NoAnswer,
    NotSent,
    Refused,
    Submission,
)
from bilberryrail.standins.caller_report import (
    CallResult,
    make_report,
    new_histogram,
)
from bilberryrail.standins.load_run import draw_arrivals
from bilberryrail.standins.load_settings import (
    LoadNode,
    LoadService,
    LoadSettings,
)

NODES = (
    LoadNode('http://node', 'ege'),
    LoadNode('http://other', 'karadeniz'),
)
LIMITS = BackendLimits(slots=4, connections=10)
NOT_RUN = Refused('not-run', 'overloaded', 0.2)
UNKNOWN = Refused('unknown', 'link-lost', 0.1)


def complete_answer(request: str = 'r1', region: str = 'ege') -> Completed:
    server = BackendModel(BackendSettings('b', region, 1, LIMITS), now=0)
    return Completed(200, msgspec.json.encode(server.answer(request)))


def reservation_answer(token: str) -> Completed:
    return Completed(200, msgspec.json.encode({'token': token}))


class ScriptedNode:
    """Returns prepared answers; records kind and token of each request."""

    def __init__(self, *script: Submission) -> None:
        self.script = list(script)
        self.requests: list[tuple[str, str | None]] = []
        self.urls: list[str] = []

    async def post(self, url, headers, body, deadline_s) -> Submission:
        self.urls.append(url)
        token = headers.get('Bilberryrail-Reservation')
        self.requests.append((url.rsplit('/', 1)[1], token))
        return self.script.pop(0)


def run(node: ScriptedNode, *, idempotent: bool) -> CallResult:
    clock = Clock()
    caller = Caller(NODES, clock, random.Random(2))
    caller.http = node
    call = Call('r1', 's', idempotent, 't', ('ege',), 1, 10)
    running = ensureDeferred(caller.run(call))
    clock.pump(itertools.repeat(0.01, 1500))
    return running.result


@pytest.mark.parametrize('loss', [UNKNOWN, NoAnswer('closed')])
def test_lost_answer_resubmits_the_same_token(loss: Submission):
    """Guards against a second execution under another token."""
    node = ScriptedNode(
        reservation_answer('t1'), loss, NOT_RUN, complete_answer()
    )
    assert run(node, idempotent=False).outcome == 'completed'
    assert node.requests == [
        ('reservations', None),
        ('calls', 't1'),
        ('calls', 't1'),
        ('calls', 't1'),
    ]


def test_submission_that_was_not_sent_on_allows_a_new_reservation():
    """Guards against a caller that keeps using the token of a drained node.

    A newly started ingress answers "unknown" without sending the submission to
    a target. The target's "not run" then covers the only submission that was
    sent, so that the caller can reserve at another target.
    """
    unsent = Refused('unknown', 'catching-up', 0.1)
    node = ScriptedNode(
        reservation_answer('t1'),
        unsent,
        NOT_RUN,
        reservation_answer('t2'),
        complete_answer(),
    )
    assert run(node, idempotent=False).outcome == 'completed'
    assert [token for _, token in node.requests] == [
        None,
        't1',
        't1',
        None,
        't2',
    ]


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        (NoAnswer('broken'), True),
        (UNKNOWN, True),
        (Refused('unknown', 'backend-server-failed', 0), True),
        (Refused('unknown', 'draining', 0), False),
        (Refused('unknown', 'catching-up', 0), False),
        (NOT_RUN, False),
    ],
)
def test_refusals_before_sending_do_not_count_as_cut(answer, expected):
    """Guards against refusals that are counted as interrupted calls."""
    assert is_cut(answer) is expected


def test_not_run_allows_a_new_reservation():
    """Guards against a booking that stays with a draining target."""
    node = ScriptedNode(
        reservation_answer('t1'),
        NotSent('refused'),
        NOT_RUN,
        reservation_answer('t2'),
        complete_answer(),
    )
    call = run(node, idempotent=False)
    assert (call.outcome, call.wrong) == ('completed', False)
    assert [token for _, token in node.requests] == [
        None,
        't1',
        't1',
        None,
        't2',
    ]


def test_call_that_is_always_refused_ends_with_that_outcome():
    """Guards against refused calls that are counted as lost."""
    node = ScriptedNode(*itertools.repeat(NOT_RUN, 60))
    call = run(node, idempotent=True)
    assert (call.outcome, call.may_have_run) == ('not-run', False)
    assert 45 <= len(node.requests) <= 50


@pytest.mark.parametrize(
    'answer',
    [
        complete_answer('r2'),
        complete_answer(region='karadeniz'),
        Completed(200, complete_answer().body[:-5]),
        Completed(
            200,
            complete_answer().body.replace(b'"payload":"r', b'"payload":"x'),
        ),
    ],
)
def test_wrong_answers_are_detected(answer: Completed):
    """Guards against undetected wrong answers.

    These belong to another request, come from a region that is not allowed,
    are truncated, or have a changed payload.
    """
    assert run(ScriptedNode(answer), idempotent=True).wrong


def test_callers_use_only_nodes_in_their_home_regions():
    """Guards against calls that nodes have to refuse as invalid."""
    node = ScriptedNode(*itertools.repeat(NOT_RUN, 60))
    run(node, idempotent=True)
    assert {url.split('/')[2] for url in node.urls} == {'node'}


def test_report_compares_with_executions():
    """Guards against lost, doubled or false results that are not counted."""
    calls = (
        CallResult('fine', False, 'completed', may_have_run=True),
        CallResult('doubled', False, 'completed', may_have_run=True),
        CallResult('lookup', True, 'completed', may_have_run=True),
        CallResult('missing', True, 'completed', may_have_run=True),
        CallResult('untrue', False, 'not-run'),
        CallResult('true', False, 'not-run'),
        CallResult('lost', False, 'lost', may_have_run=True),
    )
    executions = {'fine': 1, 'doubled': 2, 'lookup': 2, 'untrue': 1}
    report = make_report(calls, executions, new_histogram(), {})
    assert (report.lost, report.missing, report.doubled) == (1, 1, 1)
    assert (report.false_not_run, report.refused, report.calls) == (1, 2, 7)
    assert report.has_violations
    clean = make_report(calls[:1], executions, new_histogram(), {})
    assert not clean.has_violations
    refused = (CallResult('refused', True, 'invalid'),)
    assert make_report(refused, {}, new_histogram(), {}).has_violations


def test_arrivals_are_seeded():
    """Guards against loads that cannot be reproduced from their seed."""
    settings = LoadSettings(
        nodes=(),
        backends=(),
        services=(LoadService('a', True), LoadService('b', False)),
        tenants={'t': ()},
        seconds=50,
        rate=20,
    )
    first = list(draw_arrivals(settings, random.Random(7)))
    assert first == list(draw_arrivals(settings, random.Random(7)))
    assert 800 < len(first) < 1200
    assert len({call.request for _, call in first}) == len(first)


@pytest.mark.parametrize('error', [RequestTransmissionFailed, ResponseFailed])
def test_connection_that_ends_while_it_is_used_gives_no_answer(error):
    # Guards against a load process that ends because a node is killed while a
    # request is being sent to it.
    http = CallerHttp(Clock())
    reasons = [Failure(ConnectionLost())]
    http.client = SimpleNamespace(
        post=lambda *_, **kwargs: fail(error(reasons))
    )
    posting = ensureDeferred(http.post('http://node', {}, b'', 1))
    assert posting.result == NoAnswer(error.__name__)
