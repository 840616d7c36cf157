"""Tests of the command line and of log lines."""

import json

from typer.testing import CliRunner

from bilberryrail.node import logs, main
from bilberryrail.settings.reading_test import settings


def check(tmp_path, **changes):
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(settings(**changes)))
    return CliRunner().invoke(main.app, ['--check', str(path)])


def test_check_tells_whether_settings_are_valid(tmp_path):
    """Guards against starting a node to find out about a typing error."""
    valid = check(tmp_path)
    assert (valid.exit_code, valid.output) == (0, 'settings are valid\n')
    invalid = check(tmp_path, operator_prt=1)
    assert invalid.exit_code == 2
    assert "did you mean 'operator_port'?" in invalid.output


def test_log_values_are_quoted_when_needed():
    """Guards against a value that looks like another key or line."""
    fields = {'node': 'n1', 'reason': 'a b="c"\n', 'empty': ''}
    line = logs.event_line('link-lost', fields)
    assert line == (r'event=link-lost node=n1 reason="a b=\"c\"\n" empty=""')


class Unprintable:
    def __str__(self):
        raise AssertionError('formatted')


def test_nothing_is_formatted_when_the_level_is_off():
    """Guards against the cost of decision lines that nobody reads."""
    logs.set_level('warning')
    logs.decision('route', {'field': Unprintable()})
    logs.set_level('info')
