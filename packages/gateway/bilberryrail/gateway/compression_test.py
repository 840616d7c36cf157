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
    # Guards against a message that is mixed up with the ones before.
    packer, unpacker = Compressor(), Decompressor()
    plain = [b'\x92%b' % payload for payload in payloads]
    assert [unpacker.decompress(packer.compress(one)) for one in plain] == plain


def test_repeated_heads_take_few_bytes():
    # Guards against paying for the same headers with each request.
    packer = Compressor()
    head = os.urandom(400)
    packer.compress(head)
    assert len(packer.compress(head)) < 30


def test_long_message_is_sent_as_it_is():
    # Guards against a process that is held up by compressing a bulky body.
    body = b'\x92%b' % bytes(MAX_COMPRESSED_BYTES)
    packer, unpacker = Compressor(), Decompressor()
    assert packer.compress(body) is body
    assert unpacker.decompress(body) is body
    assert unpacker.decompress(packer.compress(b'\x92next')) == b'\x92next'


def test_bytes_that_are_no_compressed_message():
    # Guards against a damaged stream that is taken for a message.
    with pytest.raises(CompressionError):
        Decompressor().decompress(b'%b\xff\xff\xff' % COMPRESSED_MARK)


def test_message_that_grows_beyond_the_bound():
    # Guards against a few bytes that fill the memory of the other side.
    compressor = zlib.compressobj(wbits=-12)
    bomb = compressor.compress(bytes(10_000_000))
    bomb += compressor.flush(zlib.Z_SYNC_FLUSH)
    with pytest.raises(CompressionError):
        Decompressor().decompress(b'%b%b' % (COMPRESSED_MARK, bomb))
