"""Rounds on the bench, read from the journal that it keeps."""

import pathlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import NewType

import msgspec
from result import Err, Ok, Result

DayName = NewType('DayName', str)
SiteName = NewType('SiteName', str)

#: Commands that play the standard days of a site.
_COMMANDS = frozenset(('score', 'run'))

#: Options that make a run another one than the standard day.
_PARTIAL = frozenset(('--until', '--seed', '--vary', '--no-cpu', '--small'))


@dataclass(frozen=True, slots=True)
class JournalError:
    """An entry of the journal that cannot be read."""

    path: pathlib.Path
    reason: str


@dataclass(frozen=True, slots=True)
class DayRound:
    """One play of a day.

    Attributes
    ----------
    worth
        What the day earned, less prices, as a share of what was owed.
    upper_mark
        Worth from which the day's score is full; None if it has none.
    prices
        What was taken off, by price.
    """

    day: DayName
    worth: float
    upper_mark: float | None
    prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Round:
    """One run of the bench.

    Attributes
    ----------
    started
        Time of its start, as the journal writes it.
    why
        What it was made for.
    """

    started: str
    site: SiteName
    why: str
    days: tuple[DayRound, ...]


class _Day(msgspec.Struct):
    """Day of an entry; ``worth`` and the upper mark have short names there."""

    name: str
    worth: float = msgspec.field(name='G', default=0)
    upper_mark: float | None = msgspec.field(name='top', default=None)
    prices: list[tuple[str, float | None, float | None]] = []


class _Entry(msgspec.Struct):
    at: list[str]
    cmd: str
    argv: list[str] = []
    site: str | None = None
    why: str = ''
    days: list[_Day] = []


_ENTRY = msgspec.json.Decoder(_Entry)


def read_journal(
    folder: pathlib.Path,
) -> tuple[list[Round], list[JournalError]]:
    """Read the rounds on standard days, oldest first, and what is unreadable.

    Hunts, incidents and parts of days are left out, as their figures cannot
    be compared.
    """
    rounds: list[Round] = []
    errors: list[JournalError] = []
    for path in sorted(folder.glob('*.json')):
        match read_round(path):
            case Ok(None):
                continue
            case Ok(found):
                rounds.append(found)
            case Err(error):
                errors.append(error)
    return rounds, errors


def read_round(path: pathlib.Path) -> Result[Round | None, JournalError]:
    """Read one entry; None if it is no round on standard days."""
    try:
        entry = _ENTRY.decode(path.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        return Err(JournalError(path, str(error)))
    is_standard = entry.cmd in _COMMANDS and not _PARTIAL & set(entry.argv)
    if not is_standard or entry.site is None or not entry.at:
        return Ok(None)
    days = tuple(_day_round(day) for day in entry.days if _is_standard(day))
    if not days:
        return Ok(None)
    return Ok(Round(entry.at[0], SiteName(entry.site), entry.why, days))


def of_site(rounds: Iterable[Round], site: SiteName) -> list[Round]:
    """Return the rounds of one site."""
    return [one for one in rounds if one.site == site]


def _is_standard(day: _Day) -> bool:
    return not day.name.startswith('fresh')


def _day_round(day: _Day) -> DayRound:
    # A price of a day that earned nothing may have no figure.
    prices = {name: worth for name, _, worth in day.prices if worth is not None}
    return DayRound(
        DayName(day.name),
        day.worth,
        day.upper_mark,
        MappingProxyType(prices),
    )
