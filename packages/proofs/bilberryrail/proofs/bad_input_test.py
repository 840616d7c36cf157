"""Tests of invalid tokens and intents on real engines."""

import base64
import random

import pytest
from result import Err

from bilberryrail.control.intents import parse_intent
from bilberryrail.control.planning import plan
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import Verdict
from bilberryrail.proofs import faults, trace
from bilberryrail.proofs.jobs import Job
from bilberryrail.proofs.operators import Operator
from bilberryrail.proofs.scenario import Scenario

BOOKINGS = 'bookings'
CLUB = 'clubs'
DARKHAN = 'darkhan'


@pytest.fixture
def scenario():
    return Scenario()


def issue(scenario, tenant=CLUB, service=BOOKINGS):
    node = scenario.node(BOOKINGS, 'da1')
    table = node.engine.parts.target.reservations
    return table.issue(service, tenant, scenario.world.scheduler.now)


def ends(scenario, token, run_for_s=1.5):
    """Submit a booking with a token; return how its first submission ended."""
    callers = scenario.callers
    job = Job(len(callers.jobs) + 1, BOOKINGS, CLUB, DARKHAN, False)
    callers.jobs.append(job)
    number = callers.submit(job, token).number
    callers.without_timeout.add(number)
    scenario.run(run_for_s)
    return [
        (note.outcome, note.reason)
        for note in scenario.world.recorder.notes
        if isinstance(note, trace.SubmissionEnded) and note.submission == number
    ]


def has_run(scenario, token):
    tokens = {
        number: submission.token
        for number, submission in scenario.world.submissions.items()
    }
    return any(
        tokens[note.submission] == token
        for note in scenario.world.recorder.notes
        if isinstance(note, trace.Executed)
    )


def test_changed_tokens_run_nothing(scenario):
    """Guards against a token that is accepted after a bit was changed."""
    rng = random.Random(7)
    valid = issue(scenario)
    raw = base64.urlsafe_b64decode(valid + '=' * (-len(valid) % 4))
    for _ in range(30):
        changed = bytearray(raw)
        changed[rng.randrange(len(raw))] ^= 1 << rng.randrange(8)
        token = base64.urlsafe_b64encode(changed).decode().rstrip('=')
        ended = ends(scenario, token, 0.07)
        assert len(ended) == 1
        assert ended[0][0] in {Outcome.INVALID, Outcome.UNKNOWN}
        assert not has_run(scenario, token)
    assert ends(scenario, valid) == [(Outcome.COMPLETED, None)]
    assert not scenario.violations()


@pytest.mark.parametrize(
    'token', ['', '.', 'x' * 2000, '\u20ac', 'AAAA====', '0']
)
def test_malformed_tokens_are_invalid(scenario, token):
    """Guards against an engine that fails on text that is not a token."""
    invalid = (Outcome.INVALID, Reason.RESERVATION_INVALID)
    assert ends(scenario, token) == [invalid]
    assert not has_run(scenario, token)


@pytest.mark.parametrize(
    'wrong', [{'tenant': 'home-club'}, {'service': 'court-status'}]
)
def test_foreign_tokens_run_nothing(scenario, wrong):
    """Guards against tokens of another tenant or another service."""
    token = issue(scenario, **wrong)
    assert [end[0] for end in ends(scenario, token)] == [Outcome.INVALID]
    assert not has_run(scenario, token)


def test_token_of_an_earlier_incarnation_is_unknown(scenario):
    """Guards against "not run", or a run, for a token of a killed process."""
    token = issue(scenario)
    node = scenario.node(BOOKINGS, 'da1')
    faults.kill(scenario.world, node)
    faults.restart(scenario.world, node)
    scenario.run(1)
    ended = ends(scenario, token)
    assert ended == [(Outcome.UNKNOWN, Reason.OTHER_INCARNATION)]
    assert not has_run(scenario, token)


def test_expired_token_is_never_run(scenario):
    """Guards against an expired token that runs late."""
    token = issue(scenario)
    scenario.run(3.5)
    ended = ends(scenario, token)
    assert [end[1] for end in ended] == [Reason.RESERVATION_EXPIRED]
    assert not has_run(scenario, token)


@pytest.mark.parametrize(
    'intent',
    [
        b'{"zones_out": ["ub2"], "zones_in": ["ub2"]}',
        b'{"zones_out": ["ub2", "ub2"]}',
        b'{"zones_out": ["ub9"]}',
        b'{"zones": [{"zone": "ub3", "region": ""}]}',
        b'{"tenants": [{"tenant": "t", "home_regions": ["atlantis"]}]}',
        b'{"zones": [{"zone": "ub2", "region": "darkhan"}]}',
        b'{"services": [{"service": "s", "idempotent": true, '
        b'"regions": ["atlantis"], "limits": {"slots": 1, '
        b'"connections": 1}}]}',
        b'\xff',
        b'[]',
    ],
)
def test_contradicting_intents_change_nothing(scenario, intent):
    """Guards against plans from unknown names or contradicting changes."""
    state = scenario.node(BOOKINGS).engine.plane.state
    parsed = parse_intent(intent)
    found = (
        parsed
        if isinstance(parsed, Err)
        else plan(state, parsed.ok_value, 'r1')
    )
    assert isinstance(found, Err)
    operator = Operator(scenario.world, 'first')
    operator.change(scenario.node(BOOKINGS), intent)
    scenario.run(1)
    assert operator.verdict is None


def test_contradicting_operators_get_one_verdict_each(scenario):
    """Guards against two conflicting changes that are both accepted."""
    world = scenario.world
    pair = (Operator(world, 'first'), Operator(world, 'second'))
    nodes = world.live()
    pair[0].change(nodes[0], b'{"zones_out": ["ub2"]}')
    pair[1].change(nodes[1], b'{"zones_out": ["ub1"]}')
    scenario.run(3)
    verdicts = {operator.verdict for operator in pair}
    assert verdicts == {Verdict.ACCEPTED, Verdict.REJECTED}
    for node in world.live():
        outcomes = node.engine.plane.state.outcomes
        assert outcomes == world.reference.outcomes
