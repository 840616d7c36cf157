"""Members that announced themselves in the log or through the relay."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from bilberryrail.control.directory import Directory
from bilberryrail.core.ids import Incarnation, NodeId, Seconds
from bilberryrail.core.records import (
    Change,
    ClusterState,
    Evict,
    Join,
    Leave,
    LogEntry,
    Member,
)

#: Incarnations remembered as leaving, or as resolved, which means that their
#: unlogged announcement is obsolete; about half a day of restarts in a system
#: of 19,000 nodes.
MAX_REMEMBERED: Final = 4096
#: Lifetime of an unlogged announcement, in seconds; longer than any outage of
#: the log. A live node appends its announcement once the log is available
#: again; a dead one never does.
UNLOGGED_LIFETIME_S: Final = 86400.0


class Membership:
    """Combines the members in the log with unlogged announcements.

    Attributes
    ----------
    directory
        All members; an unlogged announcement replaces one from the log.
    unlogged
        Announcements that are not in the log yet.
    leaving
        Nodes that have reported that they are draining.
    version
        Number that changes with the members, ``leaving`` or the configuration,
        but not when a member only refreshes its announcement.
    """

    def __init__(self, directory: Directory) -> None:
        self.directory = directory
        self.state = ClusterState()
        self.unlogged: dict[NodeId, Member] = {}
        self.leaving: frozenset[NodeId] = frozenset()
        self.version = 0
        self._unlogged_at: dict[NodeId, Seconds] = {}
        self._leaving: OrderedDict[NodeId, Incarnation] = OrderedDict()
        self._resolved: OrderedDict[Incarnation, NodeId] = OrderedDict()

    def observe(
        self,
        state: ClusterState,
        entries: Iterable[LogEntry],
    ) -> None:
        """Update the members from replayed entries.

        Parameters
        ----------
        state
            State after all of ``entries``.
        """
        self.state = state
        for entry in entries:
            match entry.record:
                case Join(member=member):
                    self._observe_join(member)
                case Leave(node=node, incarnation=incarnation):
                    self.mark_leaving(node, incarnation)
                    self._resolve(node, incarnation)
                case Evict(node=node, incarnation=incarnation):
                    self._observe_evict(node, incarnation)
                case Change():
                    self.version += 1

    def reset(self, state: ClusterState) -> None:
        """Replace the members by those of a whole state."""
        self.state = state
        for node, member in tuple(self.unlogged.items()):
            if self._is_logged(member):
                self._resolve(node, member.incarnation)
        members = {
            announcement.member.node: announcement.member
            for announcement in state.members.values()
        }
        members.update(self.unlogged)
        self.directory.reset(members.values())
        for member in members.values():
            self._forget_leaving(member)
        self.version += 1

    def add_unlogged(
        self,
        members: Iterable[Member],
        now: Seconds,
    ) -> tuple[Member, ...]:
        """Store unlogged announcements, and return the new ones."""
        added = tuple(member for member in members if self._is_new(member))
        for member in added:
            replaced = self.unlogged.get(member.node)
            if replaced is not None:
                self._remember_resolved(member.node, replaced.incarnation)
            self.unlogged[member.node] = member
            self._unlogged_at[member.node] = now
            self._forget_leaving(member)
            self._refresh(member.node)
        return added

    def expire_unlogged(self, now: Seconds) -> None:
        """Drop unlogged announcements that are older than their lifetime."""
        for node, since in tuple(self._unlogged_at.items()):
            if now - since > UNLOGGED_LIFETIME_S:
                self._resolve(node, self.unlogged[node].incarnation)

    def mark_leaving(self, node: NodeId, incarnation: Incarnation) -> None:
        """Record that an incarnation of a node admits no new calls."""
        known = self.directory.members.get(node)
        if known is not None and known.incarnation != incarnation:
            return
        self._leaving[node] = incarnation
        if len(self._leaving) > MAX_REMEMBERED:
            self._leaving.popitem(last=False)
        self._update_leaving()

    def link_up(self, member: Member) -> None:
        """Clear the draining mark of an older incarnation of a linked node."""
        self._forget_leaving(member)

    def _observe_join(self, member: Member) -> None:
        unlogged = self.unlogged.get(member.node)
        if unlogged is not None:
            # The log takes precedence, even if the node has restarted since.
            self._resolve(member.node, unlogged.incarnation)
        self._resolve(member.node, member.incarnation)
        self._forget_leaving(member)

    def _observe_evict(self, node: NodeId, incarnation: Incarnation) -> None:
        if node not in self.state.members:
            self._resolve(node, incarnation)
        self._refresh(node)

    def _is_new(self, member: Member) -> bool:
        if member.incarnation in self._resolved or self._is_logged(member):
            return False
        known = self.unlogged.get(member.node)
        return known is None or known.incarnation != member.incarnation

    def _is_logged(self, member: Member) -> bool:
        logged = self.state.members.get(member.node)
        if logged is None:
            return False
        return logged.member.incarnation == member.incarnation

    def _resolve(self, node: NodeId, incarnation: Incarnation) -> None:
        """Mark an incarnation as resolved; drop its unlogged announcement."""
        self._remember_resolved(node, incarnation)
        known = self.unlogged.get(node)
        if known is not None and known.incarnation == incarnation:
            self.unlogged.pop(node)
            self._unlogged_at.pop(node)
            self.version += 1
        self._refresh(node)

    def _remember_resolved(
        self, node: NodeId, incarnation: Incarnation
    ) -> None:
        self._resolved[incarnation] = node
        if len(self._resolved) > MAX_REMEMBERED:
            self._resolved.popitem(last=False)

    def _refresh(self, node: NodeId) -> None:
        before = self.directory.members.get(node)
        after = self.unlogged.get(node)
        logged = self.state.members.get(node)
        if after is None and logged is not None:
            after = logged.member
        if after == before:
            return
        self.version += 1
        if after is None:
            self.directory.remove(node)
        else:
            self.directory.put(after)

    def _forget_leaving(self, member: Member) -> None:
        incarnation = self._leaving.get(member.node)
        if incarnation not in {None, member.incarnation}:
            self._leaving.pop(member.node)
            self._update_leaving()

    def _update_leaving(self) -> None:
        leaving = frozenset(self._leaving)
        if leaving != self.leaving:
            self.leaving = leaving
            self.version += 1
