"""Reads the body of a request, within the limits on its size and memory."""

from typing import Final

from bilberryrail.forwarding.records import Header, find_header
from bilberryrail.gateway.memory_budget import MemoryBudget, Reservation

_LENGTH: Final = b'content-length'


class RequestBody:
    """The body of a request that is being read.

    Attributes
    ----------
    reservation
        Memory of the body, from its stated length on.
    received
        The body as far as it has been read. A list of its parts would take up
        several times as much if they are small.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self.reservation = Reservation(budget)
        self.received = bytearray()

    def reserve(self, size: int) -> bool:
        """Reserve memory for a size; return whether there is enough."""
        if size <= self.reservation.size:
            return True
        return self.reservation.resize(size)

    def add(self, chunk: bytes, size: int) -> bool:
        """Add a part, which makes the body a size; return whether it fits."""
        has_memory = self.reserve(size)
        if has_memory:
            self.received += chunk
        return has_memory

    def take(self) -> bytes:
        """Return the complete body, whose memory stays reserved."""
        body = bytes(self.received)
        self.received = bytearray()
        return body

    def drop(self) -> None:
        """Release the memory of a body that is not needed."""
        self.received = bytearray()
        self.reservation.release()


def stated_length(headers: list[Header], limit: int) -> int:
    """Return the stated length of a body, in bytes, or the limit if it is less.

    It is zero if the body has no stated length.
    """
    stated = find_header(headers, _LENGTH) or b''
    if not stated.isdigit():
        return 0
    if len(stated) > len(str(limit)):
        return limit
    return min(int(stated), limit)
