"""The control plane of one node: composes its parts and routes events."""

import random
from collections.abc import Iterator, Mapping

from bilberryrail.control import messages
from bilberryrail.control.links import Links
from bilberryrail.control.log_handler import LogHandler
from bilberryrail.control.maintenance import Maintenance
from bilberryrail.control.parts import build_parts
from bilberryrail.control.record_handler import RecordHandler
from bilberryrail.control.settings import NodeIdentity, RelaySettings
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
        self.record_handler = RecordHandler(self.parts)
        self.log_handler = LogHandler(self.parts, self.record_handler)
        self.links = Links(self.parts)
        self.maintenance = Maintenance(self.parts)

    @property
    def wakeup_at(self) -> Seconds:
        """Time by which ``handle(Tick(), now)`` is to be called."""
        return min(self.maintenance.wakeup_at, self.parts.outbox.wakeup_at)

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
            *self._handle_log_event(event, now),
            *self._handle_node_event(event, now),
            *self.maintenance.run_if_due(now),
            *self._run_steps(now),
        )

    def _handle_log_event(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        match event:
            case messages.LogRead():
                yield from self.log_handler.log_read(event, now)
            case messages.LogExpired():
                yield from self.log_handler.log_expired(event, now)
            case messages.LogUnavailable(reason=reason):
                yield from self.log_handler.log_unavailable(reason, now)
            case messages.AppendAcknowledged():
                yield from self.log_handler.append_acknowledged(event, now)
            case messages.AppendUncertain():
                yield from self.log_handler.append_uncertain(event, now)
            case messages.AppendRequested(record=record):
                yield self.parts.outbox.append(record, now)

    def _handle_node_event(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        parts = self.parts
        match event:
            case messages.LinkUp(member=member):
                yield from self.links.link_up(member)
            case messages.LinkDown(peer=peer):
                self.links.link_down(peer, now)
            case messages.SubscribeReceived():
                yield from parts.relay.subscribe(event, now)
            case messages.RecordsReceived():
                yield from self.record_handler.records_received(event, now)
            case messages.StateReceived(peer=peer, state=state):
                parts.sources.message_received(peer, now)
                yield from self.record_handler.state_received(state, now)
            case messages.StatusReceived(peer=peer, report=report):
                parts.exchange.report_received(peer, report, now)
            case messages.DrainingReceived(peer=peer, incarnation=leaving):
                parts.membership.mark_leaving(peer, leaving)
            case messages.DrainRequested():
                yield from self.links.drain(now)

    def _run_steps(self, now: Seconds) -> Iterator[messages.ControlAction]:
        """Draw the conclusions that may follow from any event."""
        parts = self.parts
        yield from parts.placement.update(parts.log.available, now)
        self.maintenance.update_evictions()
        yield from self.links.subscribe(now)
        yield from self.maintenance.read_log(now)
        yield from self.record_handler.append_snapshot_if_due(now)
        if parts.replica.caught_up:
            yield from parts.announcer.append_if_due(parts.replica.state, now)
        yield from parts.outbox.retry_due(now)
