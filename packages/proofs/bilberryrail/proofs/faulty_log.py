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
    """Log service whose faults can be switched on and off.

    Attributes
    ----------
    down
        Whether reads and appends fail.
    delay_s
        Extra time before a read or an append is handled.
    lost_answers
        Number of appends that will be stored without an answer.
    first
        Oldest offset that is still kept.
    barred
        Nodes that cannot reach the service.
    on_entry
        Called with each stored entry.
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
        """Read records unless the service is down or has dropped them."""
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
        """Drop what the newest snapshot covers; tell if there is one.

        What follows the covered records stays, so retention is longer than
        the append of a snapshot takes.
        """
        for entry in reversed(self.entries):
            record = entry.record
            if isinstance(record, SnapshotPart) and not record.index:
                self.first = Offset(record.up_to + 1)
                return True
        return False

    def _outcome(self, event: LogRead) -> ReadAnswer:
        """Fail a long poll that an outage interrupts."""
        return LogUnavailable('connection lost') if self.down else event


def unreachable(
    request: ReadLog | AppendRecord,
) -> LogUnavailable | AppendUncertain:
    """Give what a node that cannot reach the service gets."""
    if isinstance(request, ReadLog):
        return LogUnavailable('cannot connect')
    return AppendUncertain(request.record.record_id, 'cannot connect')
