"""Tracks whether a client uses its connection, and closes one that ends."""

from typing import Any, Final

from bilberryrail.gateway import sockets

#: Time that a closing connection waits for the client to close it too after the
#: last answer was sent, in seconds. Closing with unread bytes would reset the
#: connection, possibly before the client has read the answer.
LINGER_S: Final = 1.0


class Activity:
    """Last sign that a client uses its connection.

    Attributes
    ----------
    seen_at
        Time of that sign.
    unsent
        Number of bytes of answers that were not sent at the last check.
    """

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.seen_at: float = clock.seconds()
        self.unsent = 0

    @property
    def idle_s(self) -> float:
        """Time since the last sign, in seconds."""
        return self.clock.seconds() - self.seen_at

    def seen(self) -> None:
        """Record that the client uses the connection now."""
        self.seen_at = self.clock.seconds()

    def check_sent(self, transport: Any) -> None:
        """Count sent bytes as a sign."""
        unsent = sockets.unsent_bytes(transport)
        if unsent != self.unsent:
            self.unsent = unsent
            self.seen()


class LingeringClose:
    """Closes a connection some time after its last answer was sent.

    What the system has taken by then is still sent. The client may be sending a
    body that is not read any more; it is given the time to stop, since it might
    never read the answer if the connection was reset before.

    Attributes
    ----------
    discarded
        Bytes that were received and not read.
    """

    def __init__(self, clock: Any, activity: Activity) -> None:
        self.clock = clock
        self.activity = activity
        self.timer: Any = None
        self.discarded = 0

    def start(self, transport: Any) -> None:
        """Send no more, and close the connection later; only the first call."""
        if self.timer is None:
            self.activity.seen()
            transport.loseWriteConnection()
            self._check(transport)

    def received(self, size: int, max_bytes: int) -> None:
        """Discard bytes; beyond a limit they do not delay the end."""
        self.discarded += size
        if self.discarded <= max_bytes:
            self.activity.seen()

    def cancel(self) -> None:
        """Do nothing later, since the connection is lost."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _check(self, transport: Any) -> None:
        self.activity.check_sent(transport)
        if self.activity.unsent or self.activity.idle_s < LINGER_S:
            self.timer = self.clock.callLater(LINGER_S, self._check, transport)
        else:
            transport.loseConnection()
