"""What the rounds of a site changed."""

from collections.abc import Sequence
from dataclasses import dataclass

from bilberryrail.report.journal import DayName, DayRound, Round


@dataclass(frozen=True, slots=True)
class DayChange:
    """Worth of a day in its first and in its last round.

    Attributes
    ----------
    costliest
        Greatest price of the last round, and its worth.
    """

    day: DayName
    first: float
    last: float
    upper_mark: float | None
    costliest: tuple[str, float]


def changes(rounds: Sequence[Round]) -> list[DayChange]:
    """Compare the first and the last play of each day."""
    plays: dict[DayName, list[DayRound]] = {}
    for one in rounds:
        for day in one.days:
            plays.setdefault(day.day, []).append(day)
    return [_change(name, played) for name, played in plays.items()]


def table(rounds: Sequence[Round]) -> str:
    """Format the changes as a Markdown table."""
    lines = [
        '| day | first | last | one | greatest price |',
        '|---|---|---|---|---|',
    ]
    for change in changes(rounds):
        mark = change.upper_mark
        name, worth = change.costliest
        lines.append(
            f'| {change.day} | {change.first:.3f} | {change.last:.3f} '
            f'| {"-" if mark is None else f"{mark:.3f}"} '
            f'| {name}, {worth:.3f} |',
        )
    return '\n'.join(lines)


def _change(name: DayName, played: Sequence[DayRound]) -> DayChange:
    last = played[-1]
    costliest = max(
        last.prices.items(),
        key=lambda price: price[1],
        default=('none', 0),
    )
    return DayChange(
        name,
        played[0].worth,
        last.worth,
        last.upper_mark,
        costliest,
    )
