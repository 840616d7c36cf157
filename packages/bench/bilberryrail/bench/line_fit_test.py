"""Fit of a line through measured points."""

from random import Random

import pytest

from bilberryrail.bench.line_fit import fit


def test_points_on_a_line_are_fitted_exactly():
    """Guards against a slope and an intercept that are swapped or scaled."""
    line = fit([10, 100, 1000], [25, 205, 2005])
    assert (line.intercept, line.slope) == pytest.approx((5, 2))
    assert line.residual == pytest.approx(0, abs=1e-9)


def test_residual_is_in_the_unit_of_the_values():
    """Guards against a residual that is not the distance of the points."""
    draws = Random(4)
    sizes = list(range(400))
    measured = [3 * size + 10 * draws.choice((-1, 1)) for size in sizes]
    line = fit(sizes, measured)
    assert line.slope == pytest.approx(3, abs=0.02)
    assert line.residual == pytest.approx(10, rel=0.02)


def test_line_through_a_single_size_is_rejected():
    """Guards against a division by zero for a case with one size."""
    with pytest.raises(ValueError, match='two different sizes'):
        fit([5, 5], [1, 2])
