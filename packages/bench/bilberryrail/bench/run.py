"""Runs one scenario against one system and collects the results."""

import random
from functools import partial

from bilberryrail.bench.backends import FakeBackend
from bilberryrail.bench.baselines import Baseline, Policy
from bilberryrail.bench.calls import DEADLINE_S, Call, System, arrivals
from bilberryrail.bench.fabric import Fabric
from bilberryrail.bench.results import RunResult
from bilberryrail.bench.scenarios import WARM_UP_S, Backends, Scenario
from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.bench.topology import SERVICE_TIME_S, Deployment
from bilberryrail.core.load import Outcome

#: Name of the project's own system beside the names of the baselines.
OWN = 'bilberryrail'
SYSTEMS = (OWN, *(policy.value for policy in Policy))
#: Length of the slices of time whose latencies are kept apart, in seconds.
SLICE_S = 0.25
#: Time after the last arrival in which calls may still end, in seconds.
DRAIN_S = 3.0


class Recorder:
    """Records the outcome and the latency of each call."""

    def __init__(self, scheduler: Scheduler, result: RunResult) -> None:
        self.scheduler = scheduler
        self.result = result
        self.open: set[int] = set()

    def submit(self, system: System, call: Call) -> None:
        """Submit a call and record its outcome, or that it has none in time."""
        if call.arrives_s >= WARM_UP_S:
            self.result.calls += 1
            self.open.add(call.number)
            self.scheduler.after(
                DEADLINE_S, partial(self._deadline_passed, call)
            )
        system.submit(call, partial(self._done, call))

    def _done(self, call: Call, outcome: Outcome, success: bool) -> None:
        if call.number not in self.open:
            return
        self.open.discard(call.number)
        latency = self.scheduler.now - call.arrives_s
        if outcome is Outcome.COMPLETED and success:
            self.result.in_time += 1
        elif outcome is Outcome.NOT_RUN:
            self.result.refused += 1
            latency = DEADLINE_S
        else:
            self.result.failed += 1
            latency = DEADLINE_S
        self.result.record(call.arrives_s, latency, SLICE_S)

    def _deadline_passed(self, call: Call) -> None:
        if call.number in self.open:
            self.open.discard(call.number)
            self.result.lost += 1
            self.result.record(call.arrives_s, DEADLINE_S, SLICE_S)


def run(
    deployment: Deployment,
    system_name: str,
    scenario: Scenario,
    seed: int,
) -> RunResult:
    """Run a scenario from its first arrival until all calls have ended."""
    scheduler = Scheduler()
    backends = {
        identity.node: FakeBackend(
            scheduler,
            deployment.limits,
            random.Random(f'{seed}/{identity.node}/service'),
        )
        for identity in deployment.identities()
    }
    result = RunResult(simulated_s=scenario.end_s - WARM_UP_S)
    system = _build(system_name, scheduler, deployment, backends, seed, result)
    recorder = Recorder(scheduler, result)
    for when, fault in scenario.faults:
        scheduler.at(when, partial(fault, deployment, system, backends))
    calls = arrivals(deployment, scenario.phases, SERVICE_TIME_S, seed)
    for call in calls:
        scheduler.run_until(call.arrives_s)
        recorder.submit(system, call)
    scheduler.run_until(scenario.end_s + DRAIN_S)
    result.over_cold_limit = sum(
        backend.over_cold_limit for backend in backends.values()
    )
    return result


def slow_slices(result: RunResult, steady_ms: float) -> float:
    """Return for how many seconds p99 exceeds twice its steady value."""
    slow = [
        histogram
        for histogram in result.by_slice.values()
        if histogram.get_value_at_percentile(99) / 1000 > 2 * steady_ms
    ]
    return len(slow) * SLICE_S


def _build(
    system_name: str,
    scheduler: Scheduler,
    deployment: Deployment,
    backends: Backends,
    seed: int,
    result: RunResult,
) -> System:
    if system_name == OWN:
        fabric = Fabric(scheduler, deployment, backends, seed, result)
        fabric.start()
        return fabric
    return Baseline(
        scheduler,
        deployment,
        backends,
        Policy(system_name),
        random.Random(seed),
    )
