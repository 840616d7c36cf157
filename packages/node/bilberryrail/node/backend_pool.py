"""Persistent connections to the backend server, bounded in number."""

from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from bilberryrail.node.backend_connection import BackendConnection
from bilberryrail.node.http_response import HttpResponse
from bilberryrail.settings.node import BackendSettings

#: Time in seconds after which an idle connection is closed; the default of
#: Twisted's HTTP connection pool.
IDLE_TIMEOUT_S: Final = 240.0


class BackendPool:
    """Sends each request exactly once, over an idle or a new connection.

    Attributes
    ----------
    limit
        Largest number of idle connections that stay open.
    idle
        Connections without a request; the most recently used one is last.
    """

    def __init__(
        self,
        reactor: Any,
        settings: BackendSettings,
        max_body_bytes: int,
    ) -> None:
        self.reactor = reactor
        self.max_body_bytes = max_body_bytes
        self.limit = 1
        self.idle: list[BackendConnection] = []
        self.endpoint = TCP4ClientEndpoint(
            reactor,
            settings.host,
            settings.port,
            timeout=settings.connect_timeout_s,
        )
        self.factory = Factory.forProtocol(self._build_connection)
        self.factory.noisy = False

    def send(self, request: bytes) -> Deferred[HttpResponse]:
        """Send a request; cancelling its deferred closes the connection.

        Fails with ``ConnectError`` if no connection was made, so that no byte
        was sent.
        """
        if self.idle:
            return self.idle.pop().send_request(request)
        connecting = self.endpoint.connect(self.factory)
        return connecting.addCallback(
            lambda opened: opened.send_request(request)
        )

    def close_idle(self) -> None:
        """Close connections that have been idle for ``IDLE_TIMEOUT_S``."""
        idle_before = self.reactor.seconds() - IDLE_TIMEOUT_S
        for connection in tuple(self.idle):
            if connection.idle_since <= idle_before:
                self.idle.remove(connection)
                connection.transport.loseConnection()

    def _build_connection(self) -> BackendConnection:
        return BackendConnection(
            self.max_body_bytes,
            self._connection_idle,
            self._connection_lost,
        )

    def _connection_idle(self, connection: BackendConnection) -> None:
        if len(self.idle) >= self.limit:
            connection.transport.loseConnection()
            return
        connection.idle_since = self.reactor.seconds()
        self.idle.append(connection)

    def _connection_lost(self, connection: BackendConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
