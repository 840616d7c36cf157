"""All links to other nodes: sending, receiving and reporting lost links."""

from collections import defaultdict
from typing import Any, Final, Protocol

from bilberryrail.control.messages import LinkDown, LinkUp
from bilberryrail.core.ids import AttemptId, NodeId
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.core.records import Member
from bilberryrail.node import logs
from bilberryrail.node.engine_task import EngineTask
from bilberryrail.node.peer_link import PeerLink
from bilberryrail.policy import actions
from bilberryrail.policy.events import RefusalReceived
from bilberryrail.wire import encoding, frames, peer_pb2
from bilberryrail.wire.errors import (
    AnswerError,
    FrameError,
    RequestError,
    WireError,
)

#: Load reported for a target that cannot be reached, with a limit of zero so
#: that no calls are sent to it.
UNREACHABLE: Final = LoadReport(in_flight=0, limit=0, queued=0, latency_s=0)
#: Largest number of frames queued for one peer while its link is being opened,
#: or while its connection's buffer is full.
MAX_HELD_FRAMES: Final = 1000

_REQUEST_KINDS: Final = frozenset(('call_request', 'reservation_request'))
#: Frames of calls; only the other frames are counted in the metrics.
_CALL_FRAME_KINDS: Final = frozenset(
    (
        'call_request',
        'call_answer',
        'call_refusal',
        'call_cancel',
        'reservation_request',
        'reservation_reply',
    ),
)


class Dialer(Protocol):
    """Opens links on demand."""

    def dial_member(self, peer: NodeId) -> bool:
        """Start to open a link; return false if that is not possible now."""


class PeerLinks:
    """Registry of open links.

    If two nodes open links to each other at the same time, both links are kept
    and frames are sent over the older one. When one of them is lost, the engine
    receives ``LinkDown``, because answers may have been lost with it. If
    another link is left, the engine then receives ``LinkUp``.

    Attributes
    ----------
    held
        Queued frames for peers whose link is being opened.
    closing_links
        Links that still write or read their last frames.
    """

    def __init__(self, engine_task: EngineTask, max_body_bytes: int) -> None:
        self.engine_task = engine_task
        self.reactor = engine_task.reactor
        self.max_body_bytes = max_body_bytes
        self.dialer: Dialer | None = None
        self.links: dict[NodeId, list[PeerLink]] = defaultdict(list)
        self.held: dict[NodeId, list[peer_pb2.Frame]] = {}
        self.closing_links: set[PeerLink] = set()
        self.last_load = UNREACHABLE

    def is_open(self, peer: NodeId) -> bool:
        """Return whether there is an open link to a peer."""
        return bool(self.links.get(peer))

    def member_of(self, peer: NodeId) -> Member | None:
        """Return the member at the other end of an open link, if any."""
        links = self.links.get(peer)
        return links[0].member if links else None

    def send(self, peer: NodeId, frame: peer_pb2.Frame, action: Any) -> None:
        """Send a frame, opening a link first if there is none."""
        self._count(frame, 'sent')
        if isinstance(action, actions.SendAnswer | actions.SendRefusal):
            self.last_load = action.load
        links = self.links.get(peer)
        if links:
            self._send_over(links[0], frame)
            return
        held = self.held.setdefault(peer, [])
        held.append(frame)
        if len(held) > MAX_HELD_FRAMES or not self.dialer.dial_member(peer):
            self.refuse_held(peer)

    def hello(self) -> peer_pb2.Frame:
        """Build the first frame of a link."""
        engine = self.engine_task.engine
        own = engine.identity
        return encoding.hello_frame(
            Member(
                node=own.node,
                incarnation=engine.incarnation,
                service=own.service,
                zone=own.zone,
                region=own.region,
                host=own.host,
                port=own.port,
                http_port=own.http_port,
            ),
        )

    def opened(self, link: PeerLink) -> None:
        """Register a link, and send the frames that were held for it."""
        peer = link.member.node
        self.links[peer].append(link)
        for frame in self.held.pop(peer, ()):
            link.send(frame)
        self.engine_task.submit(LinkUp(link.member))

    def close_started(self, link: PeerLink) -> None:
        """Stop sending over a link; answers may still be received from it."""
        self._remove(link)
        self.closing_links.add(link)

    def ended(self, link: PeerLink) -> None:
        """Report a link as down, and its unsent attempts as not run."""
        peer = link.member.node
        self._remove(link)
        self.closing_links.discard(link)
        for frame in link.output.take_unsent():
            self._refuse_unsent(peer, frame)
        self.engine_task.submit(LinkDown(peer, link.reason))
        remaining = self.links.get(peer)
        if remaining:
            self.engine_task.submit(LinkUp(remaining[0].member))

    def received(self, link: PeerLink, frame: peer_pb2.Frame) -> None:
        """Pass a frame to the engine, or handle an invalid frame."""
        self._count(frame, 'received')
        peer = link.member.node
        decoded = frames.decode_frame(frame, peer, self.max_body_bytes)
        if decoded.is_ok():
            received = decoded.ok_value
            self.engine_task.submit(received.event, received.payload)
        else:
            self._handle_invalid_frame(link, decoded.err_value)

    def refuse_held(self, peer: NodeId) -> None:
        """Report the attempts in held frames to a peer as not run."""
        for frame in self.held.pop(peer, ()):
            self._refuse_unsent(peer, frame)

    def finish_all(self) -> None:
        """Close all links after their queued frames are written."""
        for links in tuple(self.links.values()):
            for link in links:
                link.finish()

    def _send_over(self, link: PeerLink, frame: peer_pb2.Frame) -> None:
        is_full = len(link.output.queued) >= MAX_HELD_FRAMES
        if is_full and frame.WhichOneof('kind') in _REQUEST_KINDS:
            # The peer reads too slowly. The call is refused as not run, so that
            # it can be sent to another target.
            self._refuse_unsent(link.member.node, frame)
        else:
            link.send(frame)

    def _remove(self, link: PeerLink) -> None:
        peer = link.member.node
        remaining = self.links.get(peer, [])
        if link in remaining:
            remaining.remove(link)
        if not remaining:
            self.links.pop(peer, None)

    def _refuse_unsent(self, peer: NodeId, frame: peer_pb2.Frame) -> None:
        kind = frame.WhichOneof('kind')
        if kind in _REQUEST_KINDS:
            attempt = AttemptId(getattr(frame, kind).attempt)
            self._refusal(peer, attempt, Outcome.NOT_RUN, Reason.LINK_LOST)

    def _refusal(
        self,
        peer: NodeId,
        attempt: AttemptId,
        outcome: Outcome,
        reason: Reason,
        load: LoadReport = UNREACHABLE,
    ) -> None:
        self.engine_task.submit(
            RefusalReceived(peer, attempt, outcome, reason, 0, load),
        )

    def _handle_invalid_frame(self, link: PeerLink, error: WireError) -> None:
        peer = link.member.node
        logs.warning('bad_frame', peer=peer, reason=error.reason)
        match error:
            case AnswerError(attempt=attempt, load=load):
                reason = Reason.INCOMPLETE_ANSWER
                self._refusal(peer, attempt, Outcome.UNKNOWN, reason, load)
            case RequestError():
                link.send(self._invalid_request(peer, error))
            case FrameError():
                link.fail(f'protocol error: {error.reason}')

    def _invalid_request(
        self,
        peer: NodeId,
        error: RequestError,
    ) -> peer_pb2.Frame:
        reason = Reason.MALFORMED_REQUEST
        if error.too_large:
            reason = Reason.TOO_LARGE
        refusal = actions.SendRefusal(
            peer=peer,
            attempt=error.attempt,
            outcome=Outcome.INVALID,
            reason=reason,
            retry_after_s=0,
            load=self.last_load,
        )
        return encoding.bodyless_frame(
            refusal,
            self.engine_task.engine.incarnation,
        )

    def _count(self, frame: peer_pb2.Frame, direction: str) -> None:
        kind = frame.WhichOneof('kind')
        if kind is not None and kind not in _CALL_FRAME_KINDS:
            size = frame.ByteSize()
            self.engine_task.metrics.count_frame(kind, direction, size)
