"""Messages between nodes about forwarded requests.

They are encoded as MessagePack arrays, so fields may only be added at the end.
"""

from typing import Annotated, Final

import msgspec

from bilberryrail.core.errors import DECODE_ERRORS
from bilberryrail.core.ids import (
    AttemptId,
    AvailabilityZoneId,
    NodeId,
    ServiceId,
)
from bilberryrail.forwarding.bounds import MAX_NAME, Count, Duration, Number
from bilberryrail.forwarding.records import (
    NO_FINGERPRINT,
    BackendLoad,
    ConfigVersion,
    Crashes,
    Failure,
    Fingerprint,
    HttpAnswer,
    HttpRequest,
    Peer,
    Refusal,
    RouteId,
    StoreEra,
    StorePosition,
    TrafficConfig,
)
from bilberryrail.forwarding.run_statements import KnownRun

_Service = Annotated[ServiceId, msgspec.Meta(max_length=MAX_NAME)]


class Hello(msgspec.Struct, array_like=True, tag=0):
    """First message in both directions of a link.

    Attributes
    ----------
    expected
        Node that the sender wants to reach. Another one may have taken over its
        address.
    accepts_compression
        Whether the sender can decode compressed messages.
    known
        What the sender knows that the backend server of the expected node has
        stated; None if it has stated nothing that matters.
    crashes
        Crashes for which the sender has requests in quarantine.
    accepts_body_parts
        Whether the sender accepts bodies of requests in parts.
    """

    peer: Peer
    expected: NodeId
    accepts_compression: bool = False
    known: KnownRun | None = None
    crashes: Crashes = ()
    accepts_body_parts: bool = False


class Announce(msgspec.Struct, array_like=True, tag=1):
    """Announces a node whose state has changed."""

    peer: Peer


class Forward(msgspec.Struct, array_like=True, tag=2):
    """Asks a target to run a request.

    Earlier versions send one more boolean at the end.

    Attributes
    ----------
    request_id
        Id of the client's attempt, for logs and for the backend server.
    remaining_s
        Remaining time until the deadline, in seconds.
    target_latency_left_s
        Remaining time until the target latency is missed, in seconds.
    max_answer_s
        Expected time to an answer above which the target refuses the request,
        because another target would be faster; zero if the request may wait.
    priority
        Priority of the route; the lowest number goes first.
    fingerprint
        Identifies the request's content.
    is_trial
        Whether it is sent although it is quarantined.
    body_bytes
        Size of a body that follows in parts; zero if ``request`` has the body.
    service
        The only service that may run the request; empty if an earlier version
        sends it.
    """

    attempt: AttemptId
    request_id: str
    route: RouteId
    request: HttpRequest
    remaining_s: Duration
    target_latency_left_s: Duration
    max_answer_s: Duration
    priority: Number
    idempotent: bool
    fingerprint: Fingerprint = NO_FINGERPRINT
    is_trial: bool = False
    body_bytes: Count = 0
    service: _Service = ServiceId('')


class Cancel(msgspec.Struct, array_like=True, tag=3):
    """Cancels a request."""

    attempt: AttemptId


class Answered(msgspec.Struct, array_like=True, tag=4):
    """The backend server's complete answer.

    Attributes
    ----------
    usual_s
        Usual duration of the route's requests at the target, in seconds.
    """

    attempt: AttemptId
    answer: HttpAnswer
    load: BackendLoad
    usual_s: Duration = 0


class Refused(msgspec.Struct, array_like=True, tag=5):
    """The request has not run and will not run."""

    attempt: AttemptId
    reason: Refusal
    retry_after_s: Duration
    load: BackendLoad | None


class Failed(msgspec.Struct, array_like=True, tag=6):
    """The request may have run and has no answer."""

    attempt: AttemptId
    reason: Failure
    load: BackendLoad | None


class Load(msgspec.Struct, array_like=True, tag=7):
    """Reports the load of the sender's backend server."""

    load: BackendLoad


class Ping(msgspec.Struct, array_like=True, tag=8):
    """Asks for a pong, to check that the link works."""


class Pong(msgspec.Struct, array_like=True, tag=9):
    """Answers a ping."""

    load: BackendLoad


class Progress(msgspec.Struct, array_like=True, tag=10):
    """How current the sender's state is.

    Attributes
    ----------
    offset
        Offset of the first operator record that it has not applied.
    version_sum
        Sum of the versions of all nodes' announcements that it knows.
    is_reader
        Whether it reads the store for its availability zone.
    era
        Era of the store to which the offset belongs.
    version
        Version of the sender's configuration; zero if it has none.
    """

    offset: Count
    version_sum: int
    is_reader: bool = False
    era: StoreEra = StoreEra(0)
    version: ConfigVersion = ConfigVersion(0)

    @property
    def position(self) -> StorePosition:
        """Position up to which the sender has applied records."""
        return StorePosition(self.era, self.offset)

    def has_newer_operators(self, other: 'Progress') -> bool:
        """Return whether the sender knows operator state that other does not.

        A later position alone does not tell: a restored store may have lost a
        configuration that nodes have adopted.
        """
        return self.position > other.position or self.version > other.version

    def has_newer_nodes(self, other: 'Progress') -> bool:
        """Return whether the sender knows announcements that other does not."""
        return self.version_sum > other.version_sum

    def is_ahead_of(self, other: 'Progress') -> bool:
        """Return whether the sender knows anything that other does not."""
        return self.has_newer_operators(other) or self.has_newer_nodes(other)


class OperatorSnapshot(msgspec.Struct, array_like=True, tag=11):
    """The complete operator state up to an offset.

    Attributes
    ----------
    era
        Era of the store to which the offset belongs.
    unconfirmed_zones
        Availability zones that are out only according to an earlier era; they
        are not in ``zones_out``.
    """

    offset: Count
    config: TrafficConfig | None
    zones_out: tuple[AvailabilityZoneId, ...]
    era: StoreEra = StoreEra(0)
    unconfirmed_zones: tuple[AvailabilityZoneId, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Position up to which records are included."""
        return StorePosition(self.era, self.offset)


class Nodes(msgspec.Struct, array_like=True, tag=12):
    """All nodes that the sender knows."""

    peers: list[Peer]


class BodyPart(msgspec.Struct, array_like=True, tag=13):
    """The next part of the body of a request that was sent without it."""

    attempt: AttemptId
    body: bytes


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
    | BodyPart
)

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Message)
_PEER_DECODER: Final = msgspec.msgpack.Decoder(Peer)


class MessageError(Exception):
    """Raised if bytes from a peer or the store are not a valid message."""


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(payload: bytes) -> Message:
    """Decode a message; raise ``MessageError`` if it is not valid."""
    try:
        return _DECODER.decode(payload)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error


def encode_peer(peer: Peer) -> bytes:
    """Encode a node's announcement for the store."""
    return _ENCODER.encode(peer)


def decode_peer(payload: bytes) -> Peer:
    """Decode a node's announcement; raise ``MessageError`` if not valid."""
    try:
        return _PEER_DECODER.decode(payload)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error
