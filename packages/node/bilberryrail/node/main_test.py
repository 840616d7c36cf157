"""Tests of the command line and of log lines."""

import json
import signal
import subprocess
import sys

import msgspec
from typer.testing import CliRunner

from bilberryrail.bench.shell_harness import node_settings
from bilberryrail.node import logs, main
from bilberryrail.settings.reading_test import settings


def check(tmp_path, **changes):
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(settings(**changes)))
    return CliRunner().invoke(main.app, ['--check', str(path)])


def test_check_reports_whether_settings_are_valid(tmp_path):
    """Guards against having to start a node to find a typing error."""
    valid = check(tmp_path)
    assert (valid.exit_code, valid.output) == (0, 'settings are valid\n')
    invalid = check(tmp_path, operator_prt=1)
    assert invalid.exit_code == 2
    assert "did you mean 'operator_port'?" in invalid.output


#: Program that runs the command line with a scripted engine.
PROGRAM = """
from bilberryrail.bench.scripted_engine import ScriptedEngine
from bilberryrail.policy import engine
engine.NodeEngine = lambda settings, random: ScriptedEngine(
    settings.identity, settings.identity.node)
from bilberryrail.node.main import run
run()
"""


def start(path):
    return subprocess.Popen(
        [sys.executable, '-c', PROGRAM, str(path)],
        stderr=subprocess.PIPE,
        text=True,
    )


def test_sigterm_stops_a_process_with_status_0(tmp_path):
    """Guards against a shutdown that reports an error, or never ends."""
    path = tmp_path / 'node.json'
    path.write_bytes(msgspec.json.encode(node_settings('n1')))
    process = start(path)
    lines = iter(process.stderr.readline, '')
    assert any('phase=serving' in line for line in lines)
    second = start(path)
    assert second.wait(timeout=20) == 1
    assert 'cannot listen' in second.stderr.read()
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=20) == 0


def test_log_values_are_quoted_when_needed():
    """Guards against a value that can be mistaken for another key or line."""
    fields = {'node': 'n1', 'reason': 'a b="c"\n', 'empty': ''}
    line = logs.event_line('link-lost', fields)
    assert line == (r'event=link-lost node=n1 reason="a b=\"c\"\n" empty=""')


class Unprintable:
    def __str__(self):
        raise AssertionError('formatted')


def test_nothing_is_formatted_when_the_level_is_off():
    """Guards against the cost of formatting lines that are not written."""
    logs.set_level('warning')
    logs.decision('route', {'field': Unprintable()})
    logs.set_level('info')
