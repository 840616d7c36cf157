"""Socket options that show a silent connection within seconds."""

import socket
from typing import Any, Final

#: Idle time before the first keep-alive probe, time between probes, and probes
#: without an answer after which the connection is reset.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3

#: Longest time for which sent bytes may stay unacknowledged.
USER_TIMEOUT_MS: Final = 4000


def watch_connection(transport: Any) -> None:
    """Send small writes at once and notice a peer that has gone silent."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, limit in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, limit)
