"""TCP proxy that can delay, drop, refuse or reset connections."""

from collections import deque
from enum import Enum
from typing import Any, Final

from twisted.internet.protocol import Factory, Protocol

from bilberryrail.gateway.settings import Address
from bilberryrail.gateway.sockets import SingleConnectionFactory

#: Bound in bytes for data that waits for a connection; not enforced so far.
MAX_HELD_BYTES: Final = 1_000_000


class Fault(Enum):
    """What the proxy does to connections and the bytes on them."""

    NONE = 'none'
    DELAY = 'delay'
    SILENCE = 'silence'
    #: Bytes from the server are dropped, bytes from the client pass.
    ONE_WAY = 'one-way'
    REFUSE = 'refuse'


class _ProxySide(Protocol):
    """Either the client's connection to the proxy or the one to the server.

    Received bytes are forwarded in their order and without gaps, as TCP does.

    Attributes
    ----------
    delayed
        Received bytes that are not forwarded yet, oldest first.
    forwarded_at
        Time at which the newest of them are forwarded.
    is_silent
        Whether received bytes have been dropped. All later ones are dropped
        too, because the rest of the stream cannot arrive without them.
    """

    def __init__(self, proxy: 'Proxy', *, is_client: bool) -> None:
        self.proxy = proxy
        self.is_client = is_client
        self.other: _ProxySide | None = None
        self.buffered: deque[bytes] = deque()
        self.is_open = False
        self.delayed: deque[bytes] = deque()
        self.forwarded_at: float = 0
        self.is_silent = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the server, or write the bytes buffered for it."""
        self.is_open = True
        self.proxy.sides.add(self)
        if self.is_client:
            self.proxy.connect(self)
            return
        for waiting in self.buffered:
            self.transport.write(waiting)
        self.buffered.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes at once, after a delay or not at all."""
        match self.proxy.fault:
            case Fault.SILENCE:
                self.is_silent = True
            case Fault.ONE_WAY if not self.is_client:
                self.is_silent = True
        if self.is_silent:
            return
        now = self.proxy.reactor.seconds()
        is_delayed = self.proxy.fault is Fault.DELAY
        due_at = now + self.proxy.delay_s if is_delayed else now
        self.forwarded_at = max(due_at, self.forwarded_at)
        if self.forwarded_at <= now and not self.delayed:
            self._forward(data)
        else:
            self.delayed.append(data)
            delay_s = max(0, self.forwarded_at - now)
            self.proxy.reactor.callLater(delay_s, self._forward_oldest)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other side too."""
        self.is_open = False
        self.proxy.sides.discard(self)
        other = self.other
        if other is not None and other.is_open:
            other.transport.loseConnection()

    def connection_failed(self, reason: str) -> None:
        """Reset the client's connection, because the server is unreachable."""
        if self.other is not None and self.other.is_open:
            self.other.transport.abortConnection()

    def write(self, payload: bytes) -> None:
        """Write to this connection, or buffer the bytes until it is open."""
        if self.is_open:
            self.transport.write(payload)
        else:
            self.buffered.append(payload)

    def _forward_oldest(self) -> None:
        self._forward(self.delayed.popleft())

    def _forward(self, payload: bytes) -> None:
        if self.other is not None:
            self.other.write(payload)


class Proxy(Factory):
    """Forwards connections to one address.

    Attributes
    ----------
    fault
        Current fault; it applies to open connections and to new ones.
    delay_s
        Delay in seconds of all bytes under ``Fault.DELAY``.
    """

    noisy = False

    def __init__(self, reactor: Any, target: Address) -> None:
        self.reactor = reactor
        self.target = target
        self.fault = Fault.NONE
        self.delay_s: float = 0
        self.sides: set[_ProxySide] = set()

    def buildProtocol(self, addr: Any) -> _ProxySide | None:  # noqa: N802
        """Accept a connection, except under ``Fault.REFUSE``."""
        if self.fault is Fault.REFUSE:
            return None
        return _ProxySide(self, is_client=True)

    def connect(self, client: _ProxySide) -> None:
        """Open the connection to the server for a client's connection."""
        server = _ProxySide(self, is_client=False)
        client.other = server
        server.other = client
        self.reactor.connectTCP(
            self.target.host,
            self.target.port,
            SingleConnectionFactory(server, server.connection_failed),
        )

    def silence_open(self) -> None:
        """Drop all later bytes of open connections; new ones work."""
        for side in self.sides:
            side.is_silent = True

    def reset(self) -> None:
        """Reset all connections."""
        for side in tuple(self.sides):
            side.transport.abortConnection()
