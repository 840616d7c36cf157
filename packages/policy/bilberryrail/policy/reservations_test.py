"""Guards against reservations that run twice or mislead their caller."""

import pytest
from result import Err, Ok

from bilberryrail.policy.reservations import ReservationTable
from bilberryrail.policy.settings import ReservationSettings
from bilberryrail.policy.tokens import (
    TokenFault,
    TokenSigner,
    token_target,
)

_KEY = bytes(32)
_OTHER_KEY = bytes(range(32))
_SETTINGS = ReservationSettings(
    valid_s=10,
    answer_kept_s=20,
    answer_bytes=100,
    max_reservations=3,
)


def _make(incarnation=7, key=_KEY):
    return ReservationTable(_SETTINGS, TokenSigner('ub1', incarnation, key))


def _fault(table, token, service='bookings', tenant='club', now=0):
    found = table.find(token, service, tenant, now)
    return found.err_value.fault if isinstance(found, Err) else None


def test_token_names_its_node_in_url_safe_text():
    """Guards against tokens that cannot be routed or put in a URL."""
    token = _make().issue('bookings', 'club', 0)
    assert token_target(token) == Ok('ub1')
    assert token.replace('-', '').replace('_', '').isalnum()


@pytest.mark.parametrize(
    'token', ['', 'x', '!' * 40, 'A' * 40, 'é', 'A' * 9999]
)
def test_malformed_token_is_an_error_value(token):
    """Guards against exceptions on input from callers."""
    assert _fault(_make(), token) is TokenFault.MALFORMED
    assert token_target(token).is_err()


def test_each_fault_has_its_own_reason():
    """Guards against wrong refusal reasons for foreign or altered tokens."""
    table = _make()
    token = table.issue('bookings', 'club', 0)
    forged = _make(key=_OTHER_KEY).issue('bookings', 'club', 0)
    other = _make(incarnation=8).issue('bookings', 'club', 0)
    assert _fault(table, forged) is TokenFault.FORGED
    assert _fault(table, other) is TokenFault.OTHER_INCARNATION
    assert _fault(table, token, service='x') is TokenFault.WRONG_SERVICE
    assert _fault(table, token, tenant='x') is TokenFault.WRONG_TENANT
    assert _fault(table, token) is None
    assert _fault(table, token, now=10) is TokenFault.VOID
    assert not table.start(1, now=10)


def test_answers_are_bounded_by_bytes_and_time():
    """Guards against unbounded memory for kept answers."""
    table = _make()
    tokens = [table.issue('bookings', 'club', 0) for _ in range(3)]
    for sequence in (1, 2):
        assert table.start(sequence, now=0)
        assert table.complete(sequence, 200, 60, now=1)
    assert table.dropped == [1]
    assert table.answer_bytes == 60
    assert _fault(table, tokens[0]) is TokenFault.ANSWER_NOT_KEPT
    assert _fault(table, tokens[1], now=2) is None
    assert _fault(table, tokens[1], now=21) is TokenFault.ANSWER_NOT_KEPT
    assert table.answer_bytes == 0


def test_full_table_forgets_only_what_has_ended():
    """Guards against running a forgotten reservation again."""
    table = _make()
    first = table.issue('bookings', 'club', 0)
    table.start(1, now=0)
    table.issue('bookings', 'club', 0)
    table.issue('bookings', 'club', 0)
    assert table.issue('bookings', 'club', 0) is None
    table.fail(1, started=True, now=0)
    assert _fault(table, first) is TokenFault.OUTCOME_UNKNOWN
    assert table.issue('bookings', 'club', 0) is not None
    assert _fault(table, first) is TokenFault.FORGOTTEN
    assert table.may_have_run(first)
    assert not table.start(1, now=0)


def test_failure_before_start_leaves_the_reservation_usable():
    """Guards against a refused connection that invalidates a token."""
    table = _make()
    token = table.issue('bookings', 'club', 0)
    table.start(1, now=0)
    table.fail(1, started=False, now=5)
    assert not table.may_have_run(token)
    assert table.start(1, now=6)
    table.fail(1, started=False, now=11)
    assert _fault(table, token, now=11) is TokenFault.VOID
