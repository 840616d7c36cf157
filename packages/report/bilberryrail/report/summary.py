"""Comparison of the first and last round of each day on a site."""

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryrail.report.journal import DayName, DayRound, Round


@dataclass(frozen=True, slots=True)
class DayChange:
    """Worth of a day in its first and last round.

    Attributes
    ----------
    greatest_price
        Name and amount of the greatest price in the last round.
    """

    day: DayName
    first: float
    last: float
    upper_mark: float | None
    greatest_price: tuple[str, float]


def day_changes(rounds: Sequence[Round]) -> list[DayChange]:
    """Compare the first and last result of each day."""
    results_of_day: dict[DayName, list[DayRound]] = {}
    for bench_round in rounds:
        for day in bench_round.days:
            results_of_day.setdefault(day.day, []).append(day)
    return [
        _day_change(name, day_results)
        for name, day_results in results_of_day.items()
    ]


def markdown_table(rounds: Sequence[Round]) -> str:
    """Format the changes as a Markdown table."""
    lines = [
        '| day | first | last | full score at | greatest price |',
        '|---|---|---|---|---|',
    ]
    for change in day_changes(rounds):
        mark = change.upper_mark
        name, amount = change.greatest_price
        lines.append(
            f'| {change.day} | {change.first:.3f} | {change.last:.3f} '
            f'| {"-" if mark is None else f"{mark:.3f}"} '
            f'| {name}, {amount:.3f} |',
        )
    return '\n'.join(lines)


def _day_change(name: DayName, day_results: Sequence[DayRound]) -> DayChange:
    last = day_results[-1]
    greatest_price = max(
        last.prices.items(),
        key=lambda price: price[1],
        default=('none', 0),
    )
    return DayChange(
        name,
        day_results[0].worth,
        last.worth,
        last.upper_mark,
        greatest_price,
    )
