"""Steps of calls, configuration changes and membership at which faults begin.

A step is recognized by an event before a node handles it, or by an action after
a node has carried it out.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import TypeVar

from bilberryrail.control import messages
from bilberryrail.core.records import (
    Change,
    Join,
    Leave,
    LogEntry,
    SnapshotPart,
)
from bilberryrail.policy import actions, events

_Kind = TypeVar('_Kind')


class Row(Enum):
    """Kind of operation that a step belongs to."""

    CALL = 'call'
    CONFIGURATION = 'configuration change'
    MEMBERSHIP = 'membership'


class Step(Enum):
    """Step at which a fault begins; a row of the fault matrix."""

    ACCEPT = 'accept'
    RESERVE = 'reserve'
    CHOOSE = 'choose'
    SEND = 'send'
    ADMIT = 'admit'
    FORWARD = 'forward'
    RUN = 'run'
    ANSWER = 'answer'
    RETURN = 'return'
    PLAN = 'plan'
    CONFIRM = 'confirm'
    APPEND = 'append'
    READ = 'read'
    RELAY = 'relay'
    APPLY = 'apply'
    SNAPSHOT = 'snapshot'
    ANNOUNCE = 'announce'
    DRAIN = 'drain'
    LEAVE = 'leave'
    REPLACE = 'replace'

    @property
    def row(self) -> Row:
        """Kind of operation that the step belongs to."""
        if self in _CALL_STEPS:
            return Row.CALL
        if self in _MEMBER_STEPS:
            return Row.MEMBERSHIP
        return Row.CONFIGURATION


_CALL_STEPS = tuple(Step)[:9]
_MEMBER_STEPS = tuple(Step)[-4:]

EventTest = Callable[[events.Event], bool]
ActionTest = Callable[[actions.Action], bool]


def _holds_change(entries: tuple[LogEntry, ...]) -> bool:
    return any(isinstance(entry.record, Change) for entry in entries)


def _appends(kind: type[_Kind]) -> ActionTest:
    return lambda action: (
        isinstance(action, messages.AppendRecord)
        and isinstance(action.record, kind)
    )


def _is_booking(event: events.Event) -> bool:
    """Return whether the event is a call with a reservation that arrived."""
    kinds = events.CallArrived | events.AttemptReceived
    return isinstance(event, kinds) and event.token is not None


#: Predicates on events that are evaluated before the event is handled.
EVENT_TESTS: Mapping[Step, EventTest] = MappingProxyType(
    {
        Step.ACCEPT: lambda event: (
            isinstance(event, events.CallArrived) and _is_booking(event)
        ),
        Step.RESERVE: lambda event: isinstance(
            event, events.ReservationReceived
        ),
        Step.ADMIT: lambda event: (
            isinstance(event, events.AttemptReceived) and _is_booking(event)
        ),
        Step.ANSWER: lambda event: isinstance(event, events.BackendAnswered),
        Step.RETURN: lambda event: isinstance(event, events.AnswerReceived),
        Step.CONFIRM: lambda event: isinstance(event, messages.AppendRequested),
        Step.READ: lambda event: (
            isinstance(event, messages.LogRead) and _holds_change(event.entries)
        ),
        Step.APPLY: lambda event: (
            isinstance(event, messages.RecordsReceived)
            and _holds_change(event.entries)
        ),
        Step.DRAIN: lambda event: isinstance(event, messages.DrainRequested),
        Step.REPLACE: lambda event: isinstance(
            event, messages.LogRead | messages.StateReceived
        ),
    }
)
#: Predicates on actions that are evaluated after the action was carried out.
ACTION_TESTS: Mapping[Step, ActionTest] = MappingProxyType(
    {
        Step.CHOOSE: lambda action: (
            isinstance(action, messages.LogEvent) and action.name == 'route'
        ),
        Step.SEND: lambda action: (
            isinstance(action, actions.SendAttempt) and action.token is not None
        ),
        Step.FORWARD: lambda action: isinstance(action, actions.Dispatch),
        Step.RUN: lambda action: isinstance(action, actions.Dispatch),
        Step.APPEND: _appends(Change),
        Step.RELAY: lambda action: (
            isinstance(action, messages.SendRecords)
            and _holds_change(action.entries)
        ),
        Step.SNAPSHOT: _appends(SnapshotPart),
        Step.ANNOUNCE: _appends(Join),
        Step.LEAVE: _appends(Leave),
    }
)
