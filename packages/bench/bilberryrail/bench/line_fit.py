"""Least-squares line through measured points."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line.

    Attributes
    ----------
    residual
        Root mean square of the distances of the points from the line, in the
        unit of the measured value.
    """

    intercept: float
    slope: float
    residual: float


def fit(sizes: Sequence[float], measured: Sequence[float]) -> Line:
    """Fit a line by least squares to at least two different sizes.

    Raises
    ------
    ValueError
        If all sizes are equal, or if the numbers of sizes and values differ.
    """
    points = tuple(zip(sizes, measured, strict=True))
    mean_size = sum(sizes) / len(sizes)
    mean = sum(measured) / len(measured)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    if not spread:
        raise ValueError('a line needs two different sizes')
    product = sum((size - mean_size) * (value - mean) for size, value in points)
    slope = product / spread
    intercept = mean - slope * mean_size
    squares = [
        (value - intercept - slope * size) ** 2 for size, value in points
    ]
    return Line(intercept, slope, math.sqrt(sum(squares) / len(squares)))
