"""Eviction of members that no longer refresh their announcement."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from bilberryrail.control.directory import hash_of
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.core.ids import NodeId, Offset, RecordId, Seconds
from bilberryrail.core.records import (
    Announcement,
    ClusterState,
    Evict,
)

#: Fraction of the refresh interval by which a refresh may be late. Each further
#: log reader of a region waits this much longer than the reader before it.
REFRESH_SLACK: Final = 0.1
#: Longest step of the eviction clock, in status intervals. A longer step means
#: that this process was paused and could not see refreshes.
MAX_STEP_INTERVALS: Final = 2


@dataclass(frozen=True, slots=True)
class _Seen:
    """Newest announcement of a member, and its time on the eviction clock."""

    last_seen: Offset
    at: float


class Evictions:
    """Measures on a clock of its own how long members have not refreshed.

    The clock stops while the log is unavailable, because no member can refresh
    then.
    """

    def __init__(self, settings: RelaySettings, identity: NodeIdentity) -> None:
        self.settings = settings
        self.identity = identity
        self.active = False
        self._seen: OrderedDict[NodeId, _Seen] = OrderedDict()
        self._elapsed = float(0)
        self._advanced_at: Seconds | None = None

    def start(self, state: ClusterState) -> None:
        """Start to watch all members of the region, as a new log reader."""
        self.active = True
        self._seen.clear()
        for announcement in state.members.values():
            self._watch(announcement)

    def stop(self) -> None:
        """Stop watching, because this node no longer reads the log."""
        self.active = False
        self._seen.clear()

    def observe(self, node: NodeId, state: ClusterState) -> None:
        """Record the newest announcement of a member."""
        if not self.active:
            return
        announcement = state.members.get(node)
        if announcement is None:
            self._seen.pop(node, None)
        else:
            self._watch(announcement)

    def advance(self, log_available: bool, now: Seconds) -> None:
        """Advance the eviction clock if the log is available."""
        before = self._advanced_at
        self._advanced_at = now
        if log_available and before is not None:
            max_step_s = self.settings.status_interval_s * MAX_STEP_INTERVALS
            self._elapsed += min(now - before, max_step_s)

    def pop_due(
        self,
        state: ClusterState,
        readers: tuple[NodeId, ...],
    ) -> tuple[Evict, ...]:
        """Return evictions that are due at this reader and stop watching them.

        Parameters
        ----------
        readers
            Log readers of the region. The hash of the member chooses the
            reader that evicts it first; each further one waits longer.
        """
        found: list[Evict] = []
        for node, seen in tuple(self._seen.items()):
            silence = self._elapsed - seen.at
            if silence < self._max_silence(0):
                break
            if silence >= self._max_silence(self._turn(node, readers)):
                self._seen.pop(node)
                found.append(_eviction_of(state.members[node], seen.last_seen))
        return tuple(found)

    def _watch(self, announcement: Announcement) -> None:
        member = announcement.member
        if member.node == self.identity.node:
            return
        if member.region != self.identity.region:
            self._seen.pop(member.node, None)
            return
        seen = self._seen.get(member.node)
        if seen is not None and seen.last_seen == announcement.last_seen:
            return
        self._seen[member.node] = _Seen(announcement.last_seen, self._elapsed)
        self._seen.move_to_end(member.node)

    def _max_silence(self, turn: int) -> float:
        missed = self.settings.missed_refreshes + REFRESH_SLACK * (1 + turn)
        return self.settings.refresh_interval_s * missed

    def _turn(self, node: NodeId, readers: tuple[NodeId, ...]) -> int:
        if self.identity.node not in readers:
            return 0
        own = readers.index(self.identity.node)
        return (hash_of(node) + own) % len(readers)


def _eviction_of(announcement: Announcement, last_seen: Offset) -> Evict:
    """Build an eviction record.

    Records of several readers for the same announcement share their record id.
    """
    member = announcement.member
    return Evict(
        record_id=RecordId(f'evict/{member.node}/{last_seen}'),
        node=member.node,
        incarnation=member.incarnation,
        last_seen=last_seen,
    )
