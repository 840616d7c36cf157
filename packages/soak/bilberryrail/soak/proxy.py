"""Loopback proxy that delays, resets, silences or cuts connections one way."""

from collections import deque
from enum import Enum
from typing import Any, Final

from twisted.internet.protocol import Factory, Protocol

from bilberryrail.gateway.settings import Address
from bilberryrail.gateway.sockets import SingleConnectionFactory

#: Bytes that wait for a connection before it is reset.
MOST_HELD: Final = 1_000_000


class Fault(Enum):
    """What the proxy does to bytes."""

    NONE = 'none'
    DELAY = 'delay'
    SILENCE = 'silence'
    #: Only the answers are lost.
    ONE_WAY = 'one-way'
    REFUSE = 'refuse'


class _Side(Protocol):
    """One of the two connections of a proxied one."""

    def __init__(self, proxy: 'Proxy', *, is_client: bool) -> None:
        self.proxy = proxy
        self.is_client = is_client
        self.other: _Side | None = None
        self.held: deque[bytes] = deque()
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Connect the other side, or write what waits for this one."""
        self.is_open = True
        self.proxy.sides.add(self)
        if self.is_client:
            self.proxy.connect(self)
            return
        for waiting in self.held:
            self.transport.write(waiting)
        self.held.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, late or not at all."""
        match self.proxy.fault:
            case Fault.SILENCE:
                return
            case Fault.ONE_WAY if not self.is_client:
                return
            case Fault.DELAY:
                self.proxy.reactor.callLater(
                    self.proxy.delay_s, self._pass_on, data
                )
            case _:
                self._pass_on(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the other side too."""
        self.is_open = False
        self.proxy.sides.discard(self)
        other = self.other
        if other is not None and other.is_open:
            other.transport.loseConnection()

    def not_opened(self, reason: str) -> None:
        """Reset the client's connection: the server cannot be reached."""
        if self.other is not None and self.other.is_open:
            self.other.transport.abortConnection()

    def write(self, payload: bytes) -> None:
        """Write to this side's peer."""
        if self.is_open:
            self.transport.write(payload)
        else:
            self.held.append(payload)

    def _pass_on(self, payload: bytes) -> None:
        if self.other is not None:
            self.other.write(payload)


class Proxy(Factory):
    """Forwards connections to one address.

    Attributes
    ----------
    fault
        What happens to bytes, of open connections and new ones.
    """

    noisy = False

    def __init__(self, reactor: Any, target: Address) -> None:
        self.reactor = reactor
        self.target = target
        self.fault = Fault.NONE
        self.delay_s: float = 0
        self.sides: set[_Side] = set()

    def buildProtocol(self, addr: Any) -> _Side | None:  # noqa: N802
        """Accept a connection, unless they are refused."""
        if self.fault is Fault.REFUSE:
            return None
        return _Side(self, is_client=True)

    def connect(self, client: _Side) -> None:
        """Open the second connection."""
        server = _Side(self, is_client=False)
        client.other = server
        server.other = client
        self.reactor.connectTCP(
            self.target.host,
            self.target.port,
            SingleConnectionFactory(server, server.not_opened),
        )

    def reset(self) -> None:
        """Reset all connections."""
        for side in tuple(self.sides):
            side.transport.abortConnection()
