"""Requests that wait at a target, the most urgent first."""

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
    """

    number: int
    origin: Origin
    message: Forward
    arrived_at: Seconds
    expires_at: Seconds
    is_cancelled: bool = False

    @property
    def is_worth_most_until(self) -> Seconds:
        """When its answer loses most of its worth."""
        return Seconds(self.arrived_at + self.message.aim_s)


class WorkQueue:
    """Priority queue by rank, then by the time in which it is worth most."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, float, int, Work]] = []
        self.counter = itertools.count()
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[Work]:
        return (
            entry[-1] for entry in self.entries if not entry[-1].is_cancelled
        )

    def push(self, work: Work) -> None:
        """Add a request."""
        key = (work.message.rank, work.is_worth_most_until)
        heapq.heappush(self.entries, (*key, next(self.counter), work))
        self.size += 1

    def ahead_of(self, rank: int) -> int:
        """Count the requests that go before a new one of a rank."""
        return sum(1 for work in self if work.message.rank <= rank)

    def peek(self) -> Work | None:
        """Return the next request without taking it."""
        while self.entries and self.entries[0][-1].is_cancelled:
            heapq.heappop(self.entries)
        return self.entries[0][-1] if self.entries else None

    def pop(self) -> Work:
        """Take the next request, which ``peek`` has returned."""
        self.size -= 1
        return heapq.heappop(self.entries)[-1]

    def cancel(self, work: Work) -> None:
        """Remove a request that waits."""
        if not work.is_cancelled:
            work.is_cancelled = True
            self.size -= 1
