"""Requests that wait at a target, those that can be in time first."""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryrail.core.ids import AttemptId, NodeId, Seconds
from bilberryrail.forwarding.messages import Forward


@dataclass(frozen=True, slots=True)
class Origin:
    """Who sent a request and waits for its outcome."""

    node: NodeId
    attempt: AttemptId


@dataclass(slots=True, eq=False)
class Work:
    """A request at its target.

    Attributes
    ----------
    number
        Identifies it at the backend server.
    expires_at
        When nobody waits for its answer any more.
    is_late
        Whether its answer will come after the time in which it is worth most.
    entry_number
        Its newest sort_key in the queue; zero if it does not wait.
    paused_at
        When it was held back because of the host's speed.
    """

    number: int
    origin: Origin
    message: Forward
    arrived_at: Seconds
    expires_at: Seconds
    is_late: bool = False
    entry_number: int = 0
    paused_at: Seconds | None = None

    @property
    def target_latency_at(self) -> Seconds:
        """When its answer loses most of its worth."""
        return Seconds(self.arrived_at + self.message.target_latency_left_s)

    @property
    def sort_key(self) -> tuple[bool, int, float]:
        """Where it stands among others that wait; the lowest goes first."""
        until = self.expires_at if self.is_late else self.target_latency_at
        return (self.is_late, self.message.priority, until)


class WorkQueue:
    """Priority queue of requests.

    A late request goes after all that can still be in time: answering it
    first would make one of those late too. The others are ordered by rank,
    then by the time in which they are worth most.
    """

    def __init__(self) -> None:
        self.entries: list[tuple[tuple[bool, int, float], int, Work]] = []
        self.counter = itertools.count(1)
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[Work]:
        return (
            entry[-1] for entry in self.entries if not self._is_stale(entry)
        )

    def push(self, work: Work) -> None:
        """Add a request, or move one whose sort_key has changed."""
        if not work.entry_number:
            self.size += 1
        work.entry_number = next(self.counter)
        heapq.heappush(self.entries, (work.sort_key, work.entry_number, work))

    def count_ahead(self, work: Work) -> int:
        """Count the requests that go before a new one."""
        return sum(1 for other in self if other.sort_key <= work.sort_key)

    def peek(self) -> Work | None:
        """Return the next request without taking it."""
        while self.entries and self._is_stale(self.entries[0]):
            heapq.heappop(self.entries)
        return self.entries[0][-1] if self.entries else None

    def pop(self) -> Work:
        """Take the next request, which ``peek`` has returned."""
        work = heapq.heappop(self.entries)[-1]
        work.entry_number = 0
        self.size -= 1
        return work

    def cancel(self, work: Work) -> None:
        """Remove a request that waits."""
        if work.entry_number:
            work.entry_number = 0
            self.size -= 1

    def _is_stale(
        self, entry: tuple[tuple[bool, int, float], int, Work]
    ) -> bool:
        """Tell whether the request has been moved or removed."""
        _, number, work = entry
        return work.entry_number != number
