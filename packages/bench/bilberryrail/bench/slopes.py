"""Slopes of memory, bytes and processor time, as docs/CAPACITY.md uses them.

Each point is measured in a process of its own, one after the other, so that
neither memory nor caches of another point count.
"""

import json
import subprocess
import sys
from collections.abc import Iterator

from bilberryrail.bench.line_fit import fit
from bilberryrail.bench.slope_cases import CASES, Case

#: Figures from here on are written without decimals.
_LARGE = 1000
#: Figures below have two significant digits, since more would be noise.
_SMALL = 0.001
#: Points that are written out in full before a line says more.
_FEWEST_POINTS = 3


class SlopeError(Exception):
    """A point could not be measured."""


def measure(only: str) -> Iterator[str]:
    """Measure every case and yield the lines of its table.

    Parameters
    ----------
    only
        Part of the names of the cases to measure; empty measures all.

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
    """Lay out the points of a case, and their lines."""
    labels = case.labels or tuple(f'{size:,}' for size in case.sizes)
    fitted = not case.labels and len(points) >= _FEWEST_POINTS
    columns = [*labels, *(_line_columns(case) if fitted else ())]
    yield f'\n{case.name}\n'
    yield f'| value | {" | ".join(columns)} |'
    yield f'|---{"|---:" * len(columns)}|'
    for name in points[0]:
        measured = [point[name] for point in points]
        cells = [_figure(found) for found in measured]
        if fitted:
            line = fit(case.sizes, measured)
            cells += map(_figure, (line.intercept, line.slope, line.residual))
        yield f'| {name} | {" | ".join(cells)} |'


def _line_columns(case: Case) -> tuple[str, ...]:
    return ('intercept', f'slope per {case.per}', 'residual')


def _measure_point(case: Case, size: int) -> dict[str, float]:
    command = [sys.executable, '-m', 'bilberryrail.bench.slope_worker']
    done = subprocess.run(
        [*command, case.name, str(size)],
        capture_output=True,
        check=False,
        text=True,
    )
    if done.returncode:
        raise SlopeError(f'{case.name} at {size}: {done.stderr[-2000:]}')
    return json.loads(done.stdout)


def _figure(found: float) -> str:
    """Write a figure with four significant digits."""
    size = abs(found)
    if size >= _LARGE:
        return f'{found:,.0f}'
    return f'{found:.4g}' if size >= _SMALL else f'{found:.2g}'
