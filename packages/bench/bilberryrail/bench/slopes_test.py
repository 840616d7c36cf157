"""Tables of slopes, and the processes that measure the points."""

from dataclasses import replace

import pytest

from bilberryrail.bench import slopes
from bilberryrail.bench.slope_cases import CASES


def _case(name):
    return next(case for case in CASES if case.name == name)


def test_table_gives_points_and_line():
    """Guards against columns that do not match their headings."""
    case = replace(_case('view'), sizes=(1000, 2000, 3000))
    points = [{'ms': size / 1000} for size in case.sizes]
    lines = list(slopes.table(case, points))
    assert lines[1].endswith('| intercept | slope per member | residual |')
    assert lines[-1] == '| ms | 1 | 2 | 3 | 0 | 0.001 | 0 |'
    assert {line.count('|') for line in lines[1:]} == {8}


def test_point_is_measured_in_its_own_process():
    """Guards against a node that needs more than one record to join."""
    lines = list(slopes.measure('log appends'))
    assert '| join: records | 5 | 10 | 20 | 0 | 1 | 0 |' in lines


def test_failed_point_raises_an_error(monkeypatch):
    """Guards against a table that silently omits a size."""
    broken = replace(_case('log appends'), name='unknown')
    monkeypatch.setattr(slopes, 'CASES', (broken,))
    with pytest.raises(slopes.SlopeError, match='unknown at 5'):
        list(slopes.measure('unknown'))
