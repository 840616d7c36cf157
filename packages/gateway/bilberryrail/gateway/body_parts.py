"""Transfers large request bodies over a link in parts.

Other messages go between the parts, and the target can refuse a body for which
it has no memory before the body arrives.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Final

from msgspec import structs

from bilberryrail.core.ids import AttemptId, Seconds
from bilberryrail.forwarding.messages import BodyPart, Cancel, Forward, Message
from bilberryrail.gateway.chunk_producer import (
    CHUNK_BYTES,
    ChunkProducer,
    slices,
)
from bilberryrail.gateway.memory_budget import MemoryBudget, Reservation

#: Size of the largest body that is sent within its request, in bytes.
MAX_WHOLE_BYTES: Final = CHUNK_BYTES


class OutgoingBodies:
    """Bodies that are being sent over a link, a part of each in turn.

    Parameters
    ----------
    send_part
        Sends a part over the link.
    """

    def __init__(self, send_part: Callable[[BodyPart], None]) -> None:
        self.send_part = send_part
        self.queue: deque[tuple[AttemptId, Iterator[memoryview]]] = deque()
        self.producer = ChunkProducer(self._send_next)

    def add(self, message: Forward, transport: Any) -> None:
        """Send the body of a request whose head has been written."""
        chunks = slices(message.request.body)
        self.queue.append((message.attempt, chunks))
        self.producer.start(transport)

    def drop(self, attempt: AttemptId) -> None:
        """Send no more of a body that the target does not need."""
        if self.queue:
            self.queue = deque(
                queued for queued in self.queue if queued[0] != attempt
            )

    def clear(self) -> None:
        """Send no more of any body."""
        self.queue.clear()

    def _send_next(self) -> bool:
        while self.queue:
            attempt, chunks = self.queue.popleft()
            chunk = next(chunks, None)
            if chunk is not None:
                self.queue.append((attempt, chunks))
                self.send_part(BodyPart(attempt, bytes(chunk)))
                return True
        return False


@dataclass(slots=True)
class _IncomingBody:
    """A request whose body is incomplete."""

    message: Forward
    arrived_at: Seconds
    body: bytearray


class IncomingBodies:
    """Bodies that arrive over a link, and the memory that they take up.

    The memory stays reserved until the request has an outcome or is cancelled.

    Parameters
    ----------
    on_refused
        Called with a request for whose body there is no memory.

    Attributes
    ----------
    incomplete
        Requests whose bodies are incomplete.
    reservations
        Reservations of all bodies.
    """

    def __init__(
        self, budget: MemoryBudget, on_refused: Callable[[Forward], None]
    ) -> None:
        self.budget = budget
        self.on_refused = on_refused
        self.incomplete: dict[AttemptId, _IncomingBody] = {}
        self.reservations: dict[AttemptId, Reservation] = {}

    def receive(self, message: Message, now: Seconds) -> Message | None:
        """Return a message with its body; None while parts are missing.

        A request whose body would take too much memory is refused before the
        body arrives. Parts of a request that was refused or cancelled are
        discarded.
        """
        match message:
            case BodyPart():
                return self._add(message, now)
            case Forward(body_bytes=size) if size:
                if not self._begin(message, now):
                    self.on_refused(message)
                return None
            case Cancel(attempt=attempt):
                self.release(attempt)
        return message

    def release(self, attempt: AttemptId) -> None:
        """Free the memory of a request that has an outcome or is cancelled."""
        self.incomplete.pop(attempt, None)
        reservation = self.reservations.pop(attempt, None)
        if reservation is not None:
            reservation.release()

    def clear(self) -> None:
        """Free the memory of all requests, since the link is lost."""
        for attempt in tuple(self.reservations):
            self.release(attempt)

    def _begin(self, message: Forward, now: Seconds) -> bool:
        self.release(message.attempt)
        reservation = Reservation(self.budget)
        if not reservation.resize(message.body_bytes):
            return False
        self.reservations[message.attempt] = reservation
        self.incomplete[message.attempt] = _IncomingBody(
            message, now, bytearray()
        )
        return True

    def _add(self, part: BodyPart, now: Seconds) -> Forward | None:
        found = self.incomplete.get(part.attempt)
        if found is None:
            return None
        missing = found.message.body_bytes - len(found.body)
        found.body += part.body[:missing]
        if len(found.body) < found.message.body_bytes:
            return None
        self.incomplete.pop(part.attempt)
        return _complete(found, now)


def _complete(found: _IncomingBody, now: Seconds) -> Forward:
    """Return a request with its body and the time that is left now."""
    message = found.message
    elapsed_s = now - found.arrived_at
    return structs.replace(
        message,
        request=replace(message.request, body=bytes(found.body)),
        remaining_s=max(0, message.remaining_s - elapsed_s),
        target_latency_left_s=max(0, message.target_latency_left_s - elapsed_s),
        body_bytes=0,
    )
