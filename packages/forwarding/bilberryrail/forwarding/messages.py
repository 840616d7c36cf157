"""Messages between nodes about forwarded requests.

They are MessagePack arrays; fields may only be added at the end.
"""

from typing import Final

import msgspec

from bilberryrail.core.ids import AttemptId, AvailabilityZoneId, NodeId
from bilberryrail.forwarding.records import (
    BackendLoad,
    Failure,
    HttpAnswer,
    HttpRequest,
    Peer,
    Refusal,
    RouteId,
    TrafficConfig,
)


class Hello(msgspec.Struct, array_like=True, tag=0):
    """First message in both directions of a link.

    Attributes
    ----------
    expected
        Node that the sender wants to reach. Another one may have taken over
        its address.
    accepts_compression
        Whether the sender reads compressed messages.
    """

    peer: Peer
    expected: NodeId
    accepts_compression: bool = False


class Announce(msgspec.Struct, array_like=True, tag=1):
    """A node has changed."""

    peer: Peer


class Forward(msgspec.Struct, array_like=True, tag=2):
    """Asks a target to run a request.

    Attributes
    ----------
    request_id
        Id of the client's attempt, for logs and for the backend server.
    remaining_s
        Time until nobody waits for the answer any more.
    max_answer_s
        Longest time to an answer that is better than the next choice; zero
        if there is none, so that the request may wait.
    priority
        Urgency; the lowest goes first.
    """

    attempt: AttemptId
    request_id: str
    route: RouteId
    request: HttpRequest
    remaining_s: float
    target_latency_left_s: float
    max_answer_s: float
    priority: int
    idempotent: bool


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Gives up a request."""

    attempt: AttemptId


class Answered(msgspec.Struct, array_like=True, tag=4):
    """The backend server's whole answer.

    Attributes
    ----------
    usual_s
        Usual duration of the route's requests at the target, in seconds.
    """

    attempt: AttemptId
    answer: HttpAnswer
    load: BackendLoad
    usual_s: float = 0


class Refused(msgspec.Struct, array_like=True, tag=5):
    """The request has not run and will not run."""

    attempt: AttemptId
    reason: Refusal
    retry_after_s: float
    load: BackendLoad | None


class Failed(msgspec.Struct, array_like=True, tag=6):
    """The request may have run and has no answer."""

    attempt: AttemptId
    reason: Failure
    load: BackendLoad | None


class Load(msgspec.Struct, array_like=True, tag=7):
    """The load of the sender's backend server has changed."""

    load: BackendLoad


class Ping(msgspec.Struct, array_like=True, tag=8):
    """Asks for a sign of life."""


class Pong(msgspec.Struct, array_like=True, tag=9):
    """Answers a ping."""

    load: BackendLoad


class Progress(msgspec.Struct, array_like=True, tag=10):
    """How much the sender knows.

    Attributes
    ----------
    offset
        Offset up to which it has read the operators' records.
    version_sum
        Changes of nodes that it has heard of, summed over all nodes.
    is_reader
        Whether it reads the store for its availability zone.
    """

    offset: int
    version_sum: int
    is_reader: bool = False


class OperatorSnapshot(msgspec.Struct, array_like=True, tag=11):
    """All that the operators want, up to an offset."""

    offset: int
    config: TrafficConfig | None
    zones_out: tuple[AvailabilityZoneId, ...]


class Nodes(msgspec.Struct, array_like=True, tag=12):
    """All nodes that the sender has heard of."""

    peers: list[Peer]


Message = (
    Hello
    | Announce
    | Forward
    | Cancel
    | Answered
    | Refused
    | Failed
    | Load
    | Ping
    | Pong
    | Progress
    | Nodes
    | OperatorSnapshot
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)
_PEER_DECODER: Final = msgspec.msgpack.Decoder(Peer)


class MessageError(Exception):
    """Bytes from a peer or the store that are no message."""


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(payload: bytes) -> Message:
    """Decode a message; raises ``MessageError``."""
    try:
        return _DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MessageError(str(error)) from error


def encode_peer(peer: Peer) -> bytes:
    """Encode a node's announcement for the store."""
    return _ENCODER.encode(peer)


def decode_peer(payload: bytes) -> Peer:
    """Decode a node's announcement; raises ``MessageError``."""
    try:
        return _PEER_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MessageError(str(error)) from error
