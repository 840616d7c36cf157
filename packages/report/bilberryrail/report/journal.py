"""Reads rounds from the journal in which the bench records its runs.

A round is one run of the bench on the standard days of a site.
"""

import pathlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import NewType

import msgspec
from result import Err, Ok, Result

DayName = NewType('DayName', str)
SiteName = NewType('SiteName', str)

#: Commands of the bench that run the standard days of a site.
_ROUND_COMMANDS = frozenset(('score', 'run'))

#: Options with which a run differs from the standard days.
_DAY_OPTIONS = frozenset(('--until', '--seed', '--vary', '--no-cpu', '--small'))


@dataclass(frozen=True, slots=True)
class JournalError:
    """A journal entry that cannot be read or decoded."""

    path: pathlib.Path
    reason: str


@dataclass(frozen=True, slots=True)
class DayRound:
    """Result of one day in a round.

    Attributes
    ----------
    worth
        Amount that the day earned minus its prices, as a share of the amount
        due.
    upper_mark
        Worth from which on the day has the full score; None if the day has
        no such mark.
    prices
        Amounts deducted from the worth, by the name of the price.
    """

    day: DayName
    worth: float
    upper_mark: float | None
    prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Round:
    """One run of the bench on the standard days of a site.

    Attributes
    ----------
    started
        Time when the run started, as text from the journal.
    why
        Purpose of the run.
    """

    started: str
    site: SiteName
    why: str
    days: tuple[DayRound, ...]


class _Day(msgspec.Struct):
    """Result of a day in an entry, where worth is ``G`` and the mark ``top``."""

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
    """Return the rounds, oldest first, and the entries that are unreadable.

    Hunts, incidents, runs with another seed and runs of a part of a day are
    left out, because their figures cannot be compared with those of standard
    days.
    """
    rounds: list[Round] = []
    errors: list[JournalError] = []
    for path in sorted(folder.glob('*.json')):
        match read_round(path):
            case Ok(None):
                continue
            case Ok(read):
                rounds.append(read)
            case Err(error):
                errors.append(error)
    return rounds, errors


def read_round(path: pathlib.Path) -> Result[Round | None, JournalError]:
    """Read one entry; the result is None if the entry is not a round."""
    try:
        entry = _ENTRY.decode(path.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        return Err(JournalError(path, str(error)))
    is_round = entry.cmd in _ROUND_COMMANDS and not _DAY_OPTIONS & set(
        entry.argv
    )
    if not is_round or entry.site is None or not entry.at:
        return Ok(None)
    days = tuple(_day_round(day) for day in entry.days if _is_standard_day(day))
    if not days:
        return Ok(None)
    return Ok(Round(entry.at[0], SiteName(entry.site), entry.why, days))


def rounds_of_site(rounds: Iterable[Round], site: SiteName) -> list[Round]:
    """Return the rounds of one site."""
    return [found for found in rounds if found.site == site]


def _is_standard_day(day: _Day) -> bool:
    return not day.name.startswith('fresh')


def _day_round(day: _Day) -> DayRound:
    # If a day earned nothing, its prices may have no amount.
    prices = {name: worth for name, _, worth in day.prices if worth is not None}
    return DayRound(
        DayName(day.name),
        day.worth,
        day.upper_mark,
        MappingProxyType(prices),
    )
