"""Tests that only complete answers of backend servers are accepted."""

import itertools

import pytest

from bilberryrail.gateway.answer_reader import AnswerError, AnswerReader

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: 1\r\n\r\nbody'


def read(*parts, limit=1000, without_body=False):
    reader = AnswerReader(limit, without_body=without_body)
    for part in parts:
        reader.feed(part)
    return reader


def test_complete_answer_is_read():
    # Guards against losing bytes of a body between two reads.
    reader = read(WHOLE[:30], WHOLE[30:])
    answer = reader.complete[0]
    assert (answer.status, answer.body) == (200, b'body')
    assert answer.end_to_end == ((b'X', b'1'),)
    assert answer.keeps_alive


def test_truncated_answer_is_not_complete():
    # Guards against a truncated answer that is taken for a complete one.
    reader = read(WHOLE[:-1])
    assert not reader.complete
    assert reader.connection_ended() is None


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 4\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Seal: 1\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nX-Seal: 1\r\n\r\n',
        b'HTTP/1.1 200 OK\nX-Seal: 1\n\n',
    ],
)
def test_answer_that_ends_within_its_head_is_not_complete(head):
    # Guards against a success with an empty or short body, framed as whole, when
    # a backend server stops within the head of its answer and closes (issue 29,
    # MIXED).
    for cut in itertools.accumulate(bytes((byte,)) for byte in head[:-1]):
        try:
            reader = read(cut)
        except AnswerError:
            continue
        assert not reader.complete, cut
        assert reader.connection_ended() is None, cut


def test_answer_without_a_length_ends_with_its_connection():
    # Guards against losing a valid answer of a server that states no length.
    reader = read(b'HTTP/1.1 200 OK\r\nX: 1\r\n\r\nall of it')
    assert not reader.complete
    assert reader.connection_ended().body == b'all of it'


def test_truncated_chunked_answer_is_not_complete():
    # Guards against treating the end of the connection as the last chunk.
    reader = read(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel',
    )
    assert reader.connection_ended() is None


def test_second_answer_is_separate():
    # Guards against merging a second answer into the first.
    reader = read(WHOLE + WHOLE)
    assert [one.body for one in reader.complete] == [b'body', b'body']


@pytest.mark.parametrize('rest', [b'garbage', b'\x00\x01\x02\xff'])
def test_invalid_bytes_are_rejected(rest):
    # Guards against forwarding invalid bytes to a client.
    with pytest.raises(AnswerError):
        read(rest, b'\r\n\r\n')


def test_answer_that_is_too_long_is_rejected():
    # Guards against a backend server that exhausts the node's memory.
    with pytest.raises(AnswerError):
        read(b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 70000, limit=10)


def test_interim_answer_is_skipped():
    # Guards against treating "100 Continue" as the final answer.
    reader = read(b'HTTP/1.1 100 Continue\r\n\r\n', WHOLE)
    assert [one.status for one in reader.complete] == [200]


def test_answer_to_head_has_no_body():
    # Guards against waiting for a body that never comes.
    reader = read(
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n',
        without_body=True,
    )
    assert reader.complete[0].body == b''


@pytest.mark.parametrize('status', [b'000', b'001', b'099', b'600', b'999'])
@pytest.mark.parametrize(
    'rest', [b'Content-Length: 4\r\n\r\nbody', b'\r\nbody', b'\r\n']
)
@pytest.mark.parametrize('without_body', [False, True])
def test_answer_with_an_invalid_status_is_rejected(status, rest, without_body):
    # Guards against a client that gets the status 000 of a faulty backend server
    # as its answer, and against a request that waits until its deadline because
    # such an answer was taken for an interim one (issue 42, MIXED).
    head = b'HTTP/1.1 %b OK\r\nX-Seal: 1\r\n' % status
    with pytest.raises(AnswerError, match=status.decode()):
        read(head + rest, without_body=without_body)


ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'header': (b'HTTP/1.1 200 OK\r\nX: ', b'x'),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'X: 1\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'foreign answers': (b'', WHOLE),
    'chunk extension': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=',
        b'x',
    ),
    'chunk extensions': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'1;a=xxxxxxxxxx\r\nb\r\n',
    ),
    'trailers': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X: 1\r\n',
    ),
    'body without a length': (b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
    'body in chunks': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'1\r\nb\r\n',
    ),
}

#: Size of one read from a socket, in bytes.
READ_BYTES = 65536


@pytest.mark.parametrize('what', ENDLESS)
def test_endless_answer_is_rejected(what):
    # Guards against a faulty backend server that exhausts the memory of its
    # node with endless bytes, in any part of an answer.
    head, endless = ENDLESS[what]
    reader = AnswerReader(100_000)
    reader.feed(head)
    read_bytes = 0
    with pytest.raises(AnswerError):
        while read_bytes < 20 * READ_BYTES:
            reader.feed(endless * (READ_BYTES // len(endless)))
            read_bytes += READ_BYTES
    assert read_bytes <= 10 * READ_BYTES


def test_too_large_stated_length_is_rejected_with_the_head():
    # Guards against reading a body up to the limit that it will exceed.
    with pytest.raises(AnswerError):
        read(b'HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n')


def test_answer_in_chunks_of_one_byte_is_read():
    # Guards against limits that reject a valid answer in small chunks.
    chunks = b'1\r\nb\r\n' * 50_000
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    reader = read(head, chunks, b'0\r\n\r\n', limit=60_000)
    assert len(reader.complete[0].body) == 50_000
