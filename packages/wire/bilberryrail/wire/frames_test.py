"""Tests of the conversion between frames and the engine's messages."""

import random
from types import MappingProxyType

import pytest

from bilberryrail.control import messages
from bilberryrail.core.load import LoadReport, Outcome, Reason
from bilberryrail.core.records import (
    ClusterState,
    Join,
    LogEntry,
    Member,
    Unreadable,
)
from bilberryrail.policy import actions, events
from bilberryrail.wire import encoding, frames, peer_pb2
from bilberryrail.wire.content import AnswerContent, CallContent
from bilberryrail.wire.errors import AnswerError, FrameError, RequestError

LOAD = LoadReport(in_flight=1, limit=4, queued=2, latency_s=0.25, cold=True)
LIMITS = events.CallLimits(0.5, 3, ('ege',))
MEMBER = Member('n2', 2**64 - 1, 'bookings', 'ub1', 'ege', 'h', 1, 65535)
STATUS = MappingProxyType(
    {'ub1': messages.ZoneStatus('ege', -1, 3, 0.5)},
)
ENTRY = LogEntry(7, Join('r1', MEMBER))
REQUEST = actions.SendAttempt('n2', 5, 9, 'bookings', 'club', LIMITS, 'tok')
ANSWER = actions.SendAnswer('n2', 5, 9, 200, LOAD)

PLAIN = (
    (actions.SendCancel('n2', 5), events.CancelReceived('n1', 5)),
    (
        actions.SendReservation('n2', 5, 'bookings', 'club', LIMITS),
        events.ReservationReceived('n1', 5, 'bookings', 'club', LIMITS),
    ),
    (actions.SendProbe('n2', 8), events.ProbeReceived('n1', 8)),
    (
        actions.SendRefusal(
            'n2', 5, Outcome.NOT_RUN, Reason.OVERLOADED, 0.5, LOAD
        ),
        events.RefusalReceived(
            'n1', 5, Outcome.NOT_RUN, Reason.OVERLOADED, 0.5, LOAD
        ),
    ),
    (
        actions.SendToken('n2', 5, 'tok', LOAD),
        events.ReservationGranted('n1', 5, 'tok', LOAD),
    ),
    (
        actions.SendProbeReply('n2', 8, LOAD),
        events.ProbeReplied('n1', 8, LOAD),
    ),
    (
        messages.SendSubscribe('n2', -1),
        messages.SubscribeReceived('n1', -1),
    ),
    (
        messages.SendSubscribe('n2', 7, heartbeats_only=True),
        messages.SubscribeReceived('n1', 7, heartbeats_only=True),
    ),
    (
        messages.SendRecords('n2', (ENTRY,), 9, (MEMBER,)),
        messages.RecordsReceived('n1', (ENTRY,), 9, (MEMBER,)),
    ),
    (
        messages.SendState('n2', ClusterState(offset=3)),
        messages.StateReceived('n1', ClusterState(offset=3)),
    ),
    (
        messages.SendStatus('n2', STATUS),
        messages.StatusReceived('n1', dict(STATUS)),
    ),
    (messages.SendDraining('n2'), messages.DrainingReceived('n1', 77)),
)


def serialize_and_parse(frame):
    return peer_pb2.Frame.FromString(frame.SerializeToString())


def decode(frame, limit=100):
    return frames.decode_frame(serialize_and_parse(frame), 'n1', limit)


@pytest.mark.parametrize(('action', 'event'), PLAIN)
def test_plain_messages_survive_the_wire(action, event):
    """Guards against a field that is lost or changed between two nodes."""
    frame = encoding.bodyless_frame(action, 77)
    assert decode(frame).unwrap() == frames.Received(event)


def test_calls_and_answers_keep_their_content():
    """Guards against a body, path or content type that changes in transit."""
    payload = CallContent('a/b?c=1', 'text/plain', b'body')
    received = decode(encoding.request_frame(REQUEST, payload)).unwrap()
    assert received.payload == payload
    assert received.event == events.AttemptReceived(
        'n1', 5, 'bookings', 'club', LIMITS, 4, 'tok'
    )
    answer = AnswerContent('text/plain', b'yes')
    received = decode(encoding.answer_frame(ANSWER, answer)).unwrap()
    assert received.payload == answer
    assert received.event == events.AnswerReceived('n1', 5, 200, 3, LOAD)


def test_truncated_or_damaged_bodies_are_reported_with_their_attempt():
    """Guards against handing a truncated answer to a caller."""
    answer = AnswerContent('', b'whole')
    for damaged in (b'whol', b'wholf', b'whole!', b'w' * 101):
        frame = encoding.answer_frame(ANSWER, answer)
        frame.call_answer.body = damaged
        error = decode(frame).unwrap_err()
        assert isinstance(error, AnswerError)
        assert (error.attempt, error.load) == (5, LOAD)


def test_oversized_and_damaged_requests_are_distinguished():
    """Guards against refusing an oversized body with the wrong reason."""
    payload = CallContent('', '', b'w' * 101)
    frame = encoding.request_frame(REQUEST, payload)
    assert decode(frame).unwrap_err().too_large
    frame.call_request.crc32 += 1
    error = decode(frame, 200).unwrap_err()
    assert isinstance(error, RequestError)
    assert not error.too_large


def bad_frames():
    answer = encoding.answer_frame(ANSWER, AnswerContent('', b''))
    answer.call_answer.ClearField('load')
    yield answer
    status = encoding.answer_frame(ANSWER, AnswerContent('', b''))
    status.call_answer.status = 20
    yield status
    for field, wrong in (
        ('outcome', 'maybe'),
        ('outcome', 'completed'),
        ('reason', 'mood'),
        ('retry_after_s', float('nan')),
    ):
        refusal = encoding.bodyless_frame(PLAIN[3][0], 77)
        setattr(refusal.call_refusal, field, wrong)
        yield refusal
    request = encoding.request_frame(REQUEST, CallContent('', '', b''))
    request.call_request.service = 'Bad\n'
    yield request
    yield peer_pb2.Frame()
    yield encoding.hello_frame(MEMBER)
    yield peer_pb2.Frame(state=peer_pb2.State(state=b'\xc1'))


@pytest.mark.parametrize('frame', list(bad_frames()))
def test_malformed_frames_are_error_values(frame):
    """Guards against an exception that a faulty peer's frame raises."""
    assert isinstance(decode(frame).unwrap_err(), FrameError)


def test_unreadable_record_keeps_its_offset_and_bytes():
    """Guards against a relay that drops or alters a newer version's record.

    When the frame was refused as a whole, the subscriber did not get any
    later record either.
    """
    entries = [peer_pb2.Entry(offset=1, record=b'\xc1')]
    frame = peer_pb2.Frame(records=peer_pb2.Records(entries=entries))
    event = decode(frame).unwrap().event
    assert event.entries == (LogEntry(1, Unreadable(b'\xc1')),)


def test_only_a_valid_hello_is_accepted():
    """Guards against accepting a link from a peer that is not identified."""
    hello = encoding.hello_frame(MEMBER)
    assert frames.decode_hello(serialize_and_parse(hello)).unwrap() == MEMBER
    assert frames.decode_hello(None).is_err()
    assert frames.decode_hello(peer_pb2.Frame(hello={})).is_err()
    hello.hello.member.port = 0
    assert frames.decode_hello(hello).is_err()


def test_random_bytes_never_raise():
    """Guards against an exception on a frame that parses but is invalid."""
    source = random.Random(7)
    good = encoding.answer_frame(ANSWER, AnswerContent('t', b'whole'))
    encoded = bytearray(good.SerializeToString())
    decoded = 0
    for _ in range(2000):
        damaged = bytearray(encoded)
        damaged[source.randrange(len(damaged))] = source.randrange(256)
        try:
            frame = peer_pb2.Frame.FromString(bytes(damaged))
        except Exception:  # noqa: S112
            continue
        decode(frame)
        decoded += 1
    assert decoded > 100
