"""Opens links to other nodes, and closes links that are idle."""

import asyncio
import contextlib
from typing import Final

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory

from bilberryrail.control.messages import LinkDown, LinkUp, OpenLink
from bilberryrail.core.ids import NodeId
from bilberryrail.core.records import Member
from bilberryrail.node import logs
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.idle_watch import IdleWatch
from bilberryrail.node.peer_link import HELLO_TIMEOUT_S, PeerLink
from bilberryrail.node.peer_links import PeerLinks

#: Shortest and longest backoff in seconds before a link that must stay open is
#: opened again.
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 5.0

Address = tuple[str, int]


class DialError(Exception):
    """The address did not answer with the Hello of the expected node."""


class PeerDialer:
    """Opens outgoing links and keeps them open when required.

    Attributes
    ----------
    kept_open
        Addresses of the links that the engine asked to keep open, by node.
    dialing
        Tasks that open and serve links, by address.
    backing_off
        Addresses to which the last attempt failed and that wait for the next.
    on_standby
        Addresses to which no link is opened because the node there has opened
        one to this node. Setting the event opens a link nevertheless.
    """

    def __init__(self, engine_task: EngineTask, links: PeerLinks) -> None:
        self.engine_task = engine_task
        self.links = links
        self.kept_open: dict[NodeId, Address] = {}
        self.dialing: dict[Address, asyncio.Task[None]] = {}
        self.backing_off: set[Address] = set()
        self.on_standby: dict[Address, asyncio.Event] = {}
        links.dialer = self

    def keep_open(self, action: OpenLink) -> None:
        """Open a link, and reopen it whenever it is lost, until ``release``."""
        address = (action.host, action.port)
        self.kept_open[action.peer] = address
        self._dial(address, action.peer)
        member = self.links.member_of(action.peer)
        if member is not None:
            # The engine waits for LinkUp before it sends anything.
            self.engine_task.submit(LinkUp(member))

    def release(self, peer: NodeId) -> None:
        """Allow a link to close once it is idle."""
        self.kept_open.pop(peer, None)

    def open_seed(self, host: str, port: int) -> None:
        """Open a link to an address whose node is not known yet."""
        self._dial((host, port), None)

    def dial_member(self, peer: NodeId) -> bool:
        """Open a link on demand to a member of the cluster.

        Returns false if its address is not known, or if the last attempt to
        connect to it has just failed.
        """
        address = self.kept_open.get(peer) or self._address_of(peer)
        if address is None or address in self.backing_off:
            return False
        on_standby = self.on_standby.get(address)
        if on_standby is not None:
            on_standby.set()
        self._dial(address, peer)
        return True

    async def stop(self) -> None:
        """Close all outgoing links."""
        self.kept_open.clear()
        tasks = tuple(self.dialing.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _address_of(self, peer: NodeId) -> Address | None:
        plane = self.engine_task.engine.plane
        announcement = plane.state.members.get(peer)
        member: Member | None = plane.unlogged.get(peer)
        if announcement is not None:
            member = announcement.member
        return None if member is None else (member.host, member.port)

    def _dial(self, address: Address, peer: NodeId | None) -> None:
        if address in self.dialing or (peer and self.links.is_open(peer)):
            return
        task = asyncio.ensure_future(self._keep_connected(address, peer))
        self.dialing[address] = task
        task.add_done_callback(lambda _: self._dial_ended(address, peer))

    def _dial_ended(self, address: Address, peer: NodeId | None) -> None:
        self.dialing.pop(address, None)
        self.backing_off.discard(address)
        if peer is not None and not self.links.is_open(peer):
            self.links.refuse_held(peer)

    async def _keep_connected(
        self, address: Address, peer: NodeId | None
    ) -> None:
        delay = MIN_BACKOFF_S
        while True:
            was_up = await self._connect(address, peer)
            if peer is None or self.kept_open.get(peer) != address:
                return
            delay = MIN_BACKOFF_S if was_up else delay * 2
            self.backing_off.add(address)
            await asyncio.sleep(min(delay, MAX_BACKOFF_S))
            self.backing_off.discard(address)
            await self._stand_by(address, peer)

    async def _stand_by(self, address: Address, peer: NodeId) -> None:
        """Wait while a link that the peer opened serves both directions."""
        self.on_standby[address] = dial_needed = asyncio.Event()
        while self.links.is_open(peer) and not dial_needed.is_set():
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(dial_needed.wait(), MAX_BACKOFF_S)
        self.on_standby.pop(address)

    async def _connect(self, address: Address, peer: NodeId | None) -> bool:
        """Serve a link until it closes; return false if it was not opened."""
        link = PeerLink(self.links, is_dialer=True, expected=peer)
        try:
            await self._open(link, address)
        except Exception as error:
            reason = f'{type(error).__name__}: {error}'
            logs.warning('link_not_opened', address=address, reason=reason)
            if peer is not None:
                self.links.refuse_held(peer)
                self.engine_task.submit(LinkDown(peer, reason))
            return False
        watch = IdleWatch(
            self.engine_task.reactor,
            link,
            lambda: link.member.node in self.kept_open,
        )
        with contextlib.ExitStack() as stack:
            stack.callback(watch.stop)
            await link.unusable.wait()
        return True

    async def _open(self, link: PeerLink, address: Address) -> None:
        endpoint = TCP4ClientEndpoint(
            self.engine_task.reactor,
            *address,
            timeout=HELLO_TIMEOUT_S,
        )
        factory = Factory.forProtocol(lambda: link.connection)
        factory.noisy = False
        connecting = endpoint.connect(factory)
        with contextlib.ExitStack() as stack:
            # Closes the link if this task is cancelled before the exchange of
            # Hello has finished.
            stack.callback(self._abandon, link)
            await connecting.asFuture(asyncio.get_running_loop())
            await link.handshake_done.wait()
        if link.member is None:
            raise DialError(link.reason)

    def _abandon(self, link: PeerLink) -> None:
        if link.member is None:
            link.finish()
