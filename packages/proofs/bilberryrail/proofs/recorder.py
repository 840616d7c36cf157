"""Records the trace of a run."""

from collections.abc import Mapping

from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.control import messages
from bilberryrail.core.ids import NodeId
from bilberryrail.core.load import Outcome, Reason
from bilberryrail.policy import actions, events
from bilberryrail.proofs import trace
from bilberryrail.proofs.jobs import Submission
from bilberryrail.proofs.node import ProofNode


class Recorder:
    """Records what happens in a simulated run as notes of its trace."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.notes: list[trace.Note] = []
        #: Submission of each attempt, by the ingress and the id of the attempt.
        self.routes: dict[tuple[NodeId, int], int] = {}
        self._reachable: dict[NodeId, bool] = {}
        self._tenant: str | None = None

    def add(self, note: trace.Note) -> None:
        """Append a note to the trace."""
        self.notes.append(note)

    def submitted(self, submission: Submission) -> None:
        """Record that a caller submitted a job."""
        job = submission.job
        self.add(
            trace.Submitted(
                self.scheduler.now,
                submission.number,
                job.number,
                job.idempotent,
                submission.token,
            ),
        )

    def caller_left(self, submission: Submission) -> None:
        """Record that a caller closed its connection."""
        self.add(trace.CallerLeft(self.scheduler.now, submission.number))

    def submission_ended(
        self,
        submission: Submission,
        outcome: Outcome | None = None,
        reason: Reason | None = None,
        answer_of: int | None = None,
    ) -> None:
        """Record the result that a caller got for a submission."""
        number = submission.number
        now = self.scheduler.now
        self.add(trace.SubmissionEnded(now, number, outcome, reason, answer_of))

    def reachability_changed(self, node: NodeId, *, reachable: bool) -> None:
        """Record whether a node can learn what the log holds, on change."""
        if self._reachable.get(node) is not reachable:
            self._reachable[node] = reachable
            self.add(trace.LogReachability(self.scheduler.now, node, reachable))

    def run_ended(self, node: ProofNode, *, matches_log: bool) -> None:
        """Record the configuration of a node at the end of the run."""
        offset = node.engine.plane.state.offset
        now = self.scheduler.now
        self.add(trace.FinalConfiguration(now, node.name, offset, matches_log))

    def executed(
        self,
        node: ProofNode,
        submission: Submission | None,
    ) -> None:
        """Record that a backend server is about to execute a job."""
        backend = node.backend
        if submission is not None:
            self._use(node, trace.Use.RUN, submission.job.tenant)
        self.add(
            trace.Executed(
                at=self.scheduler.now,
                node=node.name,
                incarnation=node.incarnation,
                zone=node.identity.zone,
                submission=submission and submission.number,
                in_flight=len(backend.running) + len(backend.waiting) + 1,
                concurrency_limit=int(backend.concurrency_limit()),
                knows_boot=node.known_boot == backend.boots,
                applied=node.engine.plane.state.offset,
                stated_offset=node.stated_offset,
            ),
        )

    def event_received(self, node: ProofNode, event: events.Event) -> None:
        """Record what a node is about to learn from an event."""
        self._tenant = getattr(event, 'tenant', None)
        match event:
            case events.CallArrived() | events.ReservationAsked():
                node.read_calls.add(event.call)
            case messages.LogRead(end=offset):
                node.offset_stated(offset)
            case messages.RecordsReceived(current=offset):
                node.offset_stated(offset)
            case (
                events.BackendAnswered(report=events.BackendReport(boot=boot))
                | events.BackendHealth(report=events.BackendReport(boot=boot))
            ):
                node.known_boot = max(node.known_boot, _boot_number(boot))
            case events.BackendFailed(started=False):
                node.known_boot = node.backend.boots
            case messages.DrainRequested():
                now = self.scheduler.now
                self.add(trace.Leaving(now, node.name, node.incarnation))

    def event_handled(self, node: ProofNode) -> None:
        """Record the offset that a node has applied, if it changed."""
        offset = node.engine.plane.state.offset
        if offset != node.applied:
            node.applied = offset
            now = self.scheduler.now
            self.add(trace.Applied(now, node.name, node.incarnation, offset))

    def action_started(
        self,
        node: ProofNode,
        action: actions.Action,
        submissions: Mapping[int, Submission],
    ) -> None:
        """Record what an action does for a tenant and what it sends."""
        match action:
            case actions.SendAttempt(tenant=tenant, peer=peer):
                self._use(node, trace.Use.ATTEMPT, tenant, peer)
            case actions.SendReservation(tenant=tenant, peer=peer):
                self._use(node, trace.Use.RESERVATION, tenant, peer)
            case actions.SendProbe(peer=peer) if self._tenant is not None:
                self._use(node, trace.Use.PROBE, self._tenant, peer)
            case messages.LogEvent(name='route', fields=fields):
                route = (node.name, fields['attempt'])
                self.routes[route] = fields['call']
                self._use(node, trace.Use.LOG, fields['tenant'])
            case messages.LogEvent(fields=fields) if 'tenant' in fields:
                self._use(node, trace.Use.LOG, fields['tenant'])
            case actions.KeepAnswer(dispatch=dispatch):
                kept = submissions.get(node.answers.get(dispatch))
                if kept is not None:
                    self._use(node, trace.Use.KEEP, kept.job.tenant)
        self._count(node, action)

    def _use(
        self,
        node: ProofNode,
        use: trace.Use,
        tenant: str,
        peer: NodeId | None = None,
    ) -> None:
        region = node.identity.region
        if peer is not None:
            member = node.engine.view.member(peer)
            region = 'unknown' if member is None else member.region
        note = trace.Used(self.scheduler.now, use, node.name, region, tenant)
        self.add(note)

    def _count(self, node: ProofNode, action: actions.Action) -> None:
        match action:
            case actions.SendProbe():
                size = node.engine.settings.probes.bytes_per_probe
            case actions.SendAttempt() | actions.SendReservation():
                size = 0
            case _:
                return
        now = self.scheduler.now
        note = trace.MessageSent(now, node.name, node.incarnation, size)
        self.add(note)


def _boot_number(boot: str) -> int:
    return int(boot.rpartition('-')[2])
