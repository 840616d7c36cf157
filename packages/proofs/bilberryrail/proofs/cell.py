"""Runs one cell of the fault matrix."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType

from bilberryrail.core.load import Outcome
from bilberryrail.core.records import TenantConfig, TenantEdit, Verdict
from bilberryrail.policy import actions, events
from bilberryrail.proofs import faults, trace
from bilberryrail.proofs.checkers import Rules, violations
from bilberryrail.proofs.deployment import COURTS_SMALL, HOME_TENANT
from bilberryrail.proofs.jobs import Callers
from bilberryrail.proofs.matrix import Column, End
from bilberryrail.proofs.node import ProofNode
from bilberryrail.proofs.operators import Operator
from bilberryrail.proofs.steps import ACTION_TESTS, EVENT_TESTS, Row, Step
from bilberryrail.proofs.world import World

#: Times between which calls arrive, in seconds: after all nodes have caught up,
#: and well before the end of the run.
LOAD_FROM_S = 0.4
LOAD_UNTIL_S = 2.4
CALLS_PER_S = 30.0
#: Time in seconds from which the first occurrence of the step starts the fault.
FAULT_FROM_S = 0.6
#: End of the run in seconds, so that the longest fault ends and all nodes can
#: apply all changes.
END_S = 7.0
#: Stricter than the 12 s of the design page, so that a run stays short.
IN_FORCE_S = 3.0
#: Time in seconds after a dispatch at which the call is running.
RUNNING_S = 0.005
#: Duration of most faults in seconds.
SHORT_FAULT_S = 1.0
#: Duration in seconds that exceeds both the validity of a reservation and the
#: maximum staleness of a view.
LONG_FAULT_S = 3.4
#: Number of changes to publish, enough for a snapshot to be written.
CHANGES = 6

RULES = Rules(
    home={HOME_TENANT: (COURTS_SMALL.home_region,)},
    in_force_s=IN_FORCE_S,
)
ZONE_OUT = b'{"zones_out": ["ub2"]}'
OTHER_ZONE_OUT = b'{"zones_out": ["da2"]}'


@dataclass(frozen=True, slots=True)
class CellResult:
    """Results of what the fault affected, and violations of the invariants."""

    ends: frozenset[End]
    violations: tuple[str, ...]


class CellRun:
    """One run with a light load and a fault that begins at a step.

    Attributes
    ----------
    faulty_node
        Node at which the fault began; None until the step has occurred.
    submission
        Submission that was at this step, if the step belongs to a call.
    """

    def __init__(self, step: Step, column: Column, seed: int) -> None:
        self.step = step
        self.column = column
        self.world = World(COURTS_SMALL, seed)
        self.callers = Callers(self.world, seed)
        self.operator = Operator(self.world, 'first')
        self.second_operator = Operator(self.world, 'second')
        self.faulty_node: ProofNode | None = None
        self.submission: int | None = None

    def run(self) -> CellResult:
        """Run to the end and apply all checkers."""
        world = self.world
        world.before.append(self._before_event)
        world.after.append(self._after_action)
        world.start()
        world.scheduler.at(FAULT_FROM_S, self._prepare)
        world.scheduler.run_until(LOAD_FROM_S)
        self.callers.offer(LOAD_UNTIL_S, CALLS_PER_S)
        world.scheduler.run_until(END_S)
        world.record_final_configurations()
        if self.faulty_node is None:
            return CellResult(frozenset(), ('the step did not occur',))
        found = violations(world.recorder.notes, RULES)
        return CellResult(frozenset(self._ends()), found)

    def _prepare(self) -> None:
        """Start the operation of the step, unless it is a call of the load."""
        world = self.world
        node = next(iter(world.nodes.values()))
        match self.step:
            case Step.ANNOUNCE | Step.REPLACE:
                faults.kill(world, node)
                faults.restart(world, node)
            case Step.DRAIN | Step.LEAVE:
                faults.drain(world, node)
            case Step.PLAN:
                self._begin_fault(node)
        if self.step.row is Row.CONFIGURATION:
            self.operator.change(node, ZONE_OUT)
        if self.step is Step.SNAPSHOT:
            _publish_changes(world)

    def _before_event(self, node: ProofNode, event: events.Event) -> None:
        test = EVENT_TESTS.get(self.step)
        if test is None or not self._is_due() or not test(event):
            return
        if self.step is Step.REPLACE and node.stated_offset is not None:
            return
        if self._identify_submission(node, event):
            self._begin_fault(node)

    def _after_action(self, node: ProofNode, action: actions.Action) -> None:
        test = ACTION_TESTS.get(self.step)
        if test is None or not self._is_due() or not test(action):
            return
        if not self._identify_submission(node, action):
            return
        if self.step is Step.RUN:
            self.faulty_node = node
            inject = partial(self._begin_fault, node)
            self.world.scheduler.after(RUNNING_S, inject)
        else:
            self._begin_fault(node)

    def _is_due(self) -> bool:
        is_late = self.world.scheduler.now >= FAULT_FROM_S
        return is_late and self.faulty_node is None

    def _identify_submission(
        self,
        node: ProofNode,
        message: events.Event | actions.Action,
    ) -> bool:
        """Find the submission at a step and make its caller wait for its end.

        Return whether the fault may begin: it may not if the caller of the
        submission has left.
        """
        if self.step.row is not Row.CALL:
            return True
        routes = self.world.recorder.routes
        match message:
            case events.CallArrived(call=call) | actions.SendAttempt(call=call):
                self.submission = call
            case (
                events.AttemptReceived(peer=peer, attempt=attempt)
                | events.ReservationReceived(peer=peer, attempt=attempt)
                | actions.Dispatch(peer=peer, attempt=attempt)
            ):
                self.submission = routes.get((peer, attempt))
            case events.AnswerReceived(attempt=attempt):
                self.submission = routes.get((node.name, attempt))
            case events.BackendAnswered(dispatch=dispatch):
                self.submission = node.answers.get(dispatch)
            case _:
                fields = getattr(message, 'fields', {})
                self.submission = fields.get('call')
        found = self.world.submissions.get(self.submission)
        if found is None or found.number not in found.ingress.open_calls:
            return False
        self.callers.without_timeout.add(found.number)
        return True

    def _begin_fault(self, node: ProofNode) -> None:
        self.faulty_node = node
        _FAULTS[self.column](self, node)

    def _ends(self) -> set[End]:
        match self.step.row:
            case Row.CALL:
                return {
                    _end_of(note, self.callers, self.world)
                    for note in self.world.recorder.notes
                    if isinstance(note, trace.SubmissionEnded)
                    and note.submission == self.submission
                }
            case Row.CONFIGURATION:
                return {
                    _VERDICTS[operator.verdict]
                    for operator in (self.operator, self.second_operator)
                    if operator.plan is not None
                }
        members = self.world.reference.members
        return {
            End.MEMBER if self.faulty_node.name in members else End.GONE,
        }


def run_cell(step: Step, column: Column, seed: int = 1) -> CellResult:
    """Run one cell of the matrix."""
    return CellRun(step, column, seed).run()


_OUTCOMES = MappingProxyType(
    {
        Outcome.COMPLETED: End.ANSWER,
        Outcome.NOT_RUN: End.NOT_RUN,
        Outcome.UNKNOWN: End.UNKNOWN,
    }
)
_VERDICTS = MappingProxyType(
    {
        Verdict.ACCEPTED: End.CONFIRMED,
        Verdict.REJECTED: End.REJECTED,
        None: End.PENDING,
    }
)


def _end_of(note: trace.SubmissionEnded, callers: Callers, world: World) -> End:
    if note.outcome is not None:
        return _OUTCOMES[note.outcome]
    submission = world.submissions[note.submission]
    if submission.number in callers.granted:
        return End.TOKEN
    return End.LOST


Injector = Callable[[CellRun, ProofNode], None]


def _temporary(
    begin: faults.Change,
    end: faults.Change,
    duration_s: float = SHORT_FAULT_S,
) -> Injector:
    def inject(run: CellRun, node: ProofNode) -> None:  # noqa: WPS430
        begin(run.world, node)
        restore = partial(end, run.world, node)
        run.world.scheduler.after(duration_s, restore)

    return inject


def _combined(*injectors: Injector) -> Injector:
    def inject(run: CellRun, node: ProofNode) -> None:  # noqa: WPS430
        for each in injectors:
            each(run, node)

    return inject


def _publish_changes(world: World) -> None:
    """Publish within a second enough changes for a snapshot."""
    for number in range(CHANGES):
        edit = TenantEdit(TenantConfig(f'new-{number}'))
        publish = partial(world.publish, (edit,))
        world.scheduler.after(SHORT_FAULT_S * number / (CHANGES + 1), publish)


def _expire(run: CellRun, node: ProofNode) -> None:
    """Pause a node until records that it has not read have expired."""
    world = run.world
    faults.freeze(world, node)
    _publish_changes(world)
    world.scheduler.after(SHORT_FAULT_S, world.log.expire)
    world.scheduler.after(SHORT_FAULT_S, partial(faults.thaw, world, node))


def _two_operators(run: CellRun, node: ProofNode) -> None:
    """Let two operators confirm conflicting changes at the same time."""
    if run.operator.plan is None:
        run.operator.change(node, ZONE_OUT)
    others = [each for each in run.world.live() if each.name != node.name]
    run.second_operator.change(others[-1], OTHER_ZONE_OUT)


def _cold_twice(run: CellRun, node: ProofNode) -> None:
    faults.turn_cold(run.world, node)
    again = partial(faults.turn_cold, run.world, node)
    run.world.scheduler.after(SHORT_FAULT_S / 2, again)


def _kill_twice(run: CellRun, node: ProofNode) -> None:
    """Kill a node, and kill its next incarnation soon after the restart."""
    world = run.world
    faults.kill(world, node)
    quarter_s = SHORT_FAULT_S / 4
    restart = partial(faults.restart, world, node)
    world.scheduler.after(quarter_s, restart)
    world.scheduler.after(
        2 * quarter_s,
        lambda: faults.kill(world, world.nodes[node.name]),
    )
    world.scheduler.after(SHORT_FAULT_S, restart)


_KILL = _temporary(faults.kill, faults.restart)
_CUT = _temporary(faults.cut, faults.mend)
_FREEZE = _temporary(faults.freeze, faults.thaw)
_LOG_DOWN = _temporary(faults.log_down, faults.log_up)
_LOSE_ANSWERS = _temporary(faults.lose_log_answers, faults.keep_log_answers)
_FAULTS: Mapping[Column, Injector] = MappingProxyType(
    {
        Column.KILLED: _KILL,
        Column.CUT: _CUT,
        Column.FROZEN: _FREEZE,
        Column.SLOW: _temporary(faults.slow, faults.speed_up),
        Column.LOG_DOWN: _LOG_DOWN,
        Column.LOST_ANSWER: _LOSE_ANSWERS,
        Column.EXPIRED: _expire,
        Column.LAPSED: _temporary(faults.freeze, faults.thaw, LONG_FAULT_S),
        Column.OPERATORS: _two_operators,
        Column.COLD: _cold_twice,
        Column.KILLED_LOG_DOWN: _combined(_LOG_DOWN, _KILL),
        Column.FROZEN_COLD: _combined(_FREEZE, _cold_twice),
        Column.CUT_LOST_ANSWER: _combined(_LOSE_ANSWERS, _CUT),
        Column.KILLED_TWICE: _kill_twice,
    }
)
