"""Guards the operator command line against wrong output and exit codes."""

import json
import pathlib
import subprocess
import sys
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

#: Address on which nothing listens.
UNREACHABLE = '127.0.0.1:1'


def plan_json(sufficient: bool = True) -> dict:
    capacity = {
        'service': 'bookings',
        'slots_before': 40,
        'slots_after': 30,
        'expected_concurrency': 15 if sufficient else 33,
        'share': 0.5 if sufficient else 1.1,
        'sufficient': sufficient,
    }
    return {
        'record_id': 'c-1',
        'base_offset': 7,
        'edits': [{'kind': 'availability-zone', 'body': {'zone': 'ub2'}}],
        'summary': ['availability zone ub2 is taken out'],
        'capacity': [capacity],
        'new_work_stops_within_s': 3,
        'in_force_within_s': 12,
    }


def zone_json(lowest: int = 8, age_s: float = 0.5) -> dict:
    return {
        'region': 'ulaanbaatar',
        'lowest': lowest,
        'nodes': 4,
        'expected': 4,
        'age_s': age_s,
        'out': False,
    }


@dataclass
class FakeEndpoint:
    """A fake operator endpoint: its answers and the requests it received.

    Attributes
    ----------
    lose_confirmations
        Number of confirmations whose answer is lost.
    """

    port: int = 0
    plan: dict = field(default_factory=plan_json)
    verdict: dict = field(
        default_factory=lambda: {
            'verdict': 'accepted',
            'offset': 8,
            'reason': '',
        },
    )
    zones: dict = field(default_factory=lambda: {'ub1': zone_json()})
    regions: dict = field(
        default_factory=lambda: {'ulaanbaatar': {'heard_s_ago': 0}},
    )
    lose_confirmations: int = 0
    confirmed: list[dict] = field(default_factory=list)
    intents: list[dict] = field(default_factory=list)

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self.port}'

    def answer(self, path: str, body: bytes) -> tuple[int, dict] | None:
        match path.removeprefix('/v1/operator/').split('/'):
            case ['plan']:
                self.intents.append(json.loads(body))
                if 'zones_out' not in self.intents[-1]:
                    return 400, {'error': 'is not known', 'field': 'zone'}
                return 200, self.plan
            case ['confirm']:
                self.confirmed.append(json.loads(body))
                if len(self.confirmed) <= self.lose_confirmations:
                    return None
                return 202, {'record_id': self.confirmed[-1]['record_id']}
            case ['changes', 'c-1']:
                return 200, self.verdict
            case ['status']:
                return 200, {
                    'node': 'n1',
                    'applied': 8,
                    'log': 'up',
                    'zones': self.zones,
                    'regions': self.regions,
                }
        return 404, {'error': f'no path {path}', 'field': None}


class FakeEndpointHandler(BaseHTTPRequestHandler):
    """Answers HTTP requests as the ``FakeEndpoint`` of the server says."""

    def do_POST(self) -> None:
        size = int(self.headers.get('Content-Length') or 0)
        answer = self.server.endpoint.answer(self.path, self.rfile.read(size))
        if answer is None:
            return
        status, body = answer
        encoded = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)

    def do_GET(self) -> None:
        self.do_POST()

    def log_message(self, *arguments: object) -> None:
        """Write nothing."""


@pytest.fixture
def endpoint() -> Iterator[FakeEndpoint]:
    with ThreadingHTTPServer(('127.0.0.1', 0), FakeEndpointHandler) as server:
        server.endpoint = FakeEndpoint(server.server_port)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield server.endpoint
        server.shutdown()
        thread.join()


@pytest.fixture
def plan_file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'plan.json'
    path.write_text(json.dumps(plan_json()))
    return path


def run_command(
    *words: object,
    node: str,
    typed: str = '',
) -> subprocess.CompletedProcess:
    arguments = [str(word) for word in words]
    module = [sys.executable, '-m', 'bilberryrail.cli']
    return subprocess.run(
        [*module, *arguments, '--node', node],
        input=typed,
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_plan_is_printed_and_written_to_file(
    endpoint: FakeEndpoint,
    tmp_path: pathlib.Path,
):
    """Guards against a plan file that lacks fields of the received plan."""
    intent, out = tmp_path / 'intent.json', tmp_path / 'plan.json'
    intent.write_text('{"zones_out": ["ub2"]}')
    done = run_command('plan', intent, '--out', out, node=endpoint.address)
    assert done.returncode == 0, done.stderr
    assert 'ub2 is taken out' in done.stdout
    assert 'new work stops within 3 s' in done.stdout
    assert '40 -> 30 slots' in done.stdout
    assert '(50% in use): sufficient' in done.stdout
    assert json.loads(out.read_text()) == plan_json()
    assert not endpoint.confirmed


def test_confirm_prints_lowest_applied_offsets(
    endpoint: FakeEndpoint,
    plan_file: pathlib.Path,
):
    """Guards against "In force" without the offsets that show it."""
    done = run_command('confirm', plan_file, node=endpoint.address)
    assert done.returncode == 0, done.stderr
    assert 'Accepted at offset 8' in done.stdout
    assert 'ub1 (ulaanbaatar): lowest applied offset 8' in done.stdout
    assert 'In force in every availability zone' in done.stdout
    assert endpoint.confirmed == [plan_json()]


def test_confirmation_is_safe_to_repeat_after_a_lost_answer(
    endpoint: FakeEndpoint,
    plan_file: pathlib.Path,
):
    """Guards against a lost answer that is reported as a rejection.

    The change may have been accepted, so the message says that confirming
    again is safe, and the second confirmation has the same record id.
    """
    endpoint.lose_confirmations = 1
    lost = run_command('confirm', plan_file, node=endpoint.address)
    assert lost.returncode == 3
    assert 'again is safe' in lost.stderr
    again = run_command('confirm', plan_file, node=endpoint.address)
    assert again.returncode == 0
    ids = [confirmed['record_id'] for confirmed in endpoint.confirmed]
    assert ids == ['c-1', 'c-1']


def test_reason_of_a_rejected_change_is_printed(
    endpoint: FakeEndpoint,
    plan_file: pathlib.Path,
):
    """Guards against a rejected change that looks accepted."""
    reason = 'scope availability-zones changed at offset 7'
    endpoint.verdict = {'verdict': 'rejected', 'offset': 8, 'reason': reason}
    done = run_command('confirm', plan_file, node=endpoint.address)
    assert done.returncode == 1
    assert reason in done.stderr


def test_region_without_reports_is_named(
    endpoint: FakeEndpoint,
    plan_file: pathlib.Path,
):
    """Guards against "In force" while a region has not applied the change."""
    endpoint.zones['dk1'] = zone_json(lowest=6, age_s=40)
    endpoint.regions['darkhan'] = {'heard_s_ago': 40}
    done = run_command(
        'confirm', plan_file, '--wait', '1', node=endpoint.address
    )
    assert done.returncode == 4
    assert 'region darkhan was last heard from 40 s ago' in done.stdout
    assert 'availability zone dk1 was not heard from' in done.stdout


def test_wait_for_a_pending_verdict_ends_in_time(
    endpoint: FakeEndpoint,
    plan_file: pathlib.Path,
):
    """Guards against a command that hangs while the log is unavailable."""
    endpoint.verdict = {'verdict': 'pending', 'offset': None, 'reason': None}
    done = run_command(
        'confirm', plan_file, '--wait', '1', node=endpoint.address
    )
    assert done.returncode == 4
    assert 'again is safe' in done.stderr


def test_overload_must_be_accepted_by_an_option(endpoint: FakeEndpoint):
    """Guards against a plan with too little capacity that is confirmed."""
    endpoint.plan = plan_json(sufficient=False)
    words = ('zone', 'out', 'ub2', '--yes')
    refused = run_command(*words, node=endpoint.address)
    assert (refused.returncode, endpoint.confirmed) == (1, [])
    assert '(110% in use): NOT SUFFICIENT' in refused.stdout
    assert '--accept-overload' in refused.stderr
    accepted = run_command(*words, '--accept-overload', node=endpoint.address)
    assert accepted.returncode == 0
    assert endpoint.intents[-1] == {'zones_out': ['ub2']}


@pytest.mark.parametrize(
    ('typed', 'code', 'confirmations'),
    [('y\n', 0, 1), ('n\n', 1, 0), ('', 1, 0)],
)
def test_zone_is_changed_only_after_consent(
    endpoint: FakeEndpoint,
    typed: str,
    code: int,
    confirmations: int,
):
    """Guards against a zone that is taken out although the answer is no."""
    words = ('zone', 'out', 'ub2')
    done = run_command(*words, node=endpoint.address, typed=typed)
    assert done.returncode == code
    assert len(endpoint.confirmed) == confirmations


def test_message_for_invalid_input_says_what_to_do(
    endpoint: FakeEndpoint,
    tmp_path: pathlib.Path,
):
    """Guards against an error that does not say how to correct the input."""
    bad = tmp_path / 'bad.json'
    bad.write_text('{}')
    planned = run_command('plan', bad, node=endpoint.address)
    assert planned.returncode == 2
    assert 'zone: is not known' in planned.stderr
    confirmed = run_command('confirm', bad, node=endpoint.address)
    assert confirmed.returncode == 2
    assert 'make it with "plan --out"' in confirmed.stderr
    assert run_command('status', node='no-port').returncode == 2
    assert run_command('plan', 'none', node=endpoint.address).returncode == 2


def test_next_address_is_tried_if_one_is_unreachable(endpoint: FakeEndpoint):
    """Guards against a command that fails because one node is down."""
    words = ('status', '--json', '--node', UNREACHABLE)
    done = run_command(*words, node=endpoint.address)
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)['zones']['ub1']['lowest'] == 8


def test_unreachable_nodes_are_listed():
    """Guards against an unreachable node that looks like an empty status."""
    done = run_command('status', node=UNREACHABLE)
    assert done.returncode == 3
    assert f'{UNREACHABLE}: connection refused' in done.stderr
