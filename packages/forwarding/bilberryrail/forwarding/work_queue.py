"""Requests that wait at a target; those that can be in time go first."""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from bilberryrail.core.ids import AttemptId, NodeId, Seconds
from bilberryrail.forwarding.messages import Forward
from bilberryrail.forwarding.records import BackendRun


@dataclass(frozen=True, slots=True)
class Origin:
    """The ingress node and attempt that wait for a request's outcome."""

    node: NodeId
    attempt: AttemptId


@dataclass(slots=True, eq=False)
class Work:
    """A request at its target.

    Attributes
    ----------
    number
        Identifies the request among those sent to the backend server.
    expires_at
        Deadline, after which nobody waits for the answer.
    is_late
        Whether the answer is expected to miss the target latency.
    entry_number
        Number of its valid entry in the queue; zero if it is not queued.
    paused_at
        When it was first paused because of the host's speed; None if it was
        not.
    run
        Run of the backend server that it was sent to; None if it was not sent.
    """

    number: int
    origin: Origin
    message: Forward
    arrived_at: Seconds
    expires_at: Seconds
    is_late: bool = False
    entry_number: int = 0
    paused_at: Seconds | None = None
    run: BackendRun | None = None

    @property
    def target_latency_at(self) -> Seconds:
        """Time until which an answer meets the target latency."""
        return Seconds(self.arrived_at + self.message.target_latency_left_s)

    @property
    def sort_key(self) -> tuple[bool, int, float]:
        """Order among waiting requests; the lowest goes first."""
        until = self.expires_at if self.is_late else self.target_latency_at
        return (self.is_late, self.message.priority, until)


class WorkQueue:
    """Priority queue of requests.

    A late request goes after all that can still meet their target latency,
    because answering it first would make one of those late too. Requests in
    time are ordered by priority, then by the time of their target latency.

    A request that is moved or removed leaves a stale entry in the heap, which
    is dropped when it reaches the top.
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
        """Add a request, or move one whose sort key has changed."""
        if not work.entry_number:
            self.size += 1
        work.entry_number = next(self.counter)
        heapq.heappush(self.entries, (work.sort_key, work.entry_number, work))

    def count_ahead(self, work: Work) -> int:
        """Count the requests that go before a new one."""
        return sum(1 for other in self if other.sort_key <= work.sort_key)

    def peek(self) -> Work | None:
        """Return the next request without removing it."""
        while self.entries and self._is_stale(self.entries[0]):
            heapq.heappop(self.entries)
        return self.entries[0][-1] if self.entries else None

    def pop(self) -> Work:
        """Remove and return the next request, which ``peek`` has returned."""
        work = heapq.heappop(self.entries)[-1]
        work.entry_number = 0
        self.size -= 1
        return work

    def cancel(self, work: Work) -> None:
        """Remove a request if it is queued."""
        if work.entry_number:
            work.entry_number = 0
            self.size -= 1

    def _is_stale(
        self, entry: tuple[tuple[bool, int, float], int, Work]
    ) -> bool:
        """Return whether the entry's request has been moved or removed."""
        _, number, work = entry
        return work.entry_number != number
