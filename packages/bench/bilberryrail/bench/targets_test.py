"""Tests that decisions meet their targets on a small deployment.

The bounds are the targets stated for the project. The tables of
docs/MEASURES.md are measured on the whole deployments, which takes minutes.
"""

from dataclasses import replace

import pytest

from bilberryrail.bench.calls import Phase
from bilberryrail.bench.run import OWN, run
from bilberryrail.bench.scenarios import SCENARIOS, Scenario
from bilberryrail.bench.topology import TSAGAAN_TAL, ServiceSize

SEED = 3
SMALL = replace(
    TSAGAAN_TAL,
    zones={'ub1': 'ulaanbaatar', 'ub2': 'ulaanbaatar'},
    services=(
        ServiceSize('court-status', True, 4),
        ServiceSize('bookings', False, 2),
    ),
    limits=replace(TSAGAAN_TAL.limits, warm_up_s=2.0),
)
RAMP = Phase(12.0, 0.05)


def run_scenario(name, load=0.8, until=16.0):
    faults = next(
        scenario.faults for scenario in SCENARIOS if name in scenario.name
    )
    scenario = Scenario(name, (RAMP, Phase(until, load)), faults)
    return run(SMALL, OWN, scenario, SEED)


def test_goodput_in_overload():
    """Guards against queues that grow in overload and delay every answer."""
    result = run_scenario('burst', load=1.5)
    assert result.in_time / result.calls >= 0.95 / 1.5
    assert result.lost == 0


@pytest.mark.parametrize('fault', ['cold server', 'zone leaves'])
def test_cold_servers_stay_within_their_concurrency_limit(fault):
    """Guards against overload of cold backend servers, which then collapse."""
    result = run_scenario(fault, load=0.4, until=21.0)
    assert result.over_cold_limit == 0
    assert result.into_zone == 0
    assert result.in_time / result.calls > 0.99


def test_failing_server_does_not_attract_calls():
    """Guards against a server that is preferred for its fast error answers."""
    result = run_scenario('fail-fast', load=0.5)
    assert result.failed / result.calls < 0.01


def test_probes_stay_within_their_byte_budget():
    """Guards against probes that use more than 1% of the bytes of calls."""
    result = run_scenario('load 80%')
    assert 0 < result.probe_bytes <= 0.01 * result.call_bytes


def test_two_runs_with_one_seed_are_equal():
    """Guards against results that differ between runs with the same seed."""
    first, second = (run_scenario('load 80%', until=13.5) for _ in range(2))
    assert first.latency.encode() == second.latency.encode()
