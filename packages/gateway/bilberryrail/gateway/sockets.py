"""Socket options that detect silent peers, and a client factory."""

import socket
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.protocol import ClientFactory, Protocol

#: TCP keep-alive: idle time before the first probe and time between probes, in
#: seconds, and unanswered probes after which the connection is reset.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3

#: Longest time for which sent bytes may remain unacknowledged, in milliseconds.
USER_TIMEOUT_MS: Final = 4000


def configure_socket(
    transport: Any, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Disable Nagle's algorithm; reset the connection to a silent peer.

    Parameters
    ----------
    user_timeout_ms
        Longest time for which sent bytes may remain unacknowledged, in
        milliseconds. Linux also counts the time for which the peer reads
        nothing, although its host acknowledges each probe.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for option, limit in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, limit)


def unsent_bytes(transport: Any) -> int:
    """Return the number of written bytes that the system has not taken yet.

    Twisted has no public method for this; transports in memory have no buffer.
    """
    waiting = len(getattr(transport, 'dataBuffer', b''))
    waiting -= getattr(transport, 'offset', 0)
    return waiting + getattr(transport, '_tempDataLen', 0)


class SingleConnectionFactory(ClientFactory):
    """Client factory for one connection, with a given protocol instance.

    Parameters
    ----------
    on_connection_failed
        Called with the reason if the connection cannot be opened.
    """

    noisy = False

    def __init__(
        self,
        protocol: Protocol,
        on_connection_failed: Callable[[str], None],
    ) -> None:
        self.protocol_made = protocol
        self.on_connection_failed = on_connection_failed

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the given protocol."""
        return self.protocol_made

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: Any,
        reason: Any,
    ) -> None:
        """Report that the connection was not opened, so nothing was sent."""
        self.on_connection_failed(reason.getErrorMessage())
