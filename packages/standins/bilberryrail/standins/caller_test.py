"""Guards the callers: they must neither double calls nor overlook faults."""

import itertools
import random

import msgspec
import pytest
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from bilberryrail.core.records import BackendLimits
from bilberryrail.standins.backend_model import BackendModel, BackendSettings
from bilberryrail.standins.caller_calls import Call, Caller, is_cut
from bilberryrail.standins.caller_http import (
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
from bilberryrail.standins.load_run import arrivals
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


def whole(request: str = 'r1', region: str = 'ege') -> Completed:
    server = BackendModel(BackendSettings('b', region, 1, LIMITS), now=0)
    return Completed(200, msgspec.json.encode(server.answer(request)))


def granted(token: str) -> Completed:
    return Completed(200, msgspec.json.encode({'token': token}))


class ScriptedNode:
    """Answers from a list and records kind and token of each request."""

    def __init__(self, *script: Submission) -> None:
        self.script = list(script)
        self.seen: list[tuple[str, str | None]] = []
        self.urls: list[str] = []

    async def post(self, url, headers, body, deadline_s) -> Submission:
        self.urls.append(url)
        token = headers.get('Bilberryrail-Reservation')
        self.seen.append((url.rsplit('/', 1)[1], token))
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
    """Guards against a second token for a call that may have run."""
    node = ScriptedNode(granted('t1'), loss, NOT_RUN, whole())
    assert run(node, idempotent=False).outcome == 'completed'
    assert node.seen == [
        ('reservations', None),
        ('calls', 't1'),
        ('calls', 't1'),
        ('calls', 't1'),
    ]


def test_submission_sent_to_nobody_allows_a_new_reservation():
    """Guards against a caller that clings to the token of a drained node.

    A fresh ingress said "unknown" without asking anybody; the target's "not
    run" then holds for the only submission there was.
    """
    unsent = Refused('unknown', 'catching-up', 0.1)
    node = ScriptedNode(
        granted('t1'),
        unsent,
        NOT_RUN,
        granted('t2'),
        whole(),
    )
    assert run(node, idempotent=False).outcome == 'completed'
    assert [token for _, token in node.seen] == [None, 't1', 't1', None, 't2']


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
def test_cut_calls_are_told_from_refused_ones(answer, expected):
    """A refusal before anything was sent interrupts nothing."""
    assert is_cut(answer) is expected


def test_not_run_allows_a_new_reservation():
    """Guards against a booking stuck at a target that drains."""
    node = ScriptedNode(
        granted('t1'),
        NotSent('refused'),
        NOT_RUN,
        granted('t2'),
        whole(),
    )
    call = run(node, idempotent=False)
    assert (call.outcome, call.wrong) == ('completed', False)
    assert [token for _, token in node.seen] == [None, 't1', 't1', None, 't2']


def test_patience_ends_with_the_last_outcome():
    """Guards against refusals that are counted as lost."""
    node = ScriptedNode(*itertools.repeat(NOT_RUN, 60))
    call = run(node, idempotent=True)
    assert (call.outcome, call.may_have_run) == ('not-run', False)
    assert 45 <= len(node.seen) <= 50


@pytest.mark.parametrize(
    'answer',
    [
        whole('r2'),
        whole(region='karadeniz'),
        Completed(200, whole().body[:-5]),
        Completed(200, whole().body.replace(b'"payload":"r', b'"payload":"x')),
    ],
)
def test_wrong_answers_are_noticed(answer: Completed):
    """Guards against crossed, foreign, truncated and damaged answers."""
    assert run(ScriptedNode(answer), idempotent=True).wrong


def test_callers_stay_in_their_home_regions():
    """Guards against loads whose calls must be refused as invalid."""
    node = ScriptedNode(*itertools.repeat(NOT_RUN, 60))
    run(node, idempotent=True)
    assert {url.split('/')[2] for url in node.urls} == {'node'}


def test_report_compares_with_executions():
    """Guards against lost, doubled or untrue results that go uncounted."""
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
    """Guards against loads that cannot be repeated."""
    settings = LoadSettings(
        nodes=(),
        backends=(),
        services=(LoadService('a', True), LoadService('b', False)),
        tenants={'t': ()},
        seconds=50,
        rate=20,
    )
    first = list(arrivals(settings, random.Random(7)))
    assert first == list(arrivals(settings, random.Random(7)))
    assert 800 < len(first) < 1200
    assert len({call.request for _, call in first}) == len(first)
