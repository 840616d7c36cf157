"""Tests of how messages are put together from what is received."""

from random import Random

from twisted.internet.testing import StringTransport
from twisted.protocols.basic import Int32StringReceiver

from bilberryrail.gateway.message_receiver import MessageReceiver

PART_BYTES = 65_536


class Receiver(MessageReceiver):
    """Records the messages."""

    def __init__(self):
        super().__init__()
        self.MAX_LENGTH = 10_000_000
        self.received = []
        self.exceeded = []
        self.makeConnection(StringTransport())

    def stringReceived(self, string):
        self.received.append(string)

    def lengthLimitExceeded(self, length):
        self.exceeded.append(length)


def with_lengths(messages):
    return b''.join(len(one).to_bytes(4) + one for one in messages)


def parts(payload, size):
    return [payload[at : at + size] for at in range(0, len(payload), size)]


def test_large_message_is_put_together_once(monkeypatch):
    # Guards against a large answer for which the node copies all that it has
    # read with each part, and serves nobody else meanwhile.
    handled = []
    handle = Int32StringReceiver.dataReceived

    def count(receiver, data):
        handled.append(len(data))
        handle(receiver, data)

    monkeypatch.setattr(Int32StringReceiver, 'dataReceived', count)
    receiver = Receiver()
    large = bytes(5_000_000)
    for part in parts(with_lengths([b'first', large, b'last']), PART_BYTES):
        receiver.dataReceived(part)
    assert receiver.received == [b'first', large, b'last']
    assert len(handled) <= 3


def test_messages_arrive_whole_however_they_are_divided():
    # Guards against messages that are lost or mixed where reads end.
    random = Random(5)
    sent = [random.randbytes(random.randrange(300)) for _ in range(60)]
    payload = with_lengths(sent)
    for size in (1, 2, 3, 5, 7, 64, 301, len(payload)):
        receiver = Receiver()
        for part in parts(payload, size):
            receiver.dataReceived(part)
        assert receiver.received == sent


def test_message_that_is_too_long_is_reported_at_once():
    # Guards against a peer whose bytes are collected without end.
    receiver = Receiver()
    receiver.dataReceived((2**31).to_bytes(4) + b'x' * 100)
    assert receiver.exceeded == [2**31]
    receiver.dataReceived(b'y' * 100)
    assert not receiver.parts
