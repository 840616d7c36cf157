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
    entry
        Its newest place in the queue; zero if it does not wait.
    paused_at
        When it was held back because of the host's speed.
    """

    number: int
    origin: Origin
    message: Forward
    arrived_at: Seconds
    expires_at: Seconds
    is_late: bool = False
    entry: int = 0
    paused_at: Seconds | None = None

    @property
    def is_worth_most_until(self) -> Seconds:
        """When its answer loses most of its worth."""
        return Seconds(self.arrived_at + self.message.aim_s)

    @property
    def place(self) -> tuple[bool, int, float]:
        """Where it stands among others that wait; the lowest goes first."""
        until = self.expires_at if self.is_late else self.is_worth_most_until
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
        return (entry[-1] for entry in self.entries if not self._is_void(entry))

    def push(self, work: Work) -> None:
        """Add a request, or move one whose place has changed."""
        if not work.entry:
            self.size += 1
        work.entry = next(self.counter)
        heapq.heappush(self.entries, (work.place, work.entry, work))

    def ahead_of(self, work: Work) -> int:
        """Count the requests that go before a new one."""
        return sum(1 for other in self if other.place <= work.place)

    def peek(self) -> Work | None:
        """Return the next request without taking it."""
        while self.entries and self._is_void(self.entries[0]):
            heapq.heappop(self.entries)
        return self.entries[0][-1] if self.entries else None

    def pop(self) -> Work:
        """Take the next request, which ``peek`` has returned."""
        work = heapq.heappop(self.entries)[-1]
        work.entry = 0
        self.size -= 1
        return work

    def cancel(self, work: Work) -> None:
        """Remove a request that waits."""
        if work.entry:
            work.entry = 0
            self.size -= 1

    def _is_void(
        self, entry: tuple[tuple[bool, int, float], int, Work]
    ) -> bool:
        """Tell whether the request has been moved or removed."""
        _, number, work = entry
        return work.entry != number
