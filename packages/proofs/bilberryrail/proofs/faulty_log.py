"""Fake log service with outages, lost answers and limited retention."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryrail.bench.fake_log import FakeLog
from bilberryrail.control.messages import (
    AppendAcknowledged,
    AppendRecord,
    AppendUncertain,
    LogExpired,
    LogRead,
    LogUnavailable,
    ReadLog,
)
from bilberryrail.core.ids import NodeId, Offset
from bilberryrail.core.records import LogEntry, Record, SnapshotPart

ReadAnswer = LogRead | LogExpired | LogUnavailable
AppendAnswer = AppendAcknowledged | AppendUncertain


@dataclass(slots=True)
class FaultyLog(FakeLog):
    """Fake log service whose faults can be switched on and off.

    Attributes
    ----------
    down
        Whether reads and appends fail.
    delay_s
        Delay in seconds before a read or an append is handled.
    lost_answers
        Number of next appends that are stored but whose answers are lost.
    first
        Oldest offset that is retained.
    blocked
        Nodes that cannot reach the service.
    on_entry
        Callbacks that get each stored entry.
    """

    down: bool = False
    delay_s: float = 0
    lost_answers: int = 0
    first: Offset = Offset(0)
    blocked: set[NodeId] = field(default_factory=set)
    on_entry: list[Callable[[LogEntry], None]] = field(default_factory=list)

    def store(
        self,
        record: Record,
        answer: Callable[[AppendAnswer], None],
    ) -> None:
        """Append a record unless the service is down."""
        if self.down:
            answer(AppendUncertain(record.record_id, 'log is down'))
            return
        self.append(record)
        for notify in self.on_entry:
            notify(self.entries[-1])
        if self.lost_answers:
            self.lost_answers -= 1
            answer(AppendUncertain(record.record_id, 'no answer'))
        else:
            answer(AppendAcknowledged(record.record_id, self.end))

    def fetch(
        self,
        request: ReadLog,
        answer: Callable[[ReadAnswer], None],
    ) -> None:
        """Read records unless the service is down or they have expired."""
        if self.down:
            answer(LogUnavailable('log is down'))
        elif request.start < self.first:
            answer(LogExpired(self.first))
        else:
            self.read(
                request.start,
                lambda event: answer(self._outcome(event)),
                wait=request.wait,
            )

    def expire(self) -> bool:
        """Expire the records that the newest snapshot covers.

        Later records are kept, as if the retention time were longer than the
        time to append a snapshot. Return whether the log holds a snapshot.
        """
        for entry in reversed(self.entries):
            record = entry.record
            if isinstance(record, SnapshotPart) and not record.index:
                self.first = Offset(record.up_to + 1)
                return True
        return False

    def _outcome(self, event: LogRead) -> ReadAnswer:
        """Return the result of a read; an outage fails a long poll."""
        return LogUnavailable('connection lost') if self.down else event


def unreachable(
    request: ReadLog | AppendRecord,
) -> LogUnavailable | AppendUncertain:
    """Return the result that a node gets if it cannot reach the service."""
    if isinstance(request, ReadLog):
        return LogUnavailable('cannot connect')
    return AppendUncertain(request.record.record_id, 'cannot connect')
