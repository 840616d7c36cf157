"""Tests of what nodes remember of each other's backend servers."""

import math
from dataclasses import replace

import pytest

from bilberryrail.core.ids import NodeId, Seconds
from bilberryrail.forwarding.fixtures_test import peer
from bilberryrail.forwarding.load_report import Notice
from bilberryrail.forwarding.records import (
    BackendPhase,
    BackendRun,
    InstanceId,
)
from bilberryrail.forwarding.run_memory import RunMemory
from bilberryrail.forwarding.run_statements import KnownRun, RunStatements

NODE = NodeId('a')
RUN = BackendRun(InstanceId('i-a'), born_ms=100)
READY = replace(peer('a'), born_ms=100)
LEAVING = replace(READY, phase=BackendPhase.DRAINING)
NOW = Seconds(10)


@pytest.fixture
def memory():
    found = RunMemory()
    found.limit_reported(READY, 7.5)
    return found


@pytest.fixture
def statements():
    found = RunStatements()
    found.recall(KnownRun(RUN, rate_limit=7.5), NOW)
    return found


def test_node_that_knows_nothing_yet_changes_nothing(memory):
    # Guards against a restarted node whose first load report erases the limit
    # before it is told about it.
    memory.limit_reported(READY, None)
    assert memory.by_node[NODE] == KnownRun(RUN, rate_limit=7.5)


def test_lifted_limit_is_forgotten(memory):
    # Guards against a restarted node that is told a limit which has ended.
    memory.limit_reported(READY, math.inf)
    assert NODE not in memory.by_node


def test_next_run_has_no_limit(memory):
    # Guards against the limit of a backend server that has been replaced.
    memory.announced(replace(READY, born_ms=200))
    assert NODE not in memory.by_node


def test_unknown_run_changes_nothing(memory):
    # Guards against a node that announces itself before it has identified its
    # backend server, and thereby erases what is known of it.
    memory.announced(replace(READY, instance=InstanceId(''), born_ms=0))
    memory.announced(replace(READY, born_ms=0))
    assert memory.by_node[NODE].rate_limit == 7.5


def test_departure_outlives_the_end_of_the_limit(memory):
    # Guards against a departure that a later load report erases.
    memory.announced(LEAVING)
    memory.limit_reported(LEAVING, math.inf)
    assert memory.by_node[NODE] == KnownRun(RUN, has_departed=True)


def test_end_of_a_node_is_no_departure(memory):
    # Guards against a backend server that stays unused after a restart of the
    # node beside it.
    memory.announced(replace(LEAVING, leaving=True))
    assert not memory.by_node[NODE].has_departed


def test_departure_during_the_end_of_a_node_is_remembered(memory):
    # Guards against a departure that is taken for the end of the node.
    memory.announced(replace(LEAVING, leaving=True, departed=True))
    assert memory.by_node[NODE].has_departed


def test_recalled_limit_applies_once_the_run_is_identified(statements):
    # Guards against a limit that is told before the first heartbeat and lost.
    assert statements.known_rate_limit is None
    statements.run_started(RUN, NOW)
    assert statements.known_rate_limit == 7.5


def test_recalled_limit_of_another_run_is_not_applied(statements):
    # Guards against a limit that a restarted backend server never stated.
    statements.run_started(BackendRun(RUN.instance, born_ms=200), NOW)
    assert statements.known_rate_limit is None


def test_statement_of_the_run_itself_goes_before_what_others_recall(statements):
    # Guards against a limit that another node still believes in and that has
    # ended.
    statements.run_started(RUN, NOW)
    statements.noticed(Notice(), NOW)
    statements.recall(KnownRun(RUN, rate_limit=3), NOW)
    assert math.isinf(statements.known_rate_limit)
