"""Receives messages with their length in front, also large ones."""

from twisted.protocols.basic import Int32StringReceiver


class MessageReceiver(Int32StringReceiver):
    """Puts large messages together once, when all their bytes are there.

    Twisted's class joins each part that it gets with all parts before it. A
    message of 30 MB, which arrives in some 500 parts, would keep the process
    busy for seconds.

    Attributes
    ----------
    parts
        Parts of a large message that is not complete.
    held_bytes
        Size of these parts together, in bytes.
    missing
        Number of bytes of that message that are still to come.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.held_bytes = 0
        self.missing = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect the parts of a message; process what is complete."""
        self.missing -= len(data)
        if self.missing > 0:
            self.parts.append(data)
            self.held_bytes += len(data)
            return
        if self.parts:
            data = b''.join([*self.parts, data])
            self.drop_parts()
        super().dataReceived(data)
        self.missing = self._missing_bytes()

    def drop_parts(self) -> None:
        """Release the memory of a message that is not complete."""
        self.parts = []
        self.held_bytes = 0

    def _missing_bytes(self) -> int:
        """Return how many bytes of the present message are still to come."""
        rest = self.recvd
        if len(rest) < self.prefixLength:
            return 0
        length = int.from_bytes(rest[: self.prefixLength])
        if length > self.MAX_LENGTH:
            return 0
        return self.prefixLength + length - len(rest)
