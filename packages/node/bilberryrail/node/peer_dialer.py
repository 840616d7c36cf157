"""Opens links to other nodes, and closes those that nobody uses."""

import asyncio
import contextlib
from typing import Any, Final

from grpclib.client import Channel
from grpclib.exceptions import ProtocolError, StreamTerminatedError
from h2.exceptions import StreamClosedError

from bilberryrail.control.messages import LinkDown, LinkUp, OpenLink
from bilberryrail.core.ids import NodeId
from bilberryrail.core.records import Member
from bilberryrail.node import logs
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.peer_link import PeerLink
from bilberryrail.node.peer_links import PeerLinks
from bilberryrail.wire import frames
from bilberryrail.wire.peer_grpc import PeerStub

#: Time to connect and to exchange Hello; far above a round trip of 60 ms.
HELLO_TIMEOUT_S: Final = 2.0
#: Longest wait for a peer to read the last frames of a link.
END_TIMEOUT_S: Final = 1.0
#: First and longest wait before a link that must stay open is opened again.
FIRST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 5.0
#: Time without frames after which a link that nothing requires is closed.
IDLE_S: Final = 30.0

Address = tuple[str, int]


class DialError(Exception):
    """The address did not answer as the node that was expected."""


class PeerDialer:
    """Keeps the outgoing side of links.

    Attributes
    ----------
    wanted
        Addresses of links that the engine asked to keep open.
    dialing
        Tasks by the address that they connect to.
    failing
        Addresses that wait for their next try after a failure.
    resting
        Addresses whose node has a link that it opened itself; the event ends
        the wait.
    ending
        Number of streams whose last frames the peer is reading.
    """

    def __init__(self, engine_task: EngineTask, links: PeerLinks) -> None:
        self.engine_task = engine_task
        self.links = links
        self.wanted: dict[NodeId, Address] = {}
        self.dialing: dict[Address, asyncio.Task[None]] = {}
        self.ending = 0
        self.failing: set[Address] = set()
        self.resting: dict[Address, asyncio.Event] = {}
        links.dialer = self

    def keep_open(self, action: OpenLink) -> None:
        """Open a link, and again after each break, until ``release``."""
        address = (action.host, action.port)
        self.wanted[action.peer] = address
        self._dial(address, action.peer)
        member = self.links.member_of(action.peer)
        if member is not None:
            # The engine waits for LinkUp before it sends anything.
            self.engine_task.submit(LinkUp(member))

    def release(self, peer: NodeId) -> None:
        """Let a link close when neither side has used it for a while."""
        self.wanted.pop(peer, None)

    def open_seed(self, host: str, port: int) -> None:
        """Open a link to an address whose node is not known."""
        self._dial((host, port), None)

    def dial_member(self, peer: NodeId) -> bool:
        """Open a link on demand to a member of the replayed state."""
        address = self.wanted.get(peer) or self._address_of(peer)
        if address is None or address in self.failing:
            return False
        resting = self.resting.get(address)
        if resting is not None:
            resting.set()
        self._dial(address, peer)
        return True

    async def stop(self) -> None:
        """Give up all connections."""
        self.wanted.clear()
        tasks = tuple(self.dialing.values())
        if self.ending:
            await asyncio.wait(tasks, timeout=END_TIMEOUT_S)
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
        task = asyncio.ensure_future(self._keep(address, peer))
        self.dialing[address] = task
        task.add_done_callback(lambda _: self._done(address, peer))

    def _done(self, address: Address, peer: NodeId | None) -> None:
        self.dialing.pop(address, None)
        self.failing.discard(address)
        if peer is not None and not self.links.is_open(peer):
            self.links.refuse_held(peer)

    async def _keep(self, address: Address, peer: NodeId | None) -> None:
        delay = FIRST_RETRY_S
        while True:
            served = await self._connect(address, peer)
            if peer is None or self.wanted.get(peer) != address:
                return
            delay = FIRST_RETRY_S if served else delay * 2
            self.failing.add(address)
            await asyncio.sleep(min(delay, LONGEST_RETRY_S))
            self.failing.discard(address)
            await self._rest(address, peer)

    async def _rest(self, address: Address, peer: NodeId) -> None:
        """Wait while a link that the peer opened serves both directions."""
        self.resting[address] = needed = asyncio.Event()
        while self.links.is_open(peer) and not needed.is_set():
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(needed.wait(), LONGEST_RETRY_S)
        self.resting.pop(address)

    async def _connect(self, address: Address, peer: NodeId | None) -> bool:
        channel = Channel(*address)
        try:
            return await self._serve(channel, peer)
        except Exception as error:
            reason = f'{type(error).__name__}: {error}'
            logs.warning('link-not-opened', address=address, reason=reason)
            if peer is not None:
                self.links.refuse_held(peer)
                self.engine_task.submit(LinkDown(peer, reason))
            return False
        finally:
            channel.close()

    async def _serve(self, channel: Channel, peer: NodeId | None) -> bool:
        async with PeerStub(channel).Exchange.open() as stream:
            member = await asyncio.wait_for(
                self._greet(stream, peer),
                HELLO_TIMEOUT_S,
            )
            watch = asyncio.ensure_future(self._close_when_idle(member.node))
            with contextlib.ExitStack() as stack:
                stack.callback(watch.cancel)
                await self.links.serve(stream, member)
            self.ending += 1
            await self._end(stream)
            self.ending -= 1
        return True

    async def _end(self, stream: Any) -> None:
        """Close a stream after the peer has read everything.

        A reset would make the peer drop answers that it has not read yet.
        """
        # The peer may have ended or reset the stream already.
        with contextlib.suppress(
            ProtocolError,
            StreamTerminatedError,
            StreamClosedError,
            asyncio.TimeoutError,
        ):
            await asyncio.wait_for(_read_out(stream), END_TIMEOUT_S)
            return
        with contextlib.suppress(ProtocolError, StreamTerminatedError):
            await stream.cancel()

    async def _greet(self, stream: Any, peer: NodeId | None) -> Member:
        await stream.send_message(self.links.hello())
        hello = frames.decode_hello(await stream.recv_message())
        if hello.is_err():
            raise DialError(hello.unwrap_err().reason)
        member = hello.unwrap()
        if peer is not None and member.node != peer:
            raise DialError(f'node {member.node} answered instead of {peer}')
        return member

    async def _close_when_idle(self, peer: NodeId) -> None:
        used = -1
        while True:
            await asyncio.sleep(IDLE_S)
            for link in self.links.links.get(peer, ()):
                if link.used == used and self._is_needless(link):
                    link.finish()
                used = link.used

    def _is_needless(self, link: PeerLink) -> bool:
        return link.member.node not in self.wanted and link.open_attempts <= 0


async def _read_out(stream: Any) -> None:
    """End the sending side, then read until the peer ends its own."""
    await stream.end()
    has_ended = False
    while not has_ended:
        has_ended = await stream.recv_message() is None
