"""Control plane of one node: composes its parts and dispatches events."""

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
    """Replicates the log, announces this node and relays records to others.

    Parameters
    ----------
    incarnation
        Random number that identifies one run of the node; each start
        generates a new one.
    random
        Random number generator for record ids and for the jitter of retries.
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
        """Time by which the caller must call ``handle(Tick(), now)``."""
        return min(self.maintenance.wakeup_at, self.parts.outbox.wakeup_at)

    @property
    def state(self) -> ClusterState:
        """Cluster state that results from the log entries applied so far."""
        return self.parts.replica.state

    @property
    def unlogged(self) -> Mapping[NodeId, Member]:
        """Announcements of members that are not in the log yet, by node."""
        return self.parts.membership.unlogged

    @property
    def leaving(self) -> frozenset[NodeId]:
        """Nodes that have reported that they are draining."""
        return self.parts.membership.leaving

    @property
    def caught_up(self) -> bool:
        """Whether the state has reached an offset reported since the start."""
        return self.parts.replica.caught_up

    @property
    def offset_reported_at(self) -> Seconds:
        """Time at which the log or a source last reported its newest offset."""
        return self.parts.replica.offset_reported_at

    @property
    def has_left(self) -> bool:
        """Whether this node is draining and has started to append its Leave."""
        return self.parts.announcer.has_left

    @property
    def log_available(self) -> bool:
        """Whether the log answered the last request of this node."""
        return self.parts.log.available

    @property
    def view_version(self) -> int:
        """Number that changes with ``state``, ``unlogged`` and ``leaving``.

        A refresh of an announcement does not change it.
        """
        return self.parts.membership.version

    def status(self, now: Seconds) -> messages.StatusReport:
        """Summarise the applied offsets of all nodes known to this node."""
        return self.parts.exchange.status(self.parts.replica.state.offset, now)

    def outcome(self, record_id: RecordId) -> ChangeOutcome | None:
        """Return the verdict on a change, or None if none is known."""
        return self.parts.replica.state.outcomes.get(record_id)

    def handle(
        self,
        event: messages.ControlEvent,
        now: Seconds,
    ) -> tuple[messages.ControlAction, ...]:
        """Handle one event and return the actions to carry out."""
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
        """Run the steps that any event may have made necessary."""
        parts = self.parts
        yield from parts.placement.update(parts.log.available, now)
        self.maintenance.update_evictions()
        yield from self.links.subscribe(now)
        yield from self.maintenance.read_log(now)
        yield from self.record_handler.append_snapshot_if_due(now)
        if parts.replica.caught_up:
            yield from parts.announcer.append_if_due(parts.replica.state, now)
        yield from parts.outbox.retry_due(now)
