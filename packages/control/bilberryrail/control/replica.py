"""Copy of the cluster state on this node, updated from the log."""

from collections.abc import Iterable
from typing import Final

from bilberryrail.control.replay import replay
from bilberryrail.control.snapshot import newest_state
from bilberryrail.core.ids import NO_OFFSET, Offset, Seconds
from bilberryrail.core.records import ClusterState, LogEntry, SnapshotPart

#: Entries kept that arrived before an entry with a lower offset.
MAX_OUT_OF_ORDER: Final = 1024
#: Entries kept while the log is searched for a snapshot.
MAX_COLLECTED: Final = 50000


class Replica:
    """Applies each log offset once and never goes back to a lower one.

    Attributes
    ----------
    newest_offset
        Newest offset that the log or a source has reported.
    offset_reported_at
        Time of the last report of the newest offset.
    caught_up
        Whether the state has reached an offset reported since the start.
    lacks_state
        Whether the log lacks the entries after the state and holds no usable
        snapshot, so that a peer has to send its state.
    collected
        Entries read so far in a search for a snapshot; None if no search is
        running.
    """

    def __init__(self) -> None:
        self.state = ClusterState()
        self.newest_offset = NO_OFFSET
        self.offset_reported_at = Seconds(float('-inf'))
        self.caught_up = False
        self.lacks_state = False
        self.collected: list[LogEntry] | None = None
        self._search_from = Offset(0)
        self._has_reported_offset = False
        self._out_of_order: dict[Offset, LogEntry] = {}

    @property
    def next_read(self) -> Offset:
        """Offset at which the next read of the log starts."""
        if self.collected is None:
            return Offset(self.state.offset + 1)
        if self.collected:
            return Offset(self.collected[-1].offset + 1)
        return self._search_from

    @property
    def is_behind(self) -> bool:
        """Whether newer offsets are known to exist."""
        return (
            bool(self._out_of_order) or self.newest_offset > self.state.offset
        )

    def offset_reported(self, newest_offset: Offset, now: Seconds) -> None:
        """Record the newest offset that the log or a source has reported."""
        self.newest_offset = max(self.newest_offset, newest_offset)
        self.offset_reported_at = now
        self._has_reported_offset = True
        self._update_caught_up()

    def apply(self, entries: Iterable[LogEntry]) -> tuple[LogEntry, ...]:
        """Apply the entries that follow the state, and return them in order."""
        ready: list[LogEntry] = []
        following = Offset(self.state.offset + 1)
        for entry in entries:
            if entry.offset == following:
                ready.append(entry)
                following = Offset(following + 1)
            elif (
                entry.offset > following
                and len(self._out_of_order) < MAX_OUT_OF_ORDER
            ):
                self._out_of_order[entry.offset] = entry
        while following in self._out_of_order:
            ready.append(self._out_of_order.pop(following))
            following = Offset(following + 1)
        if ready:
            self.state = replay(self.state, ready)[0]
            self._forget_applied()
            self._update_caught_up()
        return tuple(ready)

    def adopt(self, state: ClusterState) -> bool:
        """Replace the state if the given one is newer; return whether it is."""
        if state.offset <= self.state.offset:
            return False
        self.state = state
        self.collected = None
        self.lacks_state = False
        self._forget_applied()
        self._update_caught_up()
        return True

    def start_snapshot_search(self, first: Offset) -> None:
        """Start to search the log for a snapshot from its oldest entry on."""
        self.collected = []
        self._search_from = first

    def stop_snapshot_search(self) -> None:
        """Stop the search without a snapshot; a peer has to send its state."""
        self.collected = None
        self.lacks_state = True

    def search_snapshot(
        self,
        entries: tuple[LogEntry, ...],
    ) -> tuple[LogEntry, ...] | None:
        """Search the entries read so far for a snapshot, and adopt it.

        Returns
        -------
        The entries to apply after the snapshot, or None if there is none yet.
        """
        collected = [*(self.collected or ()), *entries][-MAX_COLLECTED:]
        self.collected = collected
        if not any(isinstance(entry.record, SnapshotPart) for entry in entries):
            return None
        state = newest_state(collected)
        if state is None or not self.adopt(state):
            return None
        return tuple(collected)

    def _forget_applied(self) -> None:
        self._out_of_order = {
            offset: entry
            for offset, entry in self._out_of_order.items()
            if offset > self.state.offset
        }

    def _update_caught_up(self) -> None:
        if (
            self._has_reported_offset
            and self.state.offset >= self.newest_offset
        ):
            self.caught_up = True
