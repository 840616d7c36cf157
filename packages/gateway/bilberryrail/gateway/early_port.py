"""Listens for clients before the libraries are imported."""

import socket
from typing import Any, Final

from bilberryrail.gateway.settings import parse_address

#: Length of the queue of connections that are not accepted yet; it holds a
#: burst of clients.
BACKLOG: Final = 1024


class EarlyPort:
    """A listening socket whose connections are queued until the reactor runs.

    Importing the libraries takes most of the start. Clients that connect
    meanwhile are served a moment later, instead of being refused.
    """

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening

    @classmethod
    def open(cls, text: str) -> 'EarlyPort':
        """Listen on an address; raises ``OSError`` if it is in use."""
        address = parse_address(text)
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((address.host, address.port))
        listening.listen(BACKLOG)
        listening.setblocking(False)
        return cls(listening)

    def serve(self, reactor: Any, factory: Any) -> Any:
        """Let the reactor accept the queued connections and all later ones."""
        port = reactor.adoptStreamPort(
            self.listening.fileno(),
            socket.AF_INET,
            factory,
        )
        self.listening.close()
        return port
