"""Simulation of a running deployment with callers, and the trace of its run."""

from functools import partial

from bilberryrail.bench.topology import CLIENT_LATENCY_S
from bilberryrail.control import messages
from bilberryrail.control.replay import replay
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.core.records import (
    AvailabilityZoneEdit,
    Change,
    ClusterState,
    Edit,
    LogEntry,
    Verdict,
)
from bilberryrail.policy import actions, events
from bilberryrail.proofs import trace
from bilberryrail.proofs.deployment import ProofDeployment
from bilberryrail.proofs.jobs import Submission
from bilberryrail.proofs.network import Network
from bilberryrail.proofs.node import ProofNode


class World(Network):
    """A simulated network with callers and a reference replay of its log.

    Attributes
    ----------
    reference
        State after the replay of the whole log, which all nodes must reach.
    """

    def __init__(self, deployment: ProofDeployment, seed: int) -> None:
        super().__init__(deployment, seed)
        self.reference = ClusterState()
        self.log.on_entry.append(self._entry_stored)

    def start(self) -> None:
        """Publish the first configuration and start all engines."""
        self.record_reachability()
        super().start()

    def publish(self, edits: tuple[Edit, ...]) -> None:
        """Append a change as a confirmed plan would."""
        end = self.log.end
        change = Change(f'change-{end}', end, 'operator', edits)
        self.log.store(change, lambda _: None)

    def submit_to(self, node: ProofNode, submission: Submission) -> None:
        """Send a caller's submission to a node of its region."""
        self.submissions[submission.number] = submission
        self.recorder.submitted(submission)
        if not node.alive:
            self.scheduler.after(
                CLIENT_LATENCY_S, partial(self.drop_connection, submission)
            )
            return
        node.open_calls.add(submission.number)
        submission.ingress = node
        self.scheduler.after(
            CLIENT_LATENCY_S,
            lambda: self.handle(node, submission.event()),
        )

    def abandon(self, submission: Submission) -> None:
        """Close the connection of a caller that gives a submission up."""
        node = submission.ingress
        if node is None or submission.number not in node.open_calls:
            return
        node.open_calls.discard(submission.number)
        self.recorder.caller_left(submission)
        gone = events.CallerGone(submission.number)
        self.scheduler.after(CLIENT_LATENCY_S, lambda: self.handle(node, gone))

    def resume(self, node: ProofNode) -> None:
        """Resume a paused process.

        The actions that were decided before the pause are carried out, the
        events queued in the sockets are scheduled before any newer ones, and
        the engine handles a tick.
        """
        node.frozen = False
        self.record_reachability()
        unsent = tuple(node.unsent)
        node.unsent.clear()
        for action in unsent:
            self._carry_out(node, action)
        for event in node.waiting:
            self._handle_later(0, node, event)
        node.waiting.clear()
        self.handle(node, messages.Tick())

    def record_final_configurations(self) -> None:
        """Record the configuration of each live node at the end of the run."""
        entries = self.log.entries
        for node in self.live():
            state = node.engine.plane.state
            expected = replay(ClusterState(), entries[: state.offset + 1])[0]
            actual = (state.services, state.tenants, state.zones)
            matches_log = actual == (
                expected.services,
                expected.tenants,
                expected.zones,
            )
            self.recorder.run_ended(node, matches_log=matches_log)

    def _entry_stored(self, entry: LogEntry) -> None:
        replayed = replay(self.reference, [entry])
        self.reference = replayed[0]
        for outcome in replayed[1]:
            if outcome.verdict is Verdict.ACCEPTED:
                self.recorder.add(
                    trace.Accepted(self.scheduler.now, entry.offset),
                )
                self._record_zones(entry)

    def _record_zones(self, entry: LogEntry) -> None:
        for edit in entry.record.edits:
            if isinstance(edit, AvailabilityZoneEdit):
                config = edit.zone
                self.recorder.add(
                    trace.ZoneSet(self.scheduler.now, config.zone, config.out),
                )

    def _answer_caller(self, node: ProofNode, action: actions.Action) -> None:
        if action.call not in node.open_calls:
            return
        node.open_calls.discard(action.call)
        submission = self.submissions[action.call]
        end_submission = partial(self._end_submission, submission)
        match action:
            case actions.GrantReservation(token=token):
                end_submission = partial(
                    end_submission, None, None, token=token
                )
            case actions.CompleteCall(peer=peer, attempt=attempt):
                body = self.submissions.get(node.arrived.pop((peer, attempt)))
                answer_of = None if body is None else body.job.number
                end_submission = partial(
                    end_submission, Outcome.COMPLETED, None, answer_of
                )
            case actions.RejectCall(outcome=outcome, reason=reason):
                end_submission = partial(end_submission, outcome, reason)
        self.scheduler.after(CLIENT_LATENCY_S, end_submission)

    def _end_submission(
        self,
        submission: Submission,
        outcome: Outcome | None,
        reason: Reason | None,
        answer_of: int | None = None,
        token: str | None = None,
    ) -> None:
        self.recorder.submission_ended(submission, outcome, reason, answer_of)
        submission.done(outcome, token)
