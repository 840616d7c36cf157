"""Tests of the fault matrix: every cell is run, and no cell is missing."""

import itertools

import pytest

from bilberryrail.proofs.cell import CellRun, run_cell
from bilberryrail.proofs.matrix import (
    CELLS,
    IMPOSSIBLE,
    MARKS,
    MEANING,
    NEVER,
    Column,
    End,
)
from bilberryrail.proofs.steps import ACTION_TESTS, EVENT_TESTS, Step


def name_of(cell):
    return f'{cell.step.value}: {cell.column.value}'


@pytest.mark.parametrize('cell', CELLS, ids=name_of)
def test_cell(cell):
    """Guards against a broken invariant when a fault begins at a step."""
    found = run_cell(cell.step, cell.column)
    assert not found.violations
    assert found.ends
    assert found.ends <= cell.ends


def test_no_cell_is_missing():
    """Guards against a combination of step and fault that is never run."""
    wanted = set(itertools.product(Step, Column))
    assert set(MARKS) == wanted
    never = {place for place, mark in MARKS.items() if mark == NEVER}
    assert never == set(IMPOSSIBLE)
    assert all(IMPOSSIBLE.values())
    assert len(CELLS) + len(never) == len(wanted)


def test_every_step_is_recognized():
    """Guards against a step at which no fault would ever begin."""
    assert set(Step) - set(EVENT_TESTS) - set(ACTION_TESTS) == {Step.PLAN}
    assert set(MEANING) == set(End)


@pytest.mark.parametrize('step', [Step.SEND, Step.READ, Step.REPLACE])
def test_records_expire_before_they_are_read(step):
    """Guards against a column of expired records in which none expires."""
    run = CellRun(step, Column.EXPIRED, 1)
    expired = []
    run.world.before.append(
        lambda node, event: expired.append(type(event).__name__),
    )
    run.run()
    assert 'LogExpired' in expired


def test_missing_recovery_is_detected(monkeypatch):
    """Guards against cells that pass although the fault never ends."""
    monkeypatch.setattr('bilberryrail.proofs.faults.thaw', lambda *_: None)
    run = CellRun(Step.SEND, Column.LAPSED, 1)
    run.world.resume = lambda node: None
    assert run.run().violations
