"""gRPC server on which other nodes open links."""

import asyncio
import socket
from typing import Any

from grpclib.server import Server

from bilberryrail.control.settings import NodeIdentity
from bilberryrail.node import logs
from bilberryrail.node.peer_dialer import HELLO_TIMEOUT_S
from bilberryrail.node.peer_links import PeerLinks
from bilberryrail.wire import frames
from bilberryrail.wire.peer_grpc import PeerBase


class PeerService(PeerBase):
    """Accepts links and hands them to the registry."""

    def __init__(self, links: PeerLinks) -> None:
        self.links = links

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Serve one link until it ends."""
        try:
            first = await asyncio.wait_for(
                stream.recv_message(),
                HELLO_TIMEOUT_S,
            )
        except (TimeoutError, ValueError, AssertionError) as error:
            logs.warning('link-refused', reason=type(error).__name__)
            return
        hello = frames.decode_hello(first)
        if hello.is_err():
            logs.warning('link-refused', reason=hello.unwrap_err().reason)
            return
        await stream.send_message(self.links.hello())
        await self.links.serve(stream, hello.unwrap())


class PeerServer:
    """The listening side of links."""

    def __init__(self, links: PeerLinks, identity: NodeIdentity) -> None:
        self.identity = identity
        self.server = Server([PeerService(links)])

    async def start(self) -> None:
        """Listen on the node's own address."""
        await self.server.start(
            self.identity.host,
            self.identity.port,
            family=socket.AF_INET,
        )

    async def stop(self) -> None:
        """Close all links and the listening socket."""
        self.server.close()
        await self.server.wait_closed()
