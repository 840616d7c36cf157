"""Convert frames from other nodes into events of the engine.

A frame that cannot be used gives an error value; no input raises.
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

_LOWEST_STATUS: Final = 100
_HIGHEST_STATUS: Final = 599
_REFUSAL_OUTCOMES: Final = frozenset(
    (Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.INVALID),
)


@dataclass(frozen=True, slots=True)
class Received:
    """An event from another node, and the content that came with it."""

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
    except parts.PartError as error:
        return Err(FrameError(f'hello: {error}'))


def decode_frame(
    frame: peer_pb2.Frame,
    peer: NodeId,
    max_body_bytes: int,
) -> _Decoded:
    """Decode any later frame of a link to ``peer``."""
    kind = frame.WhichOneof('kind')
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return Err(FrameError(f'frame of kind {kind} is not expected'))
    body = getattr(frame, kind)
    try:
        return decoder(body, peer, max_body_bytes)
    except parts.PartError as error:
        return Err(FrameError(f'{kind}: {error}'))


def _call_request(
    found: peer_pb2.CallRequest,
    peer: NodeId,
    max_body_bytes: int,
) -> _Decoded:
    attempt = AttemptId(found.attempt)
    fault = _body_fault(found, max_body_bytes)
    if fault:
        too_large = len(found.body) > max_body_bytes
        return Err(RequestError(attempt, fault, too_large))
    event = events.AttemptReceived(
        peer=peer,
        attempt=attempt,
        service=ServiceId(parts.checked_name(found.service, 'service')),
        tenant=TenantId(parts.checked_name(found.tenant, 'tenant')),
        limits=parts.limits_from_wire(found),
        size=len(found.body),
        token=events.Token(found.token) if found.token else None,
    )
    payload = CallContent(found.path, found.content_type, found.body)
    return Ok(Received(event, payload))


def _call_answer(
    found: peer_pb2.CallAnswer,
    peer: NodeId,
    max_body_bytes: int,
) -> _Decoded:
    attempt = AttemptId(found.attempt)
    load = parts.load_from_wire(found)
    fault = _body_fault(found, max_body_bytes)
    if fault:
        return Err(AnswerError(attempt, fault, load))
    if not _LOWEST_STATUS <= found.status <= _HIGHEST_STATUS:
        raise parts.PartError(f'status {found.status} is not an HTTP status')
    event = events.AnswerReceived(
        peer=peer,
        attempt=attempt,
        status=found.status,
        size=len(found.body),
        load=load,
    )
    return Ok(Received(event, AnswerContent(found.content_type, found.body)))


def _body_fault(found: Any, max_body_bytes: int) -> str:
    size = len(found.body)
    if size > max_body_bytes:
        return f'body of {size} bytes exceeds {max_body_bytes}'
    if size != found.length:
        return f'body has {size} of {found.length} bytes'
    if checksum(found.body) != found.crc32:
        return 'body does not match its CRC-32'
    return ''


def _call_refusal(
    found: peer_pb2.CallRefusal,
    peer: NodeId,
    _: int,
) -> _Decoded:
    outcome = _OUTCOMES.get(found.outcome)
    if outcome not in _REFUSAL_OUTCOMES:
        raise parts.PartError(f'outcome {found.outcome!r:.80} is not known')
    reason = _REASONS.get(found.reason)
    if reason is None:
        raise parts.PartError(f'reason {found.reason!r:.80} is not known')
    event = events.RefusalReceived(
        peer=peer,
        attempt=AttemptId(found.attempt),
        outcome=outcome,
        reason=reason,
        retry_after_s=parts.checked_duration(
            found.retry_after_s,
            'retry_after_s',
        ),
        load=parts.load_from_wire(found),
    )
    return Ok(Received(event))


def _call_cancel(found: peer_pb2.CallCancel, peer: NodeId, _: int) -> _Decoded:
    event = events.CancelReceived(peer, AttemptId(found.attempt))
    return Ok(Received(event))


def _reservation_request(
    found: peer_pb2.ReservationRequest,
    peer: NodeId,
    _: int,
) -> _Decoded:
    event = events.ReservationReceived(
        peer=peer,
        attempt=AttemptId(found.attempt),
        service=ServiceId(parts.checked_name(found.service, 'service')),
        tenant=TenantId(parts.checked_name(found.tenant, 'tenant')),
        limits=parts.limits_from_wire(found),
    )
    return Ok(Received(event))


def _reservation_reply(
    found: peer_pb2.ReservationReply,
    peer: NodeId,
    _: int,
) -> _Decoded:
    if not found.token:
        raise parts.PartError('token is missing')
    event = events.ReservationGranted(
        peer=peer,
        attempt=AttemptId(found.attempt),
        token=events.Token(found.token),
        load=parts.load_from_wire(found),
    )
    return Ok(Received(event))


def _probe(found: peer_pb2.Probe, peer: NodeId, _: int) -> _Decoded:
    return Ok(Received(events.ProbeReceived(peer, found.probe)))


def _probe_reply(found: peer_pb2.ProbeReply, peer: NodeId, _: int) -> _Decoded:
    load = parts.load_from_wire(found)
    return Ok(Received(events.ProbeReplied(peer, found.probe, load)))


def _subscribe(found: peer_pb2.Subscribe, peer: NodeId, _: int) -> _Decoded:
    event = messages.SubscribeReceived(
        peer=peer,
        applied=Offset(found.applied),
        heartbeats_only=found.heartbeats_only,
    )
    return Ok(Received(event))


def _records(found: peer_pb2.Records, peer: NodeId, _: int) -> _Decoded:
    event = messages.RecordsReceived(
        peer=peer,
        entries=tuple(parts.entry_from_wire(entry) for entry in found.entries),
        current=Offset(found.current),
        unlogged=tuple(
            parts.member_from_wire(member) for member in found.unlogged
        ),
    )
    return Ok(Received(event))


def _state(found: peer_pb2.State, peer: NodeId, _: int) -> _Decoded:
    state = decode_state(found.state)
    if state.is_err():
        raise parts.PartError(state.unwrap_err().reason)
    return Ok(Received(messages.StateReceived(peer, state.unwrap())))


def _status_report(
    found: peer_pb2.StatusReport,
    peer: NodeId,
    _: int,
) -> _Decoded:
    event = messages.StatusReceived(peer, parts.report_from_wire(found))
    return Ok(Received(event))


def _draining(found: peer_pb2.Draining, peer: NodeId, _: int) -> _Decoded:
    event = messages.DrainingReceived(peer, Incarnation(found.incarnation))
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
