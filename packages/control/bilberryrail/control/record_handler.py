"""Handling of records and states, whether from the log or from peers."""

from collections.abc import Iterator

from bilberryrail.control import messages, snapshot_schedule
from bilberryrail.control.parts import Parts
from bilberryrail.control.snapshot import make_parts
from bilberryrail.core.ids import NodeId, Offset, Seconds
from bilberryrail.core.records import (
    ClusterState,
    Evict,
    Join,
    Leave,
    LogEntry,
    Member,
    Unreadable,
)


class RecordHandler:
    """Applies records to the replica, relays them and updates other parts."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts
        self.replica = parts.replica
        self.snapshot_timer = snapshot_schedule.SnapshotTimer(parts.directory)

    def records_received(
        self,
        event: messages.RecordsReceived,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Handle records from a source, or from a child that is ahead."""
        sources = self.parts.sources
        sources.message_received(event.peer, now)
        yield from self.apply(event.entries, now)
        is_source = sources.is_source(event.peer)
        # A child that sends only announcements may not have caught up, so that
        # its newest offset does not count.
        if is_source or event.entries:
            self.replica.offset_reported(event.current, now)
        if is_source and not event.entries:
            yield from self.parts.relay.send_missing(event.peer, event.current)
        yield from self.propagate_unlogged(event.unlogged, event.peer, now)

    def apply(
        self,
        entries: tuple[LogEntry, ...],
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Apply the entries that follow the state, and relay them."""
        before = self.replica.state.offset
        applied = self.replica.apply(entries)
        if not applied:
            return
        self.parts.relay.recent.add(applied)
        self.parts.membership.observe(self.replica.state, applied)
        for entry in applied:
            self._entry_applied(entry)
            self.snapshot_timer.observe(entry, now)
        yield from self.parts.relay.push(now)
        if self._is_snapshot_due(before):
            yield from self._append_snapshot(now)

    def state_received(
        self,
        state: ClusterState,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Adopt the state of a peer if it is newer than the own one."""
        if self.replica.adopt(state):
            yield messages.LogEvent('state_adopted', {'offset': state.offset})
            yield from self.state_replaced(now)

    def state_replaced(self, now: Seconds) -> Iterator[messages.ControlAction]:
        """Reset the other parts after the state was replaced without replay."""
        self.parts.relay.recent.entries.clear()
        self.parts.membership.reset(self.replica.state)
        if self.parts.evictions.active:
            self.parts.evictions.start(self.replica.state)
        yield from self.parts.relay.push(now)

    def append_snapshot_if_due(
        self, now: Seconds
    ) -> Iterator[messages.ControlAction]:
        """Append a snapshot if none was appended for too long."""
        if not self._can_append_snapshot():
            return
        if self.snapshot_timer.is_due(self.replica.state.offset, now):
            yield from self._append_snapshot(now)

    def propagate_unlogged(
        self,
        members: tuple[Member, ...],
        origin: NodeId,
        now: Seconds,
    ) -> Iterator[messages.ControlAction]:
        """Store unlogged announcements and send the new ones to neighbours."""
        added = self.parts.membership.add_unlogged(members, now)
        if not added:
            return
        self.parts.announcer.override_older_incarnation(added, now)
        for member in added:
            yield messages.LogEvent(
                'unlogged_announcement', {'node': member.node}
            )
        sources = self.parts.sources
        neighbours = {*self.parts.relay.subscribers, *sources.wanted_links}
        reachable = neighbours & sources.open_links.keys() - {origin}
        yield from self.parts.relay.send_unlogged(sorted(reachable), added)

    def _entry_applied(self, entry: LogEntry) -> None:
        record = entry.record
        if isinstance(record, Unreadable):
            return
        if record.record_id in self.parts.outbox.pending:
            self.parts.outbox.remove(record.record_id)
            self.parts.announcer.append_acknowledged(
                record.record_id, entry.offset
            )
        match record:
            case Join(member=Member(node=node)):
                self.parts.evictions.observe(node, self.replica.state)
            case Leave(node=node) | Evict(node=node):
                self.parts.evictions.observe(node, self.replica.state)

    def _can_append_snapshot(self) -> bool:
        is_reader = self.parts.placement.is_reader
        return is_reader and self.parts.log.available and self.replica.caught_up

    def _is_snapshot_due(self, before: Offset) -> bool:
        if not self._can_append_snapshot():
            return False
        after = self.replica.state.offset
        return snapshot_schedule.is_responsible(
            self.parts.directory, before, after
        )

    def _append_snapshot(
        self, now: Seconds
    ) -> Iterator[messages.ControlAction]:
        state = self.replica.state
        outbox = self.parts.outbox
        part_bytes = self.parts.settings.snapshot_part_bytes
        parts = make_parts(state, part_bytes, outbox.new_id())
        for part in parts:
            yield outbox.append(part, now)
        yield messages.LogEvent(
            'snapshot_appended',
            {'offset': state.offset, 'parts': len(parts)},
        )
