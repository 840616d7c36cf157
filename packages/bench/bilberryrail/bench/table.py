"""Table of all systems and scenarios, as published in docs/MEASURES.md."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import product

from bilberryrail.bench.results import RunResult
from bilberryrail.bench.run import OWN, SYSTEMS, run, slow_slices
from bilberryrail.bench.scenarios import SCENARIOS
from bilberryrail.bench.topology import DEPLOYMENTS

HEADER = (
    '| deployment | scenario | system | calls | p50 ms | p99 ms | p99.9 ms '
    '| in time % | refused % | lost % | failed % | over cold limit '
    '| into zone | probe bytes % | decision µs/call |'
)

Case = tuple[int, int, str, int]


def measure(seed: int, processes: int, only: str) -> Iterator[str]:
    """Run every case and yield the lines of the table.

    Parameters
    ----------
    seed
        Seed of the random arrivals, service times and decisions.
    processes
        Number of runs at the same time.
    only
        Text that the names of the scenarios to run contain; empty runs all.
    """
    grid = product(range(len(DEPLOYMENTS)), range(len(SCENARIOS)), SYSTEMS)
    cases: list[Case] = [
        (deployment, scenario, system, seed)
        for deployment, scenario, system in grid
        if only in SCENARIOS[scenario].name
    ]
    yield HEADER
    yield _rule()
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(_run_case, cases)


def _rule() -> str:
    columns = HEADER.count('|') - 1
    return f'{"|---" * columns}|'


def _run_case(case: Case) -> str:
    # The worker process formats the row, because histograms cannot be sent from
    # one process to another.
    deployment, scenario, system, seed = case
    result = run(DEPLOYMENTS[deployment], system, SCENARIOS[scenario], seed)
    return _row(case, result)


def _row(case: Case, result: RunResult) -> str:
    deployment, scenario, system, _ = case
    calls = max(1, result.calls)
    probe_share = result.probe_bytes / max(1, result.call_bytes)
    cells = [
        DEPLOYMENTS[deployment].name,
        SCENARIOS[scenario].name,
        system,
        str(result.calls),
        f'{result.quantile_ms(50):.1f}',
        f'{result.quantile_ms(99):.1f}',
        f'{result.quantile_ms(99.9):.1f}',
        f'{result.in_time / calls:.2%}',
        f'{result.refused / calls:.2%}',
        f'{result.lost / calls:.2%}',
        f'{result.failed / calls:.2%}',
        str(result.over_cold_limit),
        str(result.into_zone) if system == OWN else '-',
        f'{probe_share:.2%}',
        f'{result.decision_s / calls * 1_000_000:.0f}',
    ]
    if 'zone' in SCENARIOS[scenario].name:
        slow_s = slow_slices(result, _steady_ms(result))
        cells[1] = f'{cells[1]} (slow for {slow_s:g} s)'
    return f'| {" | ".join(cells)} |'


def _steady_ms(result: RunResult) -> float:
    """Return p99 before the fault (the first 2 s of arrivals) in ms."""
    before = [
        histogram for slice_number, histogram in sorted(result.by_slice.items())
    ][:8]
    merged = before[0]
    for histogram in before[1:]:
        merged.add(histogram)
    return merged.get_value_at_percentile(99) / 1000
