"""Guards against an unfair or unordered queue, and leaks in the ledger."""

from collections import Counter

import pytest

from bilberryrail.policy.deadline_queue import DeadlineQueue
from bilberryrail.policy.events import CallLimits
from bilberryrail.policy.ledger import Ledger
from bilberryrail.policy.work import Submitter, Work

_LIMITS = CallLimits(remaining_s=1.0, retry_budget=2)


def _work(tenant, deadline, weight=1):
    source = Submitter('ub2', deadline)
    return Work(source, tenant, weight, _LIMITS, deadline)


def test_deadline_orders_calls_of_one_tenant():
    """Guards against serving a later deadline first."""
    queue = DeadlineQueue()
    for deadline in (3, 1, 2):
        queue.push(_work('club', deadline), 9, {})
    assert queue.next_deadline == 1
    assert [queue.pop({}).deadline for _ in range(3)] == [1, 2, 3]


def test_weights_hold_with_a_single_slot():
    """Guards against one tenant that always wins when counts are equal."""
    queue = DeadlineQueue()
    for deadline in range(60):
        queue.push(_work('noisy', deadline), 999, {})
        queue.push(_work('heavy', 100 + deadline, weight=2), 999, {})
    served = Counter(queue.pop({}).tenant for _ in range(60))
    assert 39 <= served['heavy'] <= 41


def test_smallest_share_of_slots_goes_next():
    """Guards against ignoring calls that are already running."""
    queue = DeadlineQueue()
    queue.push(_work('noisy', 1), 9, {})
    queue.push(_work('quiet', 2), 9, {})
    assert queue.pop({'noisy': 3, 'quiet': 2}).tenant == 'quiet'


def test_full_queue_evicts_the_newest_call_of_the_largest_share():
    """Guards against a noisy tenant that fills the queue."""
    queue = DeadlineQueue()
    for deadline in (1, 2, 3):
        assert queue.push(_work('noisy', deadline), 3, {}) is None
    assert queue.push(_work('quiet', 4), 3, {}).deadline == 3
    newest = _work('noisy', 0)
    assert queue.push(newest, 3, {}) is newest
    assert len(queue) == 3
    assert [late.deadline for late in queue.expire(2)] == [1, 2]


def test_ledger_shares_one_budget_and_returns_running_calls():
    """Guards against 2^27 attempts and against orphaned nested calls."""
    ledger = Ledger()
    ledger.open(1, _LIMITS, 'club', 10)
    assert ledger.context(1, 10.25).remaining_s == pytest.approx(0.75)
    assert ledger.spend(1, 2)
    assert not ledger.spend(1, 1)
    assert ledger.attach(1, 50)
    assert ledger.attach(1, 51)
    ledger.detach(50)
    assert ledger.close(1) == (51,)
    ledger.detach(51)
    assert not ledger.attach(1, 52)
    assert ledger.context(1, 11) is None
    assert ledger.tenant(1) is None
