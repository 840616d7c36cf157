"""Pending appends, retried until the log has stored the records."""

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

#: Longest backoff between two attempts, in seconds and without jitter; bounds
#: the load when the log becomes available again.
MAX_BACKOFF_S: Final = 60.0
#: Time after which the append of a change by an operator is no longer retried,
#: in seconds. It equals the time within which a change should be in force; one
#: that took effect much later would surprise its author.
CHANGE_LIFETIME_S: Final = 12.0

#: Length of a random record id, in bits.
_ID_BITS: Final = 128
#: Largest factor by which jitter extends a backoff, so that nodes do not retry
#: at the same time.
_MAX_JITTER_FACTOR: Final = 1.5

_NEVER: Final = Seconds(float('inf'))


@dataclass(slots=True)
class _Pending:
    """A record without acknowledgement; a failure sets ``retry_at``."""

    record: Record
    since: Seconds
    backoff_s: float
    retry_at: Seconds = _NEVER


class Outbox:
    """Appends records, and retries when the outcome is unknown.

    A retry is safe because replay drops changes whose id it has already seen.
    """

    def __init__(self, settings: RelaySettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        # A refresh that is retried after an outage must not come too late.
        half_interval_s = settings.refresh_interval_s / 2
        self._max_backoff_s = min(MAX_BACKOFF_S, half_interval_s)
        self.pending: dict[RecordId, _Pending] = {}

    @property
    def wakeup_at(self) -> Seconds:
        """Time of the next retry."""
        return min(
            (waiting.retry_at for waiting in self.pending.values()),
            default=_NEVER,
        )

    def new_id(self) -> RecordId:
        """Generate a random record id."""
        return RecordId(f'{self.rng.getrandbits(_ID_BITS):x}')

    def append(self, record: Record, now: Seconds) -> ControlAction:
        """Append a record, and keep it until ``remove`` is called."""
        self.pending[record.record_id] = _Pending(
            record=record,
            since=now,
            backoff_s=self.settings.log_retry_s,
        )
        return AppendRecord(record)

    def remove(self, record_id: RecordId) -> None:
        """Remove a record that the log has stored or that is obsolete."""
        self.pending.pop(record_id, None)

    def append_uncertain(self, record_id: RecordId, now: Seconds) -> None:
        """Schedule a retry of an append whose outcome is unknown."""
        waiting = self.pending.get(record_id)
        if waiting is None:
            return
        jitter = self.rng.uniform(1, _MAX_JITTER_FACTOR)
        waiting.retry_at = Seconds(now + waiting.backoff_s * jitter)
        waiting.backoff_s = min(waiting.backoff_s * 2, self._max_backoff_s)

    def retry_soon(self, now: Seconds) -> None:
        """Retry failed appends at once, because the log is available again."""
        for waiting in self.pending.values():
            waiting.retry_at = min(waiting.retry_at, _retry_time(waiting, now))
            waiting.backoff_s = self.settings.log_retry_s

    def retry_due(self, now: Seconds) -> tuple[ControlAction, ...]:
        """Retry the appends that are due."""
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
    """Return ``now``, or never if the answer to the append is outstanding."""
    return _NEVER if waiting.retry_at == _NEVER else now
