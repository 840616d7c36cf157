"""In-memory streams of the log: append, read by offset, limited retention."""

import itertools
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Page:
    """Answer to a read: consecutive records of a stream.

    Attributes
    ----------
    first
        Oldest offset that the stream still holds.
    end
        Newest offset; -1 if nothing has been appended yet.
    records
        Pairs of offset and encoded record.
    """

    first: int
    end: int
    records: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class Expired:
    """Answer to a read from an offset that is older than ``first``.

    Attributes
    ----------
    first
        Oldest offset that the stream still holds.
    """

    first: int


@dataclass
class Stream:
    """A stream that keeps its newest ``retention`` records."""

    retention: int
    first: int = 0
    records: deque[bytes] = field(default_factory=deque)

    @property
    def end(self) -> int:
        """Return the newest offset; -1 if nothing has been appended yet."""
        return self.first + len(self.records) - 1

    def append(self, record: bytes) -> int:
        """Store a record and return its offset."""
        self.records.append(record)
        if len(self.records) > self.retention:
            self.records.popleft()
            self.first += 1
        return self.end

    def read(self, start: int, limit: int) -> Page | Expired:
        """Read up to ``limit`` records from offset ``start`` on."""
        if start < self.first:
            return Expired(self.first)
        skipped = start - self.first
        chosen = itertools.islice(self.records, skipped, skipped + limit)
        return Page(self.first, self.end, tuple(enumerate(chosen, start)))
