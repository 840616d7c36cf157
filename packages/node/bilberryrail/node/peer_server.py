"""Listening socket on which other nodes open links."""

import asyncio
from typing import Any, Final

from twisted.internet.defer import maybeDeferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import Factory

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.node.frame_connection import FrameConnection
from bilberryrail.node.peer_link import PeerLink
from bilberryrail.node.peer_links import PeerLinks

#: Connections that may wait to be accepted, because many nodes may restart at
#: the same time.
_BACKLOG: Final = 1024


class LinkFactory(Factory):
    """Builds the link of each accepted connection."""

    noisy = False

    def __init__(self, links: PeerLinks) -> None:
        self.links = links

    def buildProtocol(self, addr: Any) -> FrameConnection:  # noqa: N802
        """Build the connection of a link that waits for Hello."""
        return PeerLink(self.links, is_dialer=False).connection


class PeerServer:
    """Accepts the links that other nodes open."""

    def __init__(self, links: PeerLinks, identity: NodeIdentity) -> None:
        self.identity = identity
        self.factory = LinkFactory(links)
        self.port: Any = None

    async def start(self) -> None:
        """Listen on the node's own address."""
        endpoint = TCP4ServerEndpoint(
            self.factory.links.reactor,
            self.identity.port,
            _BACKLOG,
            self.identity.host,
        )
        listening = endpoint.listen(self.factory)
        self.port = await listening.asFuture(asyncio.get_running_loop())

    async def stop(self) -> None:
        """Close the listening socket."""
        stopped = maybeDeferred(self.port.stopListening)
        await stopped.asFuture(asyncio.get_running_loop())
