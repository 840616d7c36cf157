"""Random faults at random moments, several at a time, from one seed.

The fault matrix strikes once, at a chosen step. Here faults overlap and come
twice, as section 1.5 of the design page expects.
"""

import random
from functools import partial

from bilberryrail.core.load import Outcome
from bilberryrail.proofs import faults, trace
from bilberryrail.proofs.deployment import ProofDeployment
from bilberryrail.proofs.scenario import Scenario

#: Faults, and what ends them.
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
#: Faults begin within this time.
MAX_FAULT_START_S = 4.0
CALLS_PER_S = 60
MAX_FAULT_S = 4.0
#: Time to the end of the run, in which all nodes must have caught up.
CATCH_UP_S = 13.0
#: Time in which new calls are served after the storm.
SERVED_WITHIN_S = 3.0


def run_random_faults(
    deployment: ProofDeployment, seed: int, count: int
) -> Scenario:
    """Run a storm of ``count`` faults; recover, and run on.

    Nodes that were drained, killed or paused are running again at the end.
    """
    scenario = Scenario(deployment, seed)
    draws = random.Random(f'{seed}/storm')
    scenario.load(CALLS_PER_S, MAX_FAULT_START_S + MAX_FAULT_S)
    for _ in range(count):
        _schedule_fault(scenario, draws)
    out = draws.choice(tuple(deployment.zones))
    take_out = partial(scenario.set_zone, out, out=True)
    scenario.at(draws.uniform(0, MAX_FAULT_START_S), take_out)
    scenario.at(MAX_FAULT_START_S + MAX_FAULT_S, partial(_recover, scenario))
    scenario.run(MAX_FAULT_START_S + MAX_FAULT_S + CATCH_UP_S)
    return scenario


def completed_share(scenario: Scenario) -> float:
    """Give the share of new jobs that get their answer from now on."""
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


def _schedule_fault(scenario: Scenario, draws: random.Random) -> None:
    """Let one fault begin and end at random moments."""
    begin, end = draws.choice(FAULTS)
    name = draws.choice(sorted(scenario.world.nodes))
    begins_s = draws.uniform(0, MAX_FAULT_START_S)
    ends_s = begins_s + draws.uniform(0, MAX_FAULT_S)
    scenario.at(begins_s, partial(_apply, scenario, name, begin))
    scenario.at(ends_s, partial(_apply, scenario, name, end))


def _apply(scenario: Scenario, name: str, change: faults.Change) -> None:
    change(scenario.world, scenario.world.nodes[name])


def _recover(scenario: Scenario) -> None:
    """End every fault that is still there."""
    for _, end in FAULTS:
        for name in sorted(scenario.world.nodes):
            _apply(scenario, name, end)
