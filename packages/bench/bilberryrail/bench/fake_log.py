"""Fake log service with offsets and long polls, but without faults."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.control.messages import AppendAcknowledged, LogRead
from bilberryrail.core.ids import Offset
from bilberryrail.core.records import LogEntry, Record

#: Time that a read waits when there are no new records, in seconds.
MAX_READ_WAIT_S = 1.0


@dataclass(slots=True)
class _PendingRead:
    """A read that is answered once: on new records or after its wait."""

    log: 'FakeLog'
    start: Offset
    on_answer: Callable[[LogRead], None]
    answered: bool = False

    def __call__(self) -> None:
        """Answer the read unless it has been answered."""
        if self.answered:
            return
        self.answered = True
        entries = tuple(self.log.entries[self.start :])
        self.on_answer(LogRead(entries, self.log.end))


@dataclass(slots=True)
class FakeLog:
    """Stores all records in memory."""

    scheduler: Scheduler
    entries: list[LogEntry] = field(default_factory=list)
    waiting: list[Callable[[], None]] = field(default_factory=list)

    @property
    def end(self) -> Offset:
        """Offset of the newest record, or -1 if the log is empty."""
        return Offset(len(self.entries) - 1)

    def append(
        self,
        record: Record,
        on_answer: Callable[[AppendAcknowledged], None] | None = None,
    ) -> None:
        """Store a record and answer the reads that wait for it."""
        self.entries.append(LogEntry(Offset(len(self.entries)), record))
        if on_answer is not None:
            on_answer(AppendAcknowledged(record.record_id, self.end))
        waiting = self.waiting
        self.waiting = []
        for respond in waiting:
            respond()

    def read(
        self,
        start: Offset,
        on_answer: Callable[[LogRead], None],
        *,
        wait: bool,
    ) -> None:
        """Answer a read now, or wait for records if there are none yet."""
        respond = _PendingRead(self, start, on_answer)
        if start <= self.end or not wait:
            respond()
            return
        self.waiting.append(respond)
        self.scheduler.after(MAX_READ_WAIT_S, respond)
