"""Tests that a fingerprint identifies the content of a request."""

from dataclasses import replace

import pytest

from bilberryrail.core.ids import ServiceId
from bilberryrail.forwarding.fingerprint import fingerprint_of
from bilberryrail.forwarding.fixtures_test import request

CALLER = ServiceId('desk')


def test_same_content_has_the_same_fingerprint():
    # Guards against a request that counts as a new one each time, because its
    # attempt id and deadline differ.
    first, second = (
        replace(
            request(b'body'),
            headers=((b'host', b'CLUB.example'), (b'Attempt-Id', attempt)),
        )
        for attempt in (b'1', b'2')
    )
    assert fingerprint_of(first, CALLER) == fingerprint_of(second, CALLER)


@pytest.mark.parametrize(
    'change',
    [
        {'method': b'POST'},
        {'target': b'/courts/7?day=2'},
        {'headers': ((b'Host', b'other.example'),)},
        {'body': b'x'},
        # The same bytes, divided between target and body in another way.
        {'target': b'/courts/7?day=', 'body': b'1'},
    ],
)
def test_other_content_has_another_fingerprint(change):
    # Guards against harmless requests that are taken for one that is not.
    other = replace(request(), **change)
    assert fingerprint_of(other, CALLER) != fingerprint_of(request(), CALLER)


def test_other_caller_has_another_fingerprint():
    # Guards against blaming one service for what another one sends.
    ours = fingerprint_of(request(), CALLER)
    assert ours != fingerprint_of(request(), ServiceId('board'))
