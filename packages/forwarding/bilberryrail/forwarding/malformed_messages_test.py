"""Tests of messages and announcements that no node of this version sends."""

import math
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberryrail.forwarding import messages
from bilberryrail.forwarding.bounds import (
    MAX_COUNT,
    MAX_CRASHES,
    MAX_NAME,
    MAX_SUSPECTS,
)
from bilberryrail.forwarding.fixtures_test import forward, peer
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.records import (
    BackendLoad,
    BackendRun,
    CrashRecord,
    Fingerprint,
    InstanceId,
    Refusal,
)

DEEP = b'\x91' * 100_000
INVALID_NUMBERS = (
    math.nan,
    math.inf,
    -math.inf,
    1e300,
    2**64 - 1,
    -(2**63),
    -1,
)

_MESSAGES = (
    messages.Forward,
    messages.Answered,
    messages.Refused,
    messages.Load,
    messages.Progress,
    messages.Announce,
)
_scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**64 - 1),
    st.floats(),
    st.text(max_size=3),
    st.binary(max_size=3),
)
_anything = st.recursive(
    _scalars, lambda inner: st.lists(inner, max_size=16), max_leaves=20
)


def rejected(payload):
    """Return whether a message is rejected as invalid."""
    try:
        messages.decode(payload)
    except messages.MessageError:
        return True
    return False


def with_field(message, index, invalid):
    """Encode a message in which one field has another value."""
    fields = msgspec.msgpack.decode(messages.encode(message))
    fields[index + 1] = invalid
    return msgspec.msgpack.encode(fields)


def test_deeply_nested_message_is_rejected():
    # Guards against an error that is not expected of a decoder and ends the
    # task that reads: RecursionError.
    ping_with_a_field = b'\x92\x08'
    assert rejected(ping_with_a_field + DEEP)
    peer_with_a_field = b'\x81\xa1x'
    with pytest.raises(messages.MessageError, match='recursion'):
        messages.decode_peer(peer_with_a_field + DEEP)


@pytest.mark.parametrize('invalid', INVALID_NUMBERS)
@pytest.mark.parametrize('field', ['remaining_s', 'max_answer_s', 'priority'])
def test_request_with_a_number_out_of_range_is_rejected(field, invalid):
    # Guards against a target that cannot pass a remaining time on, and against
    # timers that never fire.
    fields = messages.Forward.__struct_fields__
    payload = with_field(forward(1), fields.index(field), invalid)
    is_allowed = field == 'priority' and invalid == -1
    assert rejected(payload) is not is_allowed


@pytest.mark.parametrize('invalid', INVALID_NUMBERS)
def test_load_report_with_a_number_out_of_range_is_rejected(invalid):
    # Guards against estimates that an infinite duration spoils for good.
    for field in ('running', 'limit', 'slowdown', 'service_s', 'memory_s'):
        load = BackendLoad(**{field: invalid})
        assert rejected(messages.encode(messages.Load(load)))


def test_retry_time_without_end_is_rejected():
    # Guards against clients that are told to wait for ever.
    refusal = messages.Refused(1, Refusal.BUSY, math.inf, None)
    assert rejected(messages.encode(refusal))


@settings(derandomize=True, max_examples=400, deadline=None)
@given(st.sampled_from(_MESSAGES), st.lists(_anything, max_size=20))
def test_whatever_is_accepted_can_be_passed_on(kind, fields):
    # Guards against numbers that are accepted but cannot be encoded again, so
    # that one node keeps the others from being told.
    payload = msgspec.msgpack.encode([kind.__struct_config__.tag, *fields])
    try:
        message = messages.decode(payload)
    except messages.MessageError:
        return
    assert messages.decode(messages.encode(message)) == message


def test_announcement_with_a_number_out_of_range_is_rejected():
    # Guards against a port that cannot be connected to, and against a sum of
    # versions that no message can carry.
    invalid_fields = (
        ('port', 0),
        ('port', 70_000),
        ('started_ms', 2**60),
        ('serial', 2**60),
        ('born_ms', -1),
    )
    for name, invalid in invalid_fields:
        fields = msgspec.msgpack.decode(messages.encode_peer(peer('n2')))
        fields[name] = invalid
        with pytest.raises(messages.MessageError):
            messages.decode_peer(msgspec.msgpack.encode(fields))


def test_sum_of_versions_of_a_large_fleet_can_be_passed_on():
    # Guards against progress messages that cannot be encoded.
    membership = Membership(peer('n0'))
    membership.merge(
        peer(f'n{number}', started_ms=2**43, serial=MAX_COUNT)
        for number in range(1, 200)
    )
    per_node = membership.version_sum / 200
    assert per_node * 19_000 < 2**63


def crash(suspects=1, size=12):
    found = (Fingerprint(bytes(size)),) * suspects
    return CrashRecord(BackendRun(InstanceId('i1')), 1000, found)


@pytest.mark.parametrize(
    'announced',
    [
        replace(peer('n2'), service='s' * (MAX_NAME + 1)),
        replace(peer('n2'), instance='i' * (MAX_NAME + 1)),
        replace(peer('n2'), crashes=(crash(),) * (MAX_CRASHES + 1)),
        replace(peer('n2'), crashes=(crash(suspects=MAX_SUSPECTS + 1),)),
        replace(peer('n2'), crashes=(crash(size=1000),)),
    ],
)
def test_announcement_that_is_too_large_is_rejected(announced):
    # Guards against a record of another writer that makes the first message of
    # all links too long, so that no node can open a link.
    with pytest.raises(messages.MessageError):
        messages.decode_peer(messages.encode_peer(announced))
    hello = messages.Hello(peer('n2'), 'n1', crashes=announced.crashes)
    assert rejected(messages.encode(messages.Announce(announced)))
    assert rejected(messages.encode(hello)) is bool(announced.crashes)
