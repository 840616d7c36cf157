"""Plots of worth and prices over the rounds of a site."""

import pathlib
from collections import Counter
from collections.abc import Sequence
from typing import Final

from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from bilberryrail.report.journal import DayName, DayRound, Round

#: Width and height of the figure, in inches.
_FIGURE_SIZE: Final = (9.0, 9.0)

#: Number of prices that are drawn; smaller ones are left out.
_MAX_PRICES: Final = 6


def draw(rounds: Sequence[Round], path: pathlib.Path) -> None:
    """Write a figure of worth and prices over the rounds.

    Raises
    ------
    OSError
        If the file cannot be written.
    """
    figure = Figure(figsize=_FIGURE_SIZE, layout='constrained')
    FigureCanvasAgg(figure)
    upper, lower = figure.subplots(2, 1, sharex=True)
    _draw_worth(upper, rounds)
    _draw_prices(lower, rounds)
    figure.savefig(path)


def greatest_prices(days: Sequence[DayRound]) -> list[str]:
    """Return the names of the prices with the greatest sums over all days."""
    total: Counter[str] = Counter()
    for day in days:
        total.update(day.prices)
    return [name for name, amount in total.most_common(_MAX_PRICES) if amount]


def _draw_worth(axes: Axes, rounds: Sequence[Round]) -> None:
    points: dict[DayName, list[tuple[int, float]]] = {}
    for number, bench_round in enumerate(rounds, 1):
        for day in bench_round.days:
            points.setdefault(day.day, []).append((number, day.worth))
    for name, day_points in sorted(points.items()):
        numbers, worths = zip(*day_points, strict=True)
        axes.plot(numbers, worths, marker='o', label=name)
    axes.set_ylabel('worth')
    axes.grid(visible=True)
    axes.legend()


def _draw_prices(axes: Axes, rounds: Sequence[Round]) -> None:
    days = [day for bench_round in rounds for day in bench_round.days]
    numbers = range(1, len(rounds) + 1)
    for name in greatest_prices(days):
        means = [
            sum(day.prices.get(name, 0) for day in bench_round.days)
            / len(bench_round.days)
            for bench_round in rounds
        ]
        axes.plot(numbers, means, marker='o', label=name)
    axes.set_xlabel('round')
    axes.set_ylabel('mean price, as worth')
    axes.grid(visible=True)
    axes.legend()
