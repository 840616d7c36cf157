"""Fake log service of a measurement: offsets and long polls, no faults."""

from collections.abc import Callable
from dataclasses import dataclass, field

from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.control.messages import AppendAcknowledged, LogRead
from bilberryrail.core.ids import Offset
from bilberryrail.core.records import LogEntry, Record

#: Longest wait of a read when there is nothing to return.
READ_WAIT_S = 1.0


@dataclass(slots=True)
class _OnceReader:
    """Answers one read, on new records or when the wait ends."""

    log: 'FakeLog'
    start: Offset
    answer: Callable[[LogRead], None]
    answered: bool = False

    def __call__(self) -> None:
        """Answer unless that has been done."""
        if self.answered:
            return
        self.answered = True
        entries = tuple(self.log.entries[self.start :])
        self.answer(LogRead(entries, self.log.end))


@dataclass(slots=True)
class FakeLog:
    """Holds all records in memory."""

    scheduler: Scheduler
    entries: list[LogEntry] = field(default_factory=list)
    waiting: list[Callable[[], None]] = field(default_factory=list)

    @property
    def end(self) -> Offset:
        """Newest offset, -1 when empty."""
        return Offset(len(self.entries) - 1)

    def append(
        self,
        record: Record,
        answer: Callable[[AppendAcknowledged], None] | None = None,
    ) -> None:
        """Store a record and wake the readers that wait."""
        self.entries.append(LogEntry(Offset(len(self.entries)), record))
        if answer is not None:
            answer(AppendAcknowledged(record.record_id, self.end))
        waiting = self.waiting
        self.waiting = []
        for resume in waiting:
            resume()

    def read(
        self,
        start: Offset,
        answer: Callable[[LogRead], None],
        *,
        wait: bool,
    ) -> None:
        """Answer a read, after a while if there is nothing to return."""
        respond = _OnceReader(self, start, answer)
        if start <= self.end or not wait:
            respond()
            return
        self.waiting.append(respond)
        self.scheduler.after(READ_WAIT_S, respond)
