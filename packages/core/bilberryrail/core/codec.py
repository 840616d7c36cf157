"""MessagePack codec of log records and cluster states.

A record is encoded as an envelope ``{"kind": ..., "body": ...}``; the kind
selects the data class of the body. Unknown fields are ignored, so that nodes
of two versions can read the same log during a rolling upgrade.
"""

from types import MappingProxyType
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from bilberryrail.core import records
from bilberryrail.core.errors import DECODE_ERRORS, CodecError

_RECORD_TYPES: Final = MappingProxyType(
    {
        'change': records.Change,
        'join': records.Join,
        'leave': records.Leave,
        'evict': records.Evict,
        'snapshot-part': records.SnapshotPart,
    }
)
_RECORD_KINDS: Final = MappingProxyType(
    {record: kind for kind, record in _RECORD_TYPES.items()},
)

_EDIT_TYPES: Final = MappingProxyType(
    {
        'service': records.ServiceEdit,
        'tenant': records.TenantEdit,
        'availability-zone': records.AvailabilityZoneEdit,
    }
)
_EDIT_KINDS: Final = MappingProxyType(
    {edit: kind for kind, edit in _EDIT_TYPES.items()},
)


class _Envelope(msgspec.Struct):
    """An encoded record or edit with the name of its kind."""

    kind: str
    body: msgspec.Raw


class _ChangeBody(msgspec.Struct):
    """Body of a change; each edit is an envelope of its own."""

    record_id: str
    base_offset: int
    author: str
    edits: list[_Envelope]


_encoder = msgspec.msgpack.Encoder()


def encode_record(record: records.Record) -> bytes:
    """Encode a record for the log."""
    if isinstance(record, records.Unreadable):
        return record.payload
    body: Any = record
    if isinstance(record, records.Change):
        body = _ChangeBody(
            record_id=record.record_id,
            base_offset=record.base_offset,
            author=record.author,
            edits=[_encode_edit(edit) for edit in record.edits],
        )
    return _encode_envelope(_RECORD_KINDS[type(record)], body)


def decode_record(encoded: bytes) -> Result[records.Record, CodecError]:
    """Decode a record read from the log or from another node."""
    try:
        return Ok(_decode_record(encoded))
    except DECODE_ERRORS as error:
        return Err(CodecError(reason=f'record cannot be decoded: {error}'))


def decode_record_leniently(encoded: bytes) -> records.Record:
    """Decode a record; return undecodable bytes as ``Unreadable``."""
    return decode_record(encoded).unwrap_or(records.Unreadable(encoded))


def encode_state(state: records.ClusterState) -> bytes:
    """Encode a cluster state for a snapshot."""
    return _encoder.encode(state)


def decode_state(encoded: bytes) -> Result[records.ClusterState, CodecError]:
    """Decode a cluster state from the parts of a snapshot."""
    try:
        return Ok(msgspec.msgpack.decode(encoded, type=records.ClusterState))
    except DECODE_ERRORS as error:
        return Err(CodecError(reason=f'state cannot be decoded: {error}'))


def _encode_envelope(kind: str, body: Any) -> bytes:
    raw = msgspec.Raw(_encoder.encode(body))
    return _encoder.encode(_Envelope(kind=kind, body=raw))


def _encode_edit(edit: records.Edit) -> _Envelope:
    raw = msgspec.Raw(_encoder.encode(edit))
    return _Envelope(kind=_EDIT_KINDS[type(edit)], body=raw)


def _decode_record(encoded: bytes) -> records.Record:
    envelope = msgspec.msgpack.decode(encoded, type=_Envelope)
    record_type = _RECORD_TYPES.get(envelope.kind)
    if record_type is None:
        raise msgspec.ValidationError(
            f'record kind {envelope.kind!r} is not one of '
            f'{sorted(_RECORD_TYPES)}',
        )
    if record_type is records.Change:
        return _decode_change(envelope.body)
    return msgspec.msgpack.decode(envelope.body, type=record_type)


def _decode_change(body: msgspec.Raw) -> records.Change:
    change = msgspec.msgpack.decode(body, type=_ChangeBody)
    return records.Change(
        record_id=records.RecordId(change.record_id),
        base_offset=records.Offset(change.base_offset),
        author=change.author,
        edits=tuple(_decode_edit(edit) for edit in change.edits),
    )


def _decode_edit(edit: _Envelope) -> records.Edit:
    edit_type = _EDIT_TYPES.get(edit.kind)
    if edit_type is None:
        raise msgspec.ValidationError(
            f'edit kind {edit.kind!r} is not one of {sorted(_EDIT_TYPES)}',
        )
    return msgspec.msgpack.decode(edit.body, type=edit_type)
