"""Tests of the trials and clearances of quarantined requests."""

import pytest

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.quarantine import (
    Permission,
    Quarantine,
    choose_trial_owner,
)
from bilberryrail.forwarding.records import (
    BackendRun,
    CrashRecord,
    Fingerprint,
    InstanceId,
)
from bilberryrail.forwarding.settings import QuarantineSettings

LOOKUP = Fingerprint(b'lookup')


class Bench:
    """The quarantine of one node, which owns all trials."""

    def __init__(self):
        self.now_ms = 1_000_000
        ledger = CrashLedger(QuarantineSettings(), lambda: self.now_ms)
        self.quarantine = Quarantine(ledger)
        self.quarantine.is_trial_owner = lambda fingerprint: True
        self.cleared = []
        self.quarantine.on_cleared = self.clear

    def clear(self, clearance):
        self.cleared.append(clearance)
        self.quarantine.ledger.merge((), (clearance,))

    def crash(self, count=3):
        for _ in range(count):
            self.now_ms += 1
            run = BackendRun(InstanceId(f'i{self.now_ms}'))
            record = CrashRecord(run, self.now_ms, (LOOKUP,))
            self.quarantine.ledger.merge((record,))

    def permission_after(self, seconds):
        self.now_ms += int(seconds * 1000)
        return self.quarantine.admit(LOOKUP)


@pytest.fixture
def bench():
    return Bench()


def test_request_that_was_never_answered_is_not_tried(bench):
    # Guards against one more crash for each trial of a crashing request.
    bench.crash()
    assert bench.permission_after(500) is Permission.QUARANTINED


def test_request_that_was_answered_before_is_tried_once(bench):
    # Guards against refusing a harmless request for ten minutes because all
    # backend servers that ran it lost power, and against several trials at once.
    bench.quarantine.answered(LOOKUP)
    bench.crash()
    assert bench.permission_after(4.9) is Permission.QUARANTINED
    assert bench.permission_after(0.2) is Permission.TRIAL
    assert bench.permission_after(0.1) is Permission.QUARANTINED


def test_answered_trial_ends_the_quarantine(bench):
    # Guards against a harmless request that stays refused on other nodes.
    bench.quarantine.answered(LOOKUP)
    bench.crash()
    bench.permission_after(5.1)
    bench.quarantine.answered(LOOKUP)
    assert bench.permission_after(0) is Permission.ALLOWED
    assert [one.fingerprint for one in bench.cleared] == [LOOKUP]


def test_pause_grows_with_each_trial(bench):
    # Guards against a crash every few seconds by trials of a request that was
    # harmless once: three may be sent after the third crash.
    bench.quarantine.answered(LOOKUP)
    bench.crash()
    trials = 0
    for _ in range(120):
        if bench.permission_after(1) is Permission.TRIAL:
            trials += 1
            bench.crash(1)
    assert trials == 2


def test_answer_is_told_to_others_only_if_it_matters(bench):
    # Guards against messages for each crash to the whole fleet.
    bench.crash(1)
    bench.quarantine.answered(LOOKUP)
    assert not bench.cleared
    bench.crash(1)
    bench.now_ms += 1
    bench.quarantine.answered(LOOKUP)
    assert [one.fingerprint for one in bench.cleared] == [LOOKUP]
    assert not bench.quarantine.ledger.crash_count(LOOKUP)


def test_request_is_suspected_until_it_is_answered(bench):
    # Guards against retries of a request that may have crashed a backend server,
    # and against a harmless one that gets no retries for ten minutes.
    assert not bench.quarantine.is_suspect(LOOKUP)
    bench.crash(1)
    assert bench.quarantine.is_suspect(LOOKUP)
    bench.now_ms += 1
    bench.quarantine.answered(LOOKUP)
    assert not bench.quarantine.is_suspect(LOOKUP)


def test_all_nodes_choose_the_same_trial_owner():
    # Guards against a trial on each node at the same time.
    nodes = [NodeId('n1'), NodeId('n2'), NodeId('n3')]
    owner = choose_trial_owner(LOOKUP, nodes)
    assert owner == choose_trial_owner(LOOKUP, reversed(nodes))
    owners = {
        choose_trial_owner(Fingerprint(bytes((number,))), nodes)
        for number in range(1, 30)
    }
    assert owners == set(nodes)
