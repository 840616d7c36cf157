"""Records on their way to the log, repeated until the log has stored them."""

import random
from dataclasses import dataclass
from typing import Final

from bilberryrail.control.messages import (
    AppendRecord,
    ControlAction,
    LogEvent,
)
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import RecordId, Seconds
from bilberryrail.core.records import Change, Record

#: Longest time between two tries; bounds the load when the log comes back.
MAX_BACKOFF_S: Final = 60.0
#: An operator's change is given up after the time in which it should be in
#: force; a change that takes effect much later would surprise its author.
CHANGE_LIFETIME_S: Final = 12.0

#: Length of a drawn record id.
_ID_BITS: Final = 128
#: Longest stretch of a pause, so that nodes do not retry at the same time.
_MAX_JITTER_FACTOR: Final = 1.5

_NEVER: Final = Seconds(float('inf'))


@dataclass(slots=True)
class _Pending:
    """A record without acknowledgement; ``retry_at`` is set after a failure."""

    record: Record
    since: Seconds
    backoff_s: float
    retry_at: Seconds = _NEVER


class Outbox:
    """Appends records, again when the answer is uncertain.

    Repeating is safe because replay drops records whose id it has seen.
    """

    def __init__(self, settings: RelaySettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        # A refresh that waits out an outage must not come too late.
        half_interval_s = settings.refresh_interval_s / 2
        self._max_backoff_s = min(MAX_BACKOFF_S, half_interval_s)
        self.pending: dict[RecordId, _Pending] = {}

    @property
    def wakeup_at(self) -> Seconds:
        """Time of the next repetition."""
        return min(
            (waiting.retry_at for waiting in self.pending.values()),
            default=_NEVER,
        )

    def new_id(self) -> RecordId:
        """Draw a record id."""
        return RecordId(f'{self.rng.getrandbits(_ID_BITS):x}')

    def append(self, record: Record, now: Seconds) -> ControlAction:
        """Start to append a record."""
        self.pending[record.record_id] = _Pending(
            record=record,
            since=now,
            backoff_s=self.settings.log_retry_s,
        )
        return AppendRecord(record)

    def remove(self, record_id: RecordId) -> None:
        """Note that the log holds a record, or that it is obsolete."""
        self.pending.pop(record_id, None)

    def append_uncertain(self, record_id: RecordId, now: Seconds) -> None:
        """Note that an append gave no answer."""
        waiting = self.pending.get(record_id)
        if waiting is None:
            return
        jitter = self.rng.uniform(1, _MAX_JITTER_FACTOR)
        waiting.retry_at = Seconds(now + waiting.backoff_s * jitter)
        waiting.backoff_s = min(waiting.backoff_s * 2, self._max_backoff_s)

    def retry_soon(self, now: Seconds) -> None:
        """Repeat failed appends at once, because the log is back."""
        for waiting in self.pending.values():
            waiting.retry_at = min(waiting.retry_at, _retry_time(waiting, now))
            waiting.backoff_s = self.settings.log_retry_s

    def retry_due(self, now: Seconds) -> tuple[ControlAction, ...]:
        """Append records again whose time has come."""
        due = [
            waiting
            for waiting in self.pending.values()
            if waiting.retry_at <= now
        ]
        return tuple(self._retry(waiting, now) for waiting in due)

    def _retry(self, waiting: _Pending, now: Seconds) -> ControlAction:
        waiting.retry_at = _NEVER
        record = waiting.record
        expired = now - waiting.since > CHANGE_LIFETIME_S
        if isinstance(record, Change) and expired:
            self.remove(record.record_id)
            return LogEvent('change_given_up', {'record': record.record_id})
        return AppendRecord(record)


def _retry_time(waiting: _Pending, now: Seconds) -> Seconds:
    """Leave appends alone whose answer is still awaited."""
    return _NEVER if waiting.retry_at == _NEVER else now
