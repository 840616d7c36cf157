"""Tests of calls through one or two nodes over loopback sockets."""

from types import MappingProxyType

import pytest

from bilberryrail.bench.raw_http import RawClient, request_bytes
from bilberryrail.control.messages import LinkUp
from bilberryrail.policy import actions, events

TENANT = 'Bilberryrail-Tenant: club\r\n'
CALLS = '/v1/services/bookings/calls'
FAULTY_BACKEND = MappingProxyType(
    {'cut': 'cut answer', 'open-end': 'no length', 'big': 'above the limit'},
)


async def test_call_reaches_the_backend_server_of_another_node(
    ingress, target, client
):
    """Guards against a changed path, body or type, and leaked headers."""
    headers = (
        f'{TENANT}Content-Type: a/b\r\nTE: trailers\r\nX-Own: 1\r\n'
        'Keep-Alive: timeout=5\r\nCookie: a=b\r\n'
    )
    request = request_bytes(f'{CALLS}/a%2Fb//c?d=%20', headers, b'body')
    answer = await client.ask(request)
    assert (answer.status, answer.body) == (200, b'body')
    assert answer.headers['bilberryrail-outcome'] == 'completed'
    assert answer.headers['content-type'] == 'text/plain'
    received = target.backend.requests[0]
    assert received.first == 'POST /a%2Fb//c?d=%20 HTTP/1.1'
    assert received.body == b'body'
    assert received.headers['content-type'] == 'a/b'
    assert received.headers['bilberryrail-tenant'] == 'club'
    assert not {'te', 'x-own', 'keep-alive', 'cookie'} & set(received.headers)


async def test_one_link_serves_both_directions(ingress, target, client):
    """Guards against a second connection for calls in the other direction."""
    target.engine.target = 'n1'
    reverse_client = RawClient(target.callers_port)
    await client.ask(request_bytes(CALLS, TENANT))
    answer = await reverse_client.ask(request_bytes(CALLS, TENANT, b'x'))
    assert answer.body == b'x'
    assert len(ingress.engine.seen(LinkUp)) == 1
    assert len(target.engine.seen(LinkUp)) == 1


async def test_call_to_the_node_itself_uses_no_link(shell):
    """Guards against a node that connects to itself."""
    client = RawClient(shell.callers_port)
    answer = await client.ask(request_bytes(CALLS, TENANT, b'x'))
    assert answer.body == b'x'
    assert not shell.engine.seen(LinkUp)


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        (CALLS, '', 400),
        (CALLS, f'{TENANT}{TENANT}', 400),
        (CALLS, 'Bilberryrail-Tenant: Club\r\n', 400),
        (CALLS, 'Bilberryrail-Tenant: -club\r\n', 400),
        (CALLS, f'{TENANT}Bilberryrail-Deadline-Ms: nan\r\n', 400),
        (CALLS, f'{TENANT}Bilberryrail-Deadline-Ms: inf\r\n', 400),
        (CALLS, f'{TENANT}Bilberryrail-Deadline-Ms: 0\r\n', 400),
        (CALLS, f'{TENANT}Bilberryrail-Deadline-Ms: -5\r\n', 400),
        (CALLS, f'{TENANT}Bilberryrail-Deadline-Ms: 1_0\r\n', 400),
        (CALLS, f'{TENANT}Bilberryrail-Parent: x\r\n', 400),
        (
            CALLS,
            f'{TENANT}Bilberryrail-Parent: 1\r\nbilberryrail-parent: 2\r\n',
            400,
        ),
        (CALLS, f'{TENANT}Bilberryrail-Reservation: a b\r\n', 400),
        ('/v1/services/Bookings/calls', TENANT, 400),
        ('/v1/services/bookings/other', TENANT, 404),
    ],
)
async def test_invalid_control_headers_and_paths_are_refused(
    ingress, target, client, path, headers, status
):
    """Guards against control headers that parsers interpret differently."""
    answer = await client.ask(request_bytes(path, headers))
    assert answer.status == status
    assert not ingress.engine.seen(events.CallArrived)


@pytest.mark.parametrize('is_chunked', [False, True])
async def test_oversized_body_is_refused(ingress, target, client, is_chunked):
    """Guards against large bodies that exhaust the memory.

    The body's length is stated in a header, or not known in advance.
    """
    request = request_bytes(CALLS, TENANT, b'x' * 1001)
    if is_chunked:
        chunks = b'3e9\r\n%b\r\n0\r\n\r\n' % (b'x' * 1001)
        head = f'POST {CALLS} HTTP/1.1\r\nHost: x\r\n{TENANT}'
        coding = 'Transfer-Encoding: chunked\r\n\r\n'
        request = b''.join((head.encode(), coding.encode(), chunks))
    answer = await client.ask(request)
    assert answer.status == 413
    assert answer.headers['bilberryrail-reason'] == 'too-large'
    assert not ingress.engine.seen(events.CallArrived)
    answer = await client.ask(request_bytes(CALLS, TENANT, b'x' * 1000))
    assert answer.status == 200


@pytest.mark.parametrize('kind', sorted(FAULTY_BACKEND))
async def test_incomplete_answer_is_not_passed_on(
    ingress, target, client, kind
):
    """Guards against a truncated or oversized answer that seems complete."""
    request = request_bytes(f'{CALLS}/{kind}', TENANT, b'x')
    answer = await client.ask(request)
    assert answer.status == 502
    assert answer.headers['bilberryrail-outcome'] == 'unknown'
    assert target.engine.seen(events.BackendFailed)[0].started


async def test_refused_connection_is_not_run(ingress, target, client):
    """Guards against an outcome that rules out a retry although nothing ran."""
    target.backend.stop()
    answer = await client.ask(request_bytes(CALLS, TENANT))
    assert answer.status == 503
    assert answer.headers['bilberryrail-outcome'] == 'not-run'
    assert answer.headers['retry-after-ms'] == '250'


async def test_loss_of_a_reused_connection_is_an_unknown_outcome(
    ingress, target, client
):
    """Guards against running a call again that had reached the server."""
    await client.ask(request_bytes(CALLS, TENANT, b'x'))
    answer = await client.ask(request_bytes(f'{CALLS}/cut', TENANT))
    assert answer.headers['bilberryrail-outcome'] == 'unknown'
    assert len(target.backend.requests) == 2


async def test_caller_that_disconnects_cancels_its_call(
    ingress,
    target,
    client,
    until,
):
    """Guards against work without a caller, and bodies that are never freed."""
    await client.send(request_bytes(f'{CALLS}/hang', TENANT, b'x'))
    await until(lambda: target.backend.requests)
    client.close()
    await until(lambda: target.engine.seen(events.BackendFailed))
    assert ingress.engine.seen(events.CallerGone)
    target.backend.released.set()
    assert not ingress.process.engine_task.bodies.calls
    assert not target.process.backend.running
    again = RawClient(ingress.callers_port)
    answer = await again.ask(request_bytes(CALLS, TENANT, b'y'))
    assert answer.body == b'y'


async def test_actions_with_unknown_ids_have_no_effect(ingress, target, client):
    """Guards against an exception on an id that the node no longer knows."""
    await client.ask(request_bytes(CALLS, TENANT))
    unknown = (
        actions.CompleteCall(77, 'n2', 77, 200),
        actions.GrantReservation(77, 'token'),
        actions.AbortDispatch(77),
        actions.DropBody('n2', 77),
        actions.DropAnswer(77),
        actions.KeepAnswer(77, 77),
        actions.SendAttempt('n2', 77, 77, 's', 't', events.CallLimits(1, 0)),
    )
    executor = ingress.process.engine_task.executor
    for action in unknown:
        executor.execute(action)
    executor.execute(actions.Dispatch(77, 'n2', 77, 1.0))
    failed = ingress.engine.seen(events.BackendFailed)[0]
    assert (failed.dispatch, failed.started) == (77, False)


async def test_reservation_returns_the_token(ingress, target, client):
    """Guards against a token that is lost between two nodes."""
    path = '/v1/services/bookings/reservations'
    answer = await client.ask(request_bytes(path, TENANT))
    assert answer.body == b'{"token":"token-1"}'
