"""Fault matrix: allowed results for each step and each fault.

Each cell lists the results that are allowed for the call, change or node that
the fault affects. ``cell.run_cell`` runs a cell, and all checkers are applied
to the run as well. In the table, the rows are steps, the columns are faults,
and the letters are the values of ``End``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

from bilberryrail.proofs.steps import Step


class Column(Enum):
    """Fault that begins at a step."""

    KILLED = 'process killed'
    CUT = 'connections cut'
    FROZEN = 'frozen, then resumed'
    SLOW = 'slow'
    LOG_DOWN = 'log service down'
    LOST_ANSWER = 'log answer lost'
    EXPIRED = 'record expired before it was read'
    LAPSED = 'timers lapsed during a pause'
    OPERATORS = 'two operators at once'
    COLD = 'backend server cold again'
    KILLED_LOG_DOWN = 'killed while the log is down'
    FROZEN_COLD = 'frozen while the backend server turns cold'
    CUT_LOST_ANSWER = 'cut while a log answer is lost'
    KILLED_TWICE = 'killed again after its restart'


class End(Enum):
    """Result of the call, change or node that the fault affects."""

    ANSWER = 'A'
    TOKEN = 'T'
    NOT_RUN = 'N'
    UNKNOWN = 'U'
    LOST = 'L'
    CONFIRMED = 'C'
    REJECTED = 'R'
    PENDING = 'P'
    MEMBER = 'M'
    GONE = 'G'


MEANING = MappingProxyType(
    {
        End.ANSWER: 'the whole answer to its own call',
        End.TOKEN: 'a reservation',
        End.NOT_RUN: 'a refusal as "not run", and a time to retry after',
        End.UNKNOWN: '"outcome unknown"; the same token is safe to submit again',
        End.LOST: 'a broken connection; the same token is safe to submit again',
        End.CONFIRMED: 'the change was accepted',
        End.REJECTED: 'the change was rejected with a reason',
        End.PENDING: 'no verdict; the log does not hold the change',
        End.MEMBER: 'the node is a member in the log',
        End.GONE: 'the node is not a member in the log',
    }
)

#: Entry in the table for a combination that cannot occur.
NEVER = '-'
# Columns: killed, cut, frozen, slow, log down, lost answer, expired, lapsed,
# operators, cold, killed + log down, frozen + cold, cut + lost answer, killed
# twice. A cell may allow several results because the step may belong to
# different calls, and because an ingress may be its own target.
_TABLE = """
accept    L    AU   U    A    A    A    U    U    A    A    L    U    AU   L
reserve   LT   T    TU   T    T    T    TU   TU   T    T    LT   TU   T    LT
choose    L    ANTU NU   AT   AT   AT   NU   NU   AT   AT   L    NU   ANTU L
send      L    AU   ANU  A    A    A    ANU  AN   A    A    L    ANU  AU   L
admit     LU   AU   NU   A    A    A    NU   NU   A    A    LU   NU   AU   LU
forward   ALU  AU   AU   A    A    A    AU   AU   A    A    ALU  AU   AU   ALU
run       ALU  AU   AU   A    A    A    AU   AU   A    A    ALU  AU   AU   ALU
answer    ALU  AU   AU   A    A    A    AU   AU   A    A    ALU  AU   AU   ALU
return    L    A    A    A    A    A    A    A    A    A    L    A    A    L
plan      C    C    C    C    C    C    C    C    CR   C    C    C    C    C
confirm   C    C    C    C    C    C    C    C    CR   C    C    C    C    C
append    C    C    C    C    C    C    C    C    CR   C    C    C    C    C
read      C    C    C    C    C    C    C    C    CR   C    C    C    C    C
relay     C    C    C    C    C    C    C    C    CR   C    C    C    C    C
apply     C    C    C    C    C    C    C    C    CR   C    C    C    C    C
snapshot  C    C    C    C    C    C    C    C    C    C    C    C    C    C
announce  M    M    M    M    M    M    M    M    M    M    M    M    M    M
drain     M    G    G    G    GM   G    G    G    G    G    M    G    G    M
leave     M    G    G    G    M    G    G    G    G    G    M    G    G    M
replace   M    M    M    M    M    M    M    M    M    M    M    M    M    M
"""


@dataclass(frozen=True, slots=True)
class Cell:
    """One step, one fault, and the results that are allowed."""

    step: Step
    column: Column
    ends: frozenset[End]


#: Combinations that cannot occur, each with the reason.
IMPOSSIBLE: Mapping[tuple[Step, Column], str] = MappingProxyType({})


def _read_table() -> dict[tuple[Step, Column], str]:
    found = {}
    for line in _TABLE.strip().splitlines():
        name, *marks = line.split()
        for column, mark in zip(Column, marks, strict=True):
            found[Step(name), column] = mark
    return found


MARKS = _read_table()
CELLS = tuple(
    Cell(step, column, frozenset(End(letter) for letter in mark))
    for (step, column), mark in MARKS.items()
    if mark != NEVER
)
