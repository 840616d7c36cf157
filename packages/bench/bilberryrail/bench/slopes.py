"""Slopes of memory, bytes and processor time, as used by docs/CAPACITY.md.

The points are measured one after the other, each in a process of its own, so
that memory and caches of other points do not affect the figures.
"""

import json
import subprocess
import sys
from collections.abc import Iterator

from bilberryrail.bench.line_fit import fit
from bilberryrail.bench.slope_cases import CASES, Case

#: Figures of at least this size are written without decimals.
_MIN_INTEGRAL_FIGURE = 1000
#: Smaller figures get two significant digits, because more would be noise.
_MIN_PRECISE_FIGURE = 0.001
#: Number of points from which on a line is fitted.
_MIN_FITTED_POINTS = 3


class SlopeError(Exception):
    """A point could not be measured."""


def measure(only: str) -> Iterator[str]:
    """Measure every case and yield the lines of its table.

    Parameters
    ----------
    only
        Text that the names of the cases to measure contain; empty measures
        all.

    Raises
    ------
    SlopeError
        If the process that measures a point fails.
    """
    for case in CASES:
        if only in case.name:
            points = [_measure_point(case, size) for size in case.sizes]
            yield from table(case, points)


def table(case: Case, points: list[dict[str, float]]) -> Iterator[str]:
    """Yield the table of a case: its points and the lines fitted to them."""
    labels = case.labels or tuple(f'{size:,}' for size in case.sizes)
    fitted = not case.labels and len(points) >= _MIN_FITTED_POINTS
    columns = [*labels, *(_line_columns(case) if fitted else ())]
    yield f'\n{case.name}\n'
    yield f'| value | {" | ".join(columns)} |'
    yield f'|---{"|---:" * len(columns)}|'
    for name in points[0]:
        measured = [point[name] for point in points]
        cells = [_figure(value) for value in measured]
        if fitted:
            line = fit(case.sizes, measured)
            cells += map(_figure, (line.intercept, line.slope, line.residual))
        yield f'| {name} | {" | ".join(cells)} |'


def _line_columns(case: Case) -> tuple[str, ...]:
    return ('intercept', f'slope per {case.per}', 'residual')


def _measure_point(case: Case, size: int) -> dict[str, float]:
    command = [sys.executable, '-m', 'bilberryrail.bench.slope_worker']
    completed = subprocess.run(
        [*command, case.name, str(size)],
        capture_output=True,
        check=False,
        text=True,
    )
    if completed.returncode:
        raise SlopeError(
            f'cannot measure {case.name} at {size}: {completed.stderr[-2000:]}',
        )
    return json.loads(completed.stdout)


def _figure(value: float) -> str:
    """Format a figure with four significant digits, unless it is extreme."""
    size = abs(value)
    if size >= _MIN_INTEGRAL_FIGURE:
        return f'{value:,.0f}'
    return f'{value:.4g}' if size >= _MIN_PRECISE_FIGURE else f'{value:.2g}'
