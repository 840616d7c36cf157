"""Convert frames from other nodes into events of the engine.

An invalid frame is returned as an error value, so that no input from another
node raises an exception.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from result import Err, Ok, Result

from bilberryrail.control import messages
from bilberryrail.core.codec import decode_state
from bilberryrail.core.ids import (
    AttemptId,
    Incarnation,
    NodeId,
    Offset,
    ServiceId,
    TenantId,
)
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import Member
from bilberryrail.policy import events
from bilberryrail.wire import parts, peer_pb2
from bilberryrail.wire.content import (
    AnswerContent,
    CallContent,
    Payload,
    checksum,
)
from bilberryrail.wire.errors import (
    AnswerError,
    FrameError,
    RequestError,
    WireError,
)

_MIN_STATUS: Final = 100
_MAX_STATUS: Final = 599
_REFUSAL_OUTCOMES: Final = frozenset(
    (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.INVALID),
)


@dataclass(frozen=True, slots=True)
class Received:
    """An event from another node, and the body that came with it, if any."""

    event: events.Event
    payload: Payload | None = None


_Decoded = Result[Received, WireError]


def decode_hello(frame: peer_pb2.Frame | None) -> Result[Member, FrameError]:
    """Decode the first frame of a link."""
    if frame is None or frame.WhichOneof('kind') != 'hello':
        return Err(FrameError('the first frame is not a Hello'))
    if not frame.hello.HasField('member'):
        return Err(FrameError('hello: member is missing'))
    try:
        return Ok(parts.member_from_wire(frame.hello.member))
    except parts.InvalidMessageError as error:
        return Err(FrameError(f'hello: {error}'))


def decode_frame(
    frame: peer_pb2.Frame,
    peer: NodeId,
    max_body_bytes: int,
) -> _Decoded:
    """Decode a frame that follows the Hello on a link to ``peer``."""
    kind = frame.WhichOneof('kind')
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return Err(FrameError(f'frame of kind {kind} is not expected'))
    message = getattr(frame, kind)
    try:
        return decoder(message, peer, max_body_bytes)
    except parts.InvalidMessageError as error:
        return Err(FrameError(f'{kind}: {error}'))


def _call_request(
    message: peer_pb2.CallRequest,
    peer: NodeId,
    max_body_bytes: int,
) -> _Decoded:
    attempt = AttemptId(message.attempt)
    body_error = _body_error(message, max_body_bytes)
    if body_error:
        too_large = len(message.body) > max_body_bytes
        return Err(RequestError(attempt, body_error, too_large))
    event = events.AttemptReceived(
        peer=peer,
        attempt=attempt,
        service=ServiceId(parts.checked_name(message.service, 'service')),
        tenant=TenantId(parts.checked_name(message.tenant, 'tenant')),
        limits=parts.limits_from_wire(message),
        size=len(message.body),
        token=events.Token(message.token) if message.token else None,
    )
    payload = CallContent(message.path, message.content_type, message.body)
    return Ok(Received(event, payload))


def _call_answer(
    message: peer_pb2.CallAnswer,
    peer: NodeId,
    max_body_bytes: int,
) -> _Decoded:
    attempt = AttemptId(message.attempt)
    load = parts.load_from_wire(message)
    body_error = _body_error(message, max_body_bytes)
    if body_error:
        return Err(AnswerError(attempt, body_error, load))
    if not _MIN_STATUS <= message.status <= _MAX_STATUS:
        raise parts.InvalidMessageError(
            f'status {message.status} is not an HTTP status'
        )
    event = events.AnswerReceived(
        peer=peer,
        attempt=attempt,
        status=message.status,
        size=len(message.body),
        load=load,
    )
    return Ok(
        Received(event, AnswerContent(message.content_type, message.body))
    )


def _body_error(message: Any, max_body_bytes: int) -> str:
    size = len(message.body)
    if size > max_body_bytes:
        return f'body of {size} bytes exceeds {max_body_bytes}'
    if size != message.length:
        return f'body has {size} of {message.length} bytes'
    if checksum(message.body) != message.crc32:
        return 'body does not match its CRC-32'
    return ''


def _call_refusal(
    message: peer_pb2.CallRefusal,
    peer: NodeId,
    _: int,
) -> _Decoded:
    outcome = _OUTCOMES.get(message.outcome)
    if outcome not in _REFUSAL_OUTCOMES:
        raise parts.InvalidMessageError(
            f'outcome {message.outcome!r:.80} is not known'
        )
    reason = _REASONS.get(message.reason)
    if reason is None:
        raise parts.InvalidMessageError(
            f'reason {message.reason!r:.80} is not known'
        )
    event = events.RefusalReceived(
        peer=peer,
        attempt=AttemptId(message.attempt),
        outcome=outcome,
        reason=reason,
        retry_after_s=parts.checked_duration(
            message.retry_after_s,
            'retry_after_s',
        ),
        load=parts.load_from_wire(message),
    )
    return Ok(Received(event))


def _call_cancel(
    message: peer_pb2.CallCancel, peer: NodeId, _: int
) -> _Decoded:
    event = events.CancelReceived(peer, AttemptId(message.attempt))
    return Ok(Received(event))


def _reservation_request(
    message: peer_pb2.ReservationRequest,
    peer: NodeId,
    _: int,
) -> _Decoded:
    event = events.ReservationReceived(
        peer=peer,
        attempt=AttemptId(message.attempt),
        service=ServiceId(parts.checked_name(message.service, 'service')),
        tenant=TenantId(parts.checked_name(message.tenant, 'tenant')),
        limits=parts.limits_from_wire(message),
    )
    return Ok(Received(event))


def _reservation_reply(
    message: peer_pb2.ReservationReply,
    peer: NodeId,
    _: int,
) -> _Decoded:
    if not message.token:
        raise parts.InvalidMessageError('token is missing')
    event = events.ReservationGranted(
        peer=peer,
        attempt=AttemptId(message.attempt),
        token=events.Token(message.token),
        load=parts.load_from_wire(message),
    )
    return Ok(Received(event))


def _probe(message: peer_pb2.Probe, peer: NodeId, _: int) -> _Decoded:
    return Ok(Received(events.ProbeReceived(peer, message.probe)))


def _probe_reply(
    message: peer_pb2.ProbeReply, peer: NodeId, _: int
) -> _Decoded:
    load = parts.load_from_wire(message)
    return Ok(Received(events.ProbeReplied(peer, message.probe, load)))


def _subscribe(message: peer_pb2.Subscribe, peer: NodeId, _: int) -> _Decoded:
    event = messages.SubscribeReceived(
        peer=peer,
        applied=Offset(message.applied),
        heartbeats_only=message.heartbeats_only,
    )
    return Ok(Received(event))


def _records(message: peer_pb2.Records, peer: NodeId, _: int) -> _Decoded:
    event = messages.RecordsReceived(
        peer=peer,
        entries=tuple(
            parts.entry_from_wire(entry) for entry in message.entries
        ),
        current=Offset(message.current),
        unlogged=tuple(
            parts.member_from_wire(member) for member in message.unlogged
        ),
    )
    return Ok(Received(event))


def _state(message: peer_pb2.State, peer: NodeId, _: int) -> _Decoded:
    state = decode_state(message.state)
    if state.is_err():
        raise parts.InvalidMessageError(state.unwrap_err().reason)
    return Ok(Received(messages.StateReceived(peer, state.unwrap())))


def _status_report(
    message: peer_pb2.StatusReport,
    peer: NodeId,
    _: int,
) -> _Decoded:
    event = messages.StatusReceived(peer, parts.report_from_wire(message))
    return Ok(Received(event))


def _draining(message: peer_pb2.Draining, peer: NodeId, _: int) -> _Decoded:
    event = messages.DrainingReceived(peer, Incarnation(message.incarnation))
    return Ok(Received(event))


_OUTCOMES: Final = MappingProxyType(
    {outcome.value: outcome for outcome in Outcome},
)
_REASONS: Final = MappingProxyType(
    {reason.value: reason for reason in Reason},
)
_DECODERS: Final[Mapping[str | None, Callable[..., _Decoded]]] = (
    MappingProxyType(
        {
            'call_request': _call_request,
            'call_answer': _call_answer,
            'call_refusal': _call_refusal,
            'call_cancel': _call_cancel,
            'reservation_request': _reservation_request,
            'reservation_reply': _reservation_reply,
            'probe': _probe,
            'probe_reply': _probe_reply,
            'subscribe': _subscribe,
            'records': _records,
            'state': _state,
            'status_report': _status_report,
            'draining': _draining,
        },
    )
)
