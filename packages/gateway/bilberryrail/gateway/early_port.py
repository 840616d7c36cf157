"""Listens for clients before the libraries are loaded."""

import socket
from typing import Any, Final

from bilberryrail.gateway.settings import parse_address

#: Connections that wait to be accepted; a burst of clients arrives at once.
BACKLOG: Final = 1024


class EarlyPort:
    """A listening socket whose connections wait until the reactor runs.

    Loading the libraries takes most of a start. Clients that connect meanwhile
    are served a moment later, instead of finding nobody there.
    """

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening

    @classmethod
    def open(cls, text: str) -> 'EarlyPort':
        """Listen on an address; raises ``OSError`` if it is taken."""
        address = parse_address(text)
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((address.host, address.port))
        listening.listen(BACKLOG)
        listening.setblocking(False)
        return cls(listening)

    def serve(self, reactor: Any, factory: Any) -> Any:
        """Accept the connections that wait, and all later ones."""
        port = reactor.adoptStreamPort(
            self.listening.fileno(),
            socket.AF_INET,
            factory,
        )
        self.listening.close()
        return port
