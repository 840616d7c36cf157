"""Tests of the compression of links."""

import os
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryrail.gateway.compression import (
    COMPRESSED_MARK,
    MAX_COMPRESSED_BYTES,
    CompressionError,
    Compressor,
    Decompressor,
)


@given(st.lists(st.binary(max_size=3000), max_size=20))
def test_messages_come_back_in_order(payloads):
    # Guards against a message that is mixed up with earlier ones.
    compressor, decompressor = Compressor(), Decompressor()
    plain = [b'\x92%b' % payload for payload in payloads]
    assert [
        decompressor.decompress(compressor.compress(one)) for one in plain
    ] == plain


def test_repeated_heads_take_few_bytes():
    # Guards against paying for the same headers with each request.
    compressor = Compressor()
    head = os.urandom(400)
    compressor.compress(head)
    assert len(compressor.compress(head)) < 30


def test_long_message_is_not_compressed():
    # Guards against blocking the process by compressing a large body.
    body = b'\x92%b' % bytes(MAX_COMPRESSED_BYTES)
    compressor, decompressor = Compressor(), Decompressor()
    assert compressor.compress(body) is body
    assert decompressor.decompress(body) is body
    assert (
        decompressor.decompress(compressor.compress(b'\x92next')) == b'\x92next'
    )


def test_invalid_compressed_message_is_rejected():
    # Guards against decoding a corrupt stream as a message.
    with pytest.raises(CompressionError):
        Decompressor().decompress(b'%b\xff\xff\xff' % COMPRESSED_MARK)


def test_message_that_expands_beyond_the_limit_is_rejected():
    # Guards against a few bytes that exhaust the memory of the receiver.
    compressor = zlib.compressobj(wbits=-12)
    bomb = compressor.compress(bytes(10_000_000))
    bomb += compressor.flush(zlib.Z_SYNC_FLUSH)
    with pytest.raises(CompressionError):
        Decompressor().decompress(b'%b%b' % (COMPRESSED_MARK, bomb))
