"""Replay of the log: a pure function from a state and entries to a new state.

Every node applies the same entries in offset order, so that all nodes reach the
same state and the same verdict on each change without a consensus protocol.
"""

from collections.abc import Sequence

from bilberryrail.control.validation import edit_problem, scope_of
from bilberryrail.core.ids import Offset, RecordId
from bilberryrail.core.records import (
    Announcement,
    AvailabilityZoneEdit,
    Change,
    ChangeOutcome,
    ClusterState,
    Edit,
    Evict,
    Join,
    Leave,
    LogEntry,
    ServiceEdit,
    SnapshotPart,
    TenantEdit,
    Unreadable,
    Verdict,
)

#: Verdicts kept so that operator commands can read the outcome of a change;
#: about two hours at 24,000 changes a day. A duplicate that arrives later is
#: rejected because the first copy has already changed the same scopes.
MAX_OUTCOMES = 2048


def replay(
    state: ClusterState,
    entries: Sequence[LogEntry],
) -> tuple[ClusterState, tuple[ChangeOutcome, ...]]:
    """Apply log entries to a state.

    Parameters
    ----------
    state
        State to start from; it is not modified.
    entries
        Entries in offset order. Entries that the state already includes are
        ignored.

    Returns
    -------
    The new state, and the verdicts on the changes among the entries.

    Raises
    ------
    ValueError
        If an offset is missing between the state and an entry, or between two
        entries.
    """
    pending = [entry for entry in entries if entry.offset > state.offset]
    if not pending:
        return state, ()
    builder = _StateBuilder(state)
    outcomes = [
        outcome
        for entry in pending
        if (outcome := builder.apply(entry)) is not None
    ]
    return builder.build(), tuple(outcomes)


class _StateBuilder:
    """Mutable copy of a state, used during one replay."""

    def __init__(self, state: ClusterState) -> None:
        self._before = state
        self._members_changed = False
        self._offset = state.offset
        self._services = dict(state.services)
        self._tenants = dict(state.tenants)
        self._zones = dict(state.zones)
        self._members = dict(state.members)
        self._touched = dict(state.touched)
        self._outcomes = dict(state.outcomes)

    def build(self) -> ClusterState:
        # If no member changed, the mapping stays the same object, so that
        # views can skip comparing the members.
        members = self._before.members
        if self._members_changed:
            members = self._members
        return ClusterState(
            offset=self._offset,
            services=self._services,
            tenants=self._tenants,
            zones=self._zones,
            members=members,
            touched=self._touched,
            outcomes=self._outcomes,
        )

    def apply(self, entry: LogEntry) -> ChangeOutcome | None:
        if entry.offset != self._offset + 1:
            raise ValueError(
                f'entry at offset {entry.offset} does not follow offset '
                f'{self._offset}',
            )
        self._offset = entry.offset
        match entry.record:
            case Change() as change:
                return self._apply_change(entry.offset, change)
            case Join(member=member):
                self._members_changed = True
                self._members[member.node] = Announcement(member, entry.offset)
            case Leave() as leave:
                self._apply_leave(leave)
            case Evict() as evict:
                self._apply_evict(evict)
            case SnapshotPart() | Unreadable():
                # A snapshot only repeats the state that replay has reached, and
                # a record that cannot be decoded is skipped.
                return None
        return None

    def _apply_change(
        self,
        offset: Offset,
        change: Change,
    ) -> ChangeOutcome | None:
        if change.record_id in self._outcomes:
            return None
        problem = self._problem(offset, change)
        if problem is None:
            for edit in change.edits:
                self._apply_edit(offset, edit)
            return self._add_outcome(change.record_id, offset, Verdict.ACCEPTED)
        return self._add_outcome(
            change.record_id,
            offset,
            Verdict.REJECTED,
            problem,
        )

    def _problem(self, offset: Offset, change: Change) -> str | None:
        if change.base_offset >= offset:
            return f'base offset {change.base_offset} is not in the past'
        for edit in change.edits:
            touched = self._touched.get(scope_of(edit))
            if touched is not None and touched > change.base_offset:
                return (
                    f'{scope_of(edit)} was changed at offset {touched}, after '
                    f'offset {change.base_offset} that the plan was made from'
                )
            problem = edit_problem(edit, self._zones)
            if problem is not None:
                return problem
        return None

    def _apply_edit(self, offset: Offset, edit: Edit) -> None:
        match edit:
            case ServiceEdit(service=service):
                self._services[service.service] = service
            case TenantEdit(tenant=tenant):
                self._tenants[tenant.tenant] = tenant
            case AvailabilityZoneEdit(zone=zone):
                self._zones[zone.zone] = zone
        self._touched[scope_of(edit)] = offset

    def _add_outcome(
        self,
        record_id: RecordId,
        offset: Offset,
        verdict: Verdict,
        reason: str = '',
    ) -> ChangeOutcome:
        outcome = ChangeOutcome(record_id, offset, verdict, reason)
        self._outcomes[record_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.pop(next(iter(self._outcomes)))
        return outcome

    def _apply_leave(self, leave: Leave) -> None:
        announcement = self._members.get(leave.node)
        if announcement is None:
            return
        if announcement.member.incarnation == leave.incarnation:
            self._members_changed = True
            self._members.pop(leave.node)

    def _apply_evict(self, evict: Evict) -> None:
        announcement = self._members.get(evict.node)
        if announcement is None:
            return
        seen = (announcement.member.incarnation, announcement.last_seen)
        if seen == (evict.incarnation, evict.last_seen):
            self._members_changed = True
            self._members.pop(evict.node)
