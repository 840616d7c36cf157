"""Announcement of this node as a member in the log."""

from collections.abc import Iterable, Iterator
from typing import Final

from bilberryrail.control.directory import HASH_BITS, hash_of
from bilberryrail.control.messages import ControlAction, LogEvent
from bilberryrail.control.outbox import Outbox
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import NO_OFFSET, Offset, RecordId, Seconds
from bilberryrail.core.records import ClusterState, Join, Leave, Member

#: Number of values of ``hash_of``.
_HASH_RANGE: Final = 1 << HASH_BITS
#: Time from the start of a drain to Leave, in seconds. After Leave, the outcome
#: of a call with a reservation of this node is unknown; until then the node
#: itself can still answer that the call did not run.
LEAVE_DELAY_S: Final = 0.4


class Announcer:
    """Appends the Join, the refreshes and the Leave of this node.

    Attributes
    ----------
    own
        Member record of this node.
    draining
        Whether the node admits no new calls and is about to leave.
    superseded
        Whether another incarnation of this node has joined since.
    has_left
        Whether a Leave was passed to the outbox.
    """

    def __init__(
        self,
        settings: RelaySettings,
        own: Member,
        outbox: Outbox,
    ) -> None:
        self.settings = settings
        self.own = own
        self.outbox = outbox
        self.draining = False
        self.superseded = False
        self._record_id: RecordId | None = None
        self._stored_offset = NO_OFFSET
        self._joined = False
        self._refresh_at = Seconds(float('inf'))
        self._leave_at = Seconds(float('-inf'))
        self.has_left = False

    def append_if_due(
        self,
        state: ClusterState,
        now: Seconds,
    ) -> Iterator[ControlAction]:
        """Append Join, refresh or Leave if due; call it only once caught up."""
        if self._is_append_pending(state):
            return
        is_member = self.is_member(state)
        if self.draining:
            yield from self._leave_if_due(is_member, now)
        elif is_member:
            yield from self._refresh_if_due(now)
        elif not self._is_superseded(state):
            name = 'announced_again' if self._joined else 'joined'
            yield LogEvent(name, {'node': self.own.node})
            yield self._append_join(now)

    def drain(
        self,
        state: ClusterState,
        now: Seconds,
    ) -> Iterator[ControlAction]:
        """Start to drain; a pending Join is no longer retried.

        A node that is no member appends its Leave at once. For a member,
        ``append_if_due`` appends it after ``LEAVE_DELAY_S``.
        """
        if self.draining:
            return
        self.draining = True
        if self._record_id is not None:
            self.outbox.remove(self._record_id)
        yield LogEvent('leaving', {'node': self.own.node})
        if self.is_member(state):
            self._leave_at = Seconds(now + LEAVE_DELAY_S)
        else:
            yield self._append_leave(now)

    def override_older_incarnation(
        self, members: Iterable[Member], now: Seconds
    ) -> None:
        """Schedule a refresh if another incarnation of this node is announced.

        The refresh makes every node discard that announcement.
        """
        for member in members:
            is_old = member.incarnation != self.own.incarnation
            if member.node == self.own.node and is_old and self._joined:
                self._refresh_at = now

    def append_acknowledged(self, record_id: RecordId, offset: Offset) -> None:
        """Record the offset of the newest record of this node in the log."""
        if record_id == self._record_id:
            self._stored_offset = offset

    def is_unlogged(self, record_id: RecordId, state: ClusterState) -> bool:
        """Return whether a record is the pending first Join of this node."""
        return (
            record_id == self._record_id
            and not self.draining
            and not self.is_member(state)
        )

    def is_member(self, state: ClusterState) -> bool:
        """Return whether this incarnation is a member in the state."""
        announcement = state.members.get(self.own.node)
        if announcement is None:
            return False
        return announcement.member.incarnation == self.own.incarnation

    def _is_append_pending(self, state: ClusterState) -> bool:
        if self._record_id in self.outbox.pending:
            return True
        return state.offset < self._stored_offset

    def _is_superseded(self, state: ClusterState) -> bool:
        self.superseded = self._joined and self.own.node in state.members
        return self.superseded

    def _refresh_if_due(self, now: Seconds) -> Iterator[ControlAction]:
        interval = self.settings.refresh_interval_s
        if not self._joined:
            self._joined = True
            phase = hash_of(self.own.node) / _HASH_RANGE
            self._refresh_at = Seconds(now + interval * phase)
        elif now >= self._refresh_at:
            self._refresh_at = Seconds(now + interval)
            yield self._append_join(now)

    def _leave_if_due(
        self,
        is_member: bool,
        now: Seconds,
    ) -> Iterator[ControlAction]:
        if is_member and now >= self._leave_at:
            yield self._append_leave(now)

    def _append_join(self, now: Seconds) -> ControlAction:
        self._record_id = self.outbox.new_id()
        return self.outbox.append(Join(self._record_id, self.own), now)

    def _append_leave(self, now: Seconds) -> ControlAction:
        self._record_id = self.outbox.new_id()
        leave = Leave(self._record_id, self.own.node, self.own.incarnation)
        self.has_left = True
        return self.outbox.append(leave, now)
