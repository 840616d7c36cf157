"""Tests of which requests are blamed for crashes."""

import pytest

from bilberryrail.forwarding.bounds import MAX_CLOCK_LEAD_MS
from bilberryrail.forwarding.crash_ledger import CrashLedger
from bilberryrail.forwarding.records import (
    BackendRun,
    Clearance,
    CrashRecord,
    Fingerprint,
    InstanceId,
)
from bilberryrail.forwarding.settings import QuarantineSettings

START_MS = 1_000_000
CULPRIT = Fingerprint(b'culprit')
OTHER = Fingerprint(b'other')
BYSTANDER = Fingerprint(b'bystander')


class Bench:
    """A ledger on a wall clock that the test sets."""

    def __init__(self):
        self.now_ms = START_MS
        self.ledger = CrashLedger(QuarantineSettings(), lambda: self.now_ms)

    def crash(self, number, *suspects):
        run = BackendRun(InstanceId(f'i{number}'), number)
        self.now_ms += 1000
        record = CrashRecord(run, self.now_ms, suspects)
        self.ledger.merge((record,))
        return record

    def answer(self, fingerprint):
        self.now_ms += 1
        self.ledger.merge((), (Clearance(fingerprint, self.now_ms),))


@pytest.fixture
def bench():
    return Bench()


def test_third_crash_quarantines_a_request(bench):
    # Guards against a request that is sent for as long as it comes, and against
    # blaming one that was in flight at two crashes by coincidence.
    for number in (1, 2):
        bench.crash(number, CULPRIT)
    assert not bench.ledger.is_quarantined(CULPRIT)
    bench.crash(3, CULPRIT)
    assert bench.ledger.is_quarantined(CULPRIT)


def test_crash_that_is_reported_again_counts_once(bench):
    # Guards against a quarantine because one report arrives on several ways.
    record = bench.crash(1, CULPRIT)
    assert not bench.ledger.merge((record, record))
    assert bench.ledger.crash_count(CULPRIT) == 1


def test_answered_request_is_not_blamed_for_earlier_crashes(bench):
    # Guards against refusing a harmless request that is in flight everywhere
    # and at all times.
    for number in (1, 2):
        bench.crash(number, CULPRIT, BYSTANDER)
    bench.answer(BYSTANDER)
    bench.crash(3, CULPRIT, BYSTANDER)
    assert bench.ledger.quarantined == {CULPRIT}


def test_clearance_lifts_a_quarantine(bench):
    # Guards against a harmless request that stays refused after a trial.
    for number in range(3):
        bench.crash(number, BYSTANDER)
    bench.answer(BYSTANDER)
    assert not bench.ledger.is_quarantined(BYSTANDER)


def test_request_that_becomes_harmful_is_quarantined(bench):
    # Guards against an answer of long ago that excuses all later crashes.
    bench.answer(CULPRIT)
    for number in range(3):
        bench.crash(number, CULPRIT)
    assert bench.ledger.is_quarantined(CULPRIT)


def test_crashes_of_another_request_are_not_blamed_on_a_bystander(bench):
    # Guards against refusing requests that were at the same backend servers as
    # a crashing one each time.
    bench.crash(0, CULPRIT)
    for number in range(1, 4):
        bench.crash(number, CULPRIT, BYSTANDER)
    assert bench.ledger.quarantined == {CULPRIT}


def test_two_crashing_requests_are_both_quarantined(bench):
    # Guards against a second crashing request that is excused by the first,
    # because both were often at the same backend servers.
    bench.crash(0, CULPRIT)
    for number in (1, 2, 3):
        bench.crash(number, CULPRIT, OTHER)
    bench.crash(4, OTHER)
    assert bench.ledger.quarantined == {CULPRIT, OTHER}


def test_quarantine_ends_when_the_crashes_are_forgotten(bench):
    # Guards against a request that is refused for ever although the backend
    # servers were mended.
    for number in range(3):
        bench.crash(number, CULPRIT)
    bench.now_ms += 599_000
    assert bench.ledger.is_quarantined(CULPRIT)
    bench.now_ms += 2_000
    assert not bench.ledger.is_quarantined(CULPRIT)


def test_number_of_remembered_crashes_is_limited(bench):
    # Guards against memory that grows with the number of crashes; the most
    # recent ones are kept.
    for number in range(600):
        bench.now_ms -= 999
        bench.crash(number, CULPRIT)
    bench.crash(600, OTHER)
    assert len(bench.ledger.crashes) == 512
    assert bench.ledger.crash_count(OTHER) == 1


def test_request_that_was_answered_before_needs_twice_as_many_crashes(bench):
    # Guards against refusing a harmless request that is in flight all the time,
    # when several crashing requests come within a second.
    for number in range(1, 7):
        run = BackendRun(InstanceId(f'i{number}'), number)
        bench.now_ms += 1
        bench.ledger.merge(
            (
                CrashRecord(
                    run, bench.now_ms, (BYSTANDER,), answered=(BYSTANDER,)
                ),
            )
        )
        assert bench.ledger.is_quarantined(BYSTANDER) == (number == 6)


def test_crash_in_the_future_is_ignored(bench):
    # Guards against a request that is quarantined, or cleared, for ever.
    later_ms = START_MS + MAX_CLOCK_LEAD_MS + 1
    crash = CrashRecord(BackendRun(InstanceId('i1')), later_ms, (CULPRIT,))
    assert not bench.ledger.merge([crash], [Clearance(CULPRIT, later_ms)])
    assert not bench.ledger.crash_count(CULPRIT)
