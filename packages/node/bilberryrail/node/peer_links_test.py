"""Tests of links with peers that violate the protocol or disconnect."""

import pytest
from twisted.internet import reactor

from bilberryrail.bench.raw_http import RawClient, request_bytes
from bilberryrail.bench.raw_peer import RawPeer
from bilberryrail.bench.scripted_engine import LIMITS, LOAD
from bilberryrail.bench.shell_harness import (
    add_member,
    node_settings,
    start_shell,
)
from bilberryrail.control.messages import LinkDown, LinkUp, OpenLink
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import Member
from bilberryrail.policy import actions, events
from bilberryrail.wire import encoding, peer_pb2
from bilberryrail.wire.content import AnswerContent, CallContent

MEMBER = Member('peer', 7, 'bookings', 'ub1', 'ulaanbaatar', '127.0.0.1', 1, 1)
HELLO = encoding.hello_frame(MEMBER)
TENANT = 'Bilberryrail-Tenant: club\r\n'


@pytest.fixture
def stream(shell, run_coroutine):
    """Connect a scripted peer, to which the shell sends its calls."""
    shell.engine.target = 'peer'
    port = shell.settings.engine.identity.port
    opened = run_coroutine(RawPeer.connect(port))
    yield opened
    opened.cut()


async def exchange_hello(stream):
    await stream.send_message(HELLO)
    return await stream.recv_message()


async def test_peer_that_does_not_send_hello_first_is_refused(
    shell, stream, until
):
    """Guards against accepting frames from an unidentified peer."""
    await stream.send_message(peer_pb2.Frame(probe=peer_pb2.Probe()))
    assert await stream.recv_message() is None
    assert not shell.engine.seen(LinkUp)


async def test_oversized_frame_is_refused_by_its_length(shell, stream, until):
    """Guards against a peer that exhausts the memory with one frame."""
    await exchange_hello(stream)
    stream.write(b'\x7f\xff\xff\xff')
    await until(lambda: shell.engine.seen(LinkDown))
    assert 'exceeds' in shell.engine.seen(LinkDown)[0].reason
    assert await stream.recv_message() is None


async def test_oversized_hello_is_refused_by_its_length(shell, stream, until):
    """Guards against buffering data of a peer that is not identified yet."""
    stream.write(b'\0\0\x10\x01')
    assert await stream.recv_message() is None
    assert not shell.engine.seen(LinkUp)


async def test_undecodable_frame_closes_its_link(shell, stream, until):
    """Guards against a parser exception that stops the node."""
    await exchange_hello(stream)
    stream.write(b'\0\0\0\x02\xff\xff')
    await until(lambda: shell.engine.seen(LinkDown))
    assert 'protobuf' in shell.engine.seen(LinkDown)[0].reason


async def test_last_frames_of_a_half_closed_link_are_answered(shell, stream):
    """Guards against dropping answers when a peer closes its direction."""
    await exchange_hello(stream)
    probe = peer_pb2.Frame(probe=peer_pb2.Probe(probe=9))
    reply = actions.SendProbeReply('peer', 9, LOAD)
    shell.engine.scripts[events.ProbeReceived] = lambda _: (reply,)
    await stream.send_message(probe)
    stream.end()
    assert (await stream.recv_message()).probe_reply.probe == 9
    assert await stream.recv_message() is None


async def test_malformed_frame_closes_only_its_link(shell, stream, until):
    """Guards against a faulty peer that stops the node."""
    hello = await exchange_hello(stream)
    assert hello.hello.member.node == 'n1'
    await stream.send_message(peer_pb2.Frame())
    await until(lambda: shell.engine.seen(LinkDown))
    assert 'protocol error' in shell.engine.seen(LinkDown)[0].reason
    shell.engine.target = 'n1'
    client = RawClient(shell.callers_port)
    path = '/v1/services/bookings/calls'
    answer = await client.ask(request_bytes(path, TENANT, b'x'))
    assert answer.body == b'x'


async def test_oversized_attempt_is_refused_as_invalid(shell, stream, until):
    """Guards against a body limit that is not applied to other nodes."""
    await exchange_hello(stream)
    attempt = actions.SendAttempt('n1', 5, 1, 's', 't', LIMITS)
    payload = CallContent('', '', b'x' * 1001)
    await stream.send_message(encoding.request_frame(attempt, payload))
    refusal = (await stream.recv_message()).call_refusal
    assert (refusal.attempt, refusal.outcome) == (5, 'invalid')
    assert refusal.reason == 'too-large'
    assert not shell.engine.seen(events.AttemptReceived)


async def test_damaged_answer_is_an_unknown_outcome(shell, stream, until):
    """Guards against passing on an answer that was damaged in transit."""
    await exchange_hello(stream)
    action = actions.SendAnswer('n1', 5, 9, 200, LOAD)
    frame = encoding.answer_frame(action, AnswerContent('', b'whole'))
    frame.call_answer.body = b'whale'
    await stream.send_message(frame)
    await until(lambda: shell.engine.seen(events.RefusalReceived))
    refusal = shell.engine.seen(events.RefusalReceived)[0]
    assert refusal.outcome is Outcome.UNKNOWN
    assert refusal.reason is Reason.INCOMPLETE_ANSWER


async def test_late_and_duplicate_answers_are_dropped(shell, stream, until):
    """Guards against an answer that reaches the wrong caller or is leaked."""
    await exchange_hello(stream)
    client = RawClient(shell.callers_port)
    path = '/v1/services/bookings/calls'
    await client.send(request_bytes(path, TENANT))
    attempt = (await stream.recv_message()).call_request.attempt
    for number, body in ((999, b'late'), (attempt, b'a'), (attempt, b'b')):
        action = actions.SendAnswer('n1', number, 9, 200, LOAD)
        frame = encoding.answer_frame(action, AnswerContent('', body))
        await stream.send_message(frame)  # noqa: WPS476
    await until(lambda: len(shell.engine.seen(events.AnswerReceived)) == 3)
    answer = await client.ask(b'')
    assert answer.body == b'a'
    assert not shell.process.engine_task.bodies.answers


async def test_lost_link_ends_running_calls(shell, stream):
    """Guards against calls that never end after their target disconnects."""
    await exchange_hello(stream)
    client = RawClient(shell.callers_port)
    path = '/v1/services/bookings/calls'
    await client.send(request_bytes(path, TENANT))
    await stream.recv_message()
    stream.cut()
    answer = await client.ask(b'')
    assert answer.headers['bilberryrail-outcome'] == 'unknown'


@pytest.mark.parametrize('name', ['n2', 'nobody'])
async def test_unreachable_target_is_not_run(shell, name):
    """Guards against outcome unknown for an attempt that was never sent."""
    other = await start_shell(node_settings('n2'), reactor, 'n2')
    add_member(shell, other)
    await other.close()
    client = RawClient(shell.callers_port)
    shell.engine.target = name
    path = '/v1/services/bookings/calls'
    answer = await client.ask(request_bytes(path, TENANT))
    assert answer.headers['bilberryrail-outcome'] == 'not-run'
    assert answer.headers['bilberryrail-reason'] == 'link-lost'


async def test_link_that_is_kept_open_is_opened_again(shell, until):
    """Guards against a link that stays down, and calls that wait for it."""
    settings = node_settings('n2')
    identity = settings.engine.identity
    action = OpenLink('n2', identity.host, identity.port)
    shell.process.dialer.keep_open(action)
    await until(lambda: shell.engine.seen(LinkDown))
    shell.engine.target = 'n2'
    client = RawClient(shell.callers_port)
    path = '/v1/services/bookings/calls'
    answer = await client.ask(request_bytes(path, TENANT))
    assert answer.headers['bilberryrail-outcome'] == 'not-run'
    other = await start_shell(settings, reactor, 'n2')
    await until(lambda: shell.engine.seen(LinkUp))
    answer = await client.ask(request_bytes(path, TENANT))
    assert answer.status == 200
    await other.close()


async def test_link_up_is_repeated_when_an_open_link_is_requested(
    shell,
    stream,
    until,
):
    """Guards against an engine that waits for LinkUp of an open link."""
    await exchange_hello(stream)
    await until(lambda: shell.engine.seen(LinkUp))
    shell.engine.scripts[events.ProbeReceived] = lambda _: (
        OpenLink('peer', MEMBER.host, MEMBER.port),
    )
    shell.process.engine_task.submit(events.ProbeReceived('n1', 1))
    announced = [up.member.node for up in shell.engine.seen(LinkUp)]
    assert announced == ['peer', 'peer']
