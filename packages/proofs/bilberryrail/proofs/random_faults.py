"""Random faults at random times, drawn from one seed.

The fault matrix injects one fault at a chosen step. Here several faults overlap
and repeat, as section 1.5 of the design page expects.
"""

import random
from functools import partial

from bilberryrail.core.load import Outcome
from bilberryrail.proofs import faults, trace
from bilberryrail.proofs.deployment import ProofDeployment
from bilberryrail.proofs.scenario import Scenario

#: Functions that begin and end each fault.
FAULTS: tuple[tuple[faults.Change, faults.Change], ...] = (
    (faults.kill, faults.restart),
    (faults.freeze, faults.thaw),
    (faults.cut, faults.mend),
    (faults.slow, faults.speed_up),
    (faults.log_down, faults.log_up),
    (faults.lose_log_answers, faults.keep_log_answers),
    (faults.expire_records, faults.restart),
    (faults.turn_cold, faults.nothing),
    (faults.lose_backend, faults.restore_backend),
    (faults.drain, faults.restart),
)
#: Time in seconds within which all faults begin.
MAX_FAULT_START_S = 4.0
CALLS_PER_S = 60
#: Maximum duration of a fault in seconds.
MAX_FAULT_S = 4.0
#: Time in seconds from the last recovery to the end of the run; all nodes must
#: have caught up by then.
CATCH_UP_S = 13.0
#: Time in seconds within which new calls must complete after the recovery.
SERVED_WITHIN_S = 3.0


def run_random_faults(
    deployment: ProofDeployment, seed: int, count: int
) -> Scenario:
    """Run with ``count`` random faults, end them all, and continue the run.

    Nodes that were drained, killed or paused are running again at the end.
    """
    scenario = Scenario(deployment, seed)
    rng = random.Random(f'{seed}/storm')
    scenario.load(CALLS_PER_S, MAX_FAULT_START_S + MAX_FAULT_S)
    for _ in range(count):
        _schedule_fault(scenario, rng)
    out = rng.choice(tuple(deployment.zones))
    take_out = partial(scenario.set_zone, out, out=True)
    scenario.at(rng.uniform(0, MAX_FAULT_START_S), take_out)
    scenario.at(MAX_FAULT_START_S + MAX_FAULT_S, partial(_recover, scenario))
    scenario.run(MAX_FAULT_START_S + MAX_FAULT_S + CATCH_UP_S)
    return scenario


def completed_share(scenario: Scenario) -> float:
    """Start new jobs and return the share of them that completes."""
    jobs = scenario.callers.jobs
    before = len(jobs)
    scenario.load(CALLS_PER_S, 1)
    scenario.run(SERVED_WITHIN_S)
    served = {
        scenario.world.submissions[note.submission].job.number
        for note in scenario.world.recorder.notes
        if isinstance(note, trace.SubmissionEnded)
        and note.outcome is Outcome.COMPLETED
    }
    new = {job.number for job in jobs[before:]}
    return len(new & served) / len(new)


def _schedule_fault(scenario: Scenario, rng: random.Random) -> None:
    """Schedule the begin and end of one random fault at random times."""
    begin, end = rng.choice(FAULTS)
    name = rng.choice(sorted(scenario.world.nodes))
    begins_s = rng.uniform(0, MAX_FAULT_START_S)
    ends_s = begins_s + rng.uniform(0, MAX_FAULT_S)
    scenario.at(begins_s, partial(_apply, scenario, name, begin))
    scenario.at(ends_s, partial(_apply, scenario, name, end))


def _apply(scenario: Scenario, name: str, change: faults.Change) -> None:
    change(scenario.world, scenario.world.nodes[name])


def _recover(scenario: Scenario) -> None:
    """End every fault on all nodes."""
    for _, end in FAULTS:
        for name in sorted(scenario.world.nodes):
            _apply(scenario, name, end)
