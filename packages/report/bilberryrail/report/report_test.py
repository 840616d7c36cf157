"""Tests of the table and the plot of rounds in the journal."""

import json

import pytest
from result import Err
from typer.testing import CliRunner

from bilberryrail.report import plots
from bilberryrail.report.__main__ import app
from bilberryrail.report.journal import read_journal, read_round
from bilberryrail.report.summary import day_changes


def day(name, worth, prices=()):
    return {
        'name': name,
        'G': worth,
        'top': 0.5,
        'prices': [list(price) for price in prices],
    }


def write(folder, number, days, **fields):
    entry = {
        'at': [f'2026-12-04T0{number}:00:00Z', ''],
        'cmd': 'run',
        'argv': ['SITE', 'quiet-1'],
        'site': 'mesh',
        'why': 'a reason',
        'days': days,
    }
    path = folder / f'2026120{number}.json'
    path.write_text(json.dumps(entry | fields))
    return path


@pytest.fixture
def journal(tmp_path):
    folder = tmp_path / 'journal'
    folder.mkdir()
    cpu = ('processor seconds', 12.0, 0.01)
    calls = ('cloud calls', 300.0, 0.05)
    write(folder, 1, [day('quiet-1', 0.3, [cpu]), day('scale-1', -0.1)])
    write(folder, 2, [day('quiet-1', 0.4, [cpu, calls])], cmd='score')
    return folder


def test_first_and_last_result_of_each_day_are_compared(journal):
    # Guards against a table that shows the best round instead of the last.
    write(journal, 3, [day('quiet-1', 0.35, [('cloud calls', 1, 0.02)])])
    rounds, _ = read_journal(journal)
    quiet, scale = day_changes(rounds)
    assert (quiet.first, quiet.last) == (0.3, 0.35)
    assert quiet.greatest_price == ('cloud calls', 0.02)
    assert (scale.first, scale.last) == (-0.1, -0.1)


@pytest.mark.parametrize(
    'fields',
    [
        {'argv': ['SITE', 'quiet-1', '--until', '8']},
        {'argv': ['SITE', 'quiet-1', '--seed', '5']},
        {'cmd': 'hunt'},
        {'cmd': 'incident'},
        {'site': None},
    ],
)
def test_runs_that_are_no_rounds_are_left_out(journal, fields):
    # Guards against runs with other seeds, on parts of days or without a site
    # that are compared with rounds on standard days.
    write(journal, 3, [day('quiet-1', 0.9)], **fields)
    assert len(read_journal(journal)[0]) == 2


def test_unreadable_entry_is_reported_and_skipped(journal):
    # Guards against one invalid entry that makes the whole journal unreadable.
    path = journal / '20261209.json'
    path.write_text('{"at": 7')
    assert isinstance(read_round(path), Err)
    rounds, errors = read_journal(journal)
    assert len(rounds) == 2
    assert [error.path for error in errors] == [path]


def test_price_without_an_amount_is_left_out(journal):
    # Guards against an entry that is skipped because one price has no amount.
    write(journal, 3, [day('quiet-1', 0.2, [('exits', None, None)])])
    rounds, errors = read_journal(journal)
    assert not errors
    assert not rounds[-1].days[0].prices


def test_prices_are_chosen_by_their_sum_over_all_rounds(journal):
    # Guards against a plot that shows the greatest prices of one round only.
    rounds, _ = read_journal(journal)
    days = [result for found in rounds for result in found.days]
    assert plots.greatest_prices(days) == ['cloud calls', 'processor seconds']


def test_command_prints_table_and_writes_plot(journal, tmp_path):
    # Guards against a command that succeeds without writing the plot.
    target = tmp_path / 'mesh.png'
    options = ['--journal', str(journal), '--plot', str(target)]
    answer = CliRunner().invoke(app, ['mesh', *options])
    assert answer.exit_code == 0
    assert '| quiet-1 | 0.300 | 0.400 | 0.500 | cloud calls, 0.050 |' in (
        answer.stdout
    )
    assert target.read_bytes().startswith(b'\x89PNG')


def test_command_fails_if_site_journal_or_plot_folder_is_missing(
    journal,
    tmp_path,
):
    # Guards against an empty table and exit code 0 if a name is wrong.
    runner = CliRunner()
    options = ['--journal', str(journal)]
    assert runner.invoke(app, ['nowhere', *options]).exit_code == 1
    elsewhere = ['--journal', str(tmp_path / 'none')]
    assert runner.invoke(app, ['mesh', *elsewhere]).exit_code == 2
    unwritable = ['--plot', str(tmp_path / 'none' / 'a.png')]
    assert runner.invoke(app, ['mesh', *options, *unwritable]).exit_code == 2
