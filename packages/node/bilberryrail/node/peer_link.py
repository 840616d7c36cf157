"""One long-lived stream to another node, whichever side opened it."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, Final

from bilberryrail.core.records import Member
from bilberryrail.node import logs
from bilberryrail.wire import peer_pb2

_OPENING: Final = frozenset(('call_request', 'reservation_request'))
_CLOSING: Final = frozenset(
    ('call_answer', 'call_refusal', 'reservation_reply')
)


class PeerLink:
    """Writes frames in order and hands received ones to ``on_frame``.

    Attributes
    ----------
    outgoing
        Frames that wait for the stream.
    open_attempts
        Attempts of the peer that this node has not answered.
    used_at
        When the last frame was sent or received.
    """

    def __init__(
        self,
        stream: Any,
        member: Member,
        on_frame: Callable[['PeerLink', peer_pb2.Frame], bool],
    ) -> None:
        self.stream = stream
        self.member = member
        self.on_frame = on_frame
        self.outgoing: asyncio.Queue[peer_pb2.Frame | None] = asyncio.Queue()
        self.open_attempts = 0
        self.used = 0
        self.reason = 'closed by the peer'
        self.tasks: list[asyncio.Task[None]] = []

    def send(self, frame: peer_pb2.Frame) -> None:
        """Queue a frame; it is written in the next turn of the loop."""
        self.used += 1
        if frame.WhichOneof('kind') in _CLOSING:
            self.open_attempts -= 1
        self.outgoing.put_nowait(frame)

    def finish(self) -> None:
        """Close the stream once everything queued is written."""
        self.reason = 'closed by this node'
        self.outgoing.put_nowait(None)

    async def run(self) -> None:
        """Read and write until either side closes the stream or it breaks."""
        self.tasks = [
            asyncio.ensure_future(self._read()),
            asyncio.ensure_future(self._write()),
        ]
        with contextlib.ExitStack() as stack:
            for task in self.tasks:
                stack.callback(task.cancel)
            await asyncio.wait(
                self.tasks,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def unsent(self) -> list[peer_pb2.Frame]:
        """Take the frames of which no byte was written."""
        frames = []
        while not self.outgoing.empty():
            frame = self.outgoing.get_nowait()
            if frame is not None:
                frames.append(frame)
        return frames

    async def _read(self) -> None:
        # grpclib raises different errors for a cut stream, a lost connection
        # and bytes that are no message; each ends only this link.
        try:
            async for frame in self.stream:
                self.used += 1
                if frame.WhichOneof('kind') in _OPENING:
                    self.open_attempts += 1
                if not self.on_frame(self, frame):
                    return
        except Exception as error:
            self._failed(error)

    async def _write(self) -> None:
        try:
            while True:
                frame = await self.outgoing.get()
                if frame is None:
                    return
                await self.stream.send_message(frame)
        except Exception as error:
            self._failed(error)

    def _failed(self, error: Exception) -> None:
        self.reason = f'{type(error).__name__}: {error}'
        logs.warning(
            'link-failed',
            peer=self.member.node,
            reason=self.reason,
        )
