"""The control plane of one node: composes its parts and routes events."""

import random
from collections.abc import Iterator, Mapping

from bilberryrail.control import messages
from bilberryrail.control.intake import Intake
from bilberryrail.control.links import Links
from bilberryrail.control.log_intake import LogIntake
from bilberryrail.control.parts import build_parts
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.control.upkeep import Upkeep
from bilberryrail.core.ids import Incarnation, NodeId, RecordId, Seconds
from bilberryrail.core.records import ChangeOutcome, ClusterState, Member


class ControlPlane:
    """Replicates the log, keeps the node announced and relays records.

    Parameters
    ----------
    incarnation
        Drawn anew at each start of the node.
    random
        Source of record ids and of jitter.
    """

    def __init__(
        self,
        settings: RelaySettings,
        identity: NodeIdentity,
        incarnation: Incarnation,
        random: random.Random,
    ) -> None:
        self.parts = build_parts(settings, identity, incarnation, random)
        self.intake = Intake(self.parts)
        self.log_intake = LogIntake(self.parts, self.intake)
        self.links = Links(self.parts)
        self.upkeep = Upkeep(self.parts)

    @property
    def wakeup_at(self) -> Seconds:
        """Time by which ``handle(Tick(), now)`` is to be called."""
        return min(self.upkeep.wakeup_at, self.parts.outbox.wakeup_at)

    @property
    def state(self) -> ClusterState:
        """Replayed state."""
        return self.parts.replica.state

    @property
    def unlogged(self) -> Mapping[NodeId, Member]:
        """Announcements that could not yet be appended."""
        return self.parts.membership.unlogged

    @property
    def leaving(self) -> frozenset[NodeId]:
        """Nodes that said that they are draining."""
        return self.parts.membership.leaving

    @property
    def caught_up(self) -> bool:
        """Whether the state reached an offset stated after start."""
        return self.parts.replica.caught_up

    @property
    def offset_reported_at(self) -> Seconds:
        """When the log or a source last stated a current offset."""
        return self.parts.replica.offset_reported_at

    @property
    def has_left(self) -> bool:
        """Whether a drain has come so far that Leave was appended."""
        return self.parts.announcer.has_left

    @property
    def log_available(self) -> bool:
        """Whether the log answered when this node last asked it."""
        return self.parts.log.available

    @property
    def view_version(self) -> int:
        """Changes with the state, ``unlogged`` and ``leaving``, not by refreshes."""
        return self.parts.membership.version

    def status(self, now: Seconds) -> messages.StatusReport:
        """Summarise applied offsets as far as this node knows."""
        return self.parts.exchange.status(self.parts.replica.state.offset, now)

    def outcome(self, record_id: RecordId) -> ChangeOutcome | None:
        """Look up the verdict on a change."""
        return self.parts.replica.state.outcomes.get(record_id)

    def handle(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> tuple[messages.ControlAction, ...]:
        """Handle one event and say what to do."""
        return (
            *self._hear_log(event, now),
            *self._hear_node(event, now),
            *self.upkeep.run_if_due(now),
            *self._conclude(now),
        )

    def _hear_log(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        match event:
            case messages.LogRead():
                yield from self.log_intake.hear_read(event, now)
            case messages.LogExpired():
                yield from self.log_intake.hear_expired(event, now)
            case messages.LogUnavailable(reason=reason):
                yield from self.log_intake.lose(reason, now)
            case messages.AppendAcknowledged():
                yield from self.log_intake.acknowledge(event, now)
            case messages.AppendUncertain():
                yield from self.log_intake.postpone(event, now)
            case messages.AppendRequested(record=record):
                yield self.parts.outbox.append(record, now)

    def _hear_node(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        parts = self.parts
        match event:
            case messages.LinkUp(member=member):
                yield from self.links.open(member)
            case messages.LinkDown(peer=peer):
                self.links.lose(peer, now)
            case messages.SubscribeReceived():
                yield from parts.relay.subscribe(event, now)
            case messages.RecordsReceived():
                yield from self.intake.hear_records(event, now)
            case messages.StateReceived(peer=peer, state=state):
                parts.sources.hear(peer, now)
                yield from self.intake.adopt(state, now)
            case messages.StatusReceived(peer=peer, report=report):
                parts.exchange.take(peer, report, now)
            case messages.DrainingReceived(peer=peer, incarnation=leaving):
                parts.membership.mark_leaving(peer, leaving)
            case messages.DrainRequested():
                yield from self.links.drain(now)

    def _conclude(self, now: Seconds) -> Iterator[messages.ControlAction]:
        """Draw the conclusions that may follow from any event."""
        parts = self.parts
        yield from parts.placement.update(parts.log.available, now)
        self.upkeep.watch_members()
        yield from self.links.subscribe(now)
        yield from self.upkeep.read_log(now)
        yield from self.intake.keep_snapshot(now)
        if parts.replica.caught_up:
            yield from parts.announcer.check(parts.replica.state, now)
        yield from parts.outbox.repeat(now)
