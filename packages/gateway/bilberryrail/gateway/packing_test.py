"""Tests of the compression of links."""

import os
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bilberryrail.gateway.packing import (
    MOST_PACKED_BYTES,
    PACKED,
    Packer,
    PackingError,
    Unpacker,
)


@given(st.lists(st.binary(max_size=3000), max_size=20))
def test_messages_come_back_in_order(payloads):
    # Guards against a message that is mixed up with the ones before.
    packer, unpacker = Packer(), Unpacker()
    plain = [b'\x92%b' % payload for payload in payloads]
    assert [unpacker.unpack(packer.pack(one)) for one in plain] == plain


def test_repeated_heads_take_few_bytes():
    # Guards against paying for the same headers with each request.
    packer = Packer()
    head = os.urandom(400)
    packer.pack(head)
    assert len(packer.pack(head)) < 30


def test_long_message_is_sent_as_it_is():
    # Guards against a process that is held up by compressing a bulky body.
    body = b'\x92%b' % bytes(MOST_PACKED_BYTES)
    packer, unpacker = Packer(), Unpacker()
    assert packer.pack(body) is body
    assert unpacker.unpack(body) is body
    assert unpacker.unpack(packer.pack(b'\x92next')) == b'\x92next'


def test_bytes_that_are_no_compressed_message():
    # Guards against a damaged stream that is taken for a message.
    with pytest.raises(PackingError):
        Unpacker().unpack(b'%b\xff\xff\xff' % PACKED)


def test_message_that_grows_beyond_the_bound():
    # Guards against a few bytes that fill the memory of the other side.
    compressor = zlib.compressobj(wbits=-12)
    bomb = compressor.compress(bytes(10_000_000))
    bomb += compressor.flush(zlib.Z_SYNC_FLUSH)
    with pytest.raises(PackingError):
        Unpacker().unpack(b'%b%b' % (PACKED, bomb))
