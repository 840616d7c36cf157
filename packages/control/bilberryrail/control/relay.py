"""Records that this node passes on to its subscribers."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from itertools import islice
from typing import Final

from bilberryrail.control.messages import (
    ControlAction,
    LogEvent,
    SendRecords,
    SendState,
    SubscribeReceived,
)
from bilberryrail.control.replica import Replica
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import NodeId, Offset, Seconds
from bilberryrail.core.records import LogEntry, Member, SnapshotPart

#: Entries kept for subscribers that are behind; about 4 MB at 1 kB each.
MAX_RECENT: Final = 4096
#: Entries in one message, so that calls are not held up behind it.
MAX_ENTRIES_PER_MESSAGE: Final = 256
#: A node is first or second parent of up to three times
#: ``children_per_parent`` nodes; differing views need some room more.
SUBSCRIBERS_PER_CHILD: Final = 4
#: Status intervals between two renewals of a subscription. Links are shared
#: with calls, so a child that moved away may keep the link open.
RENEWAL_INTERVALS: Final = 10
#: Renewals missed after which a subscriber is dropped.
MISSED_RENEWALS: Final = 3


class RecentEntries:
    """The newest applied entries without gaps, bounded in number."""

    def __init__(self) -> None:
        self.entries: deque[LogEntry] = deque(maxlen=MAX_RECENT)

    def add(self, entries: Iterable[LogEntry]) -> None:
        """Keep applied entries."""
        self.entries.extend(_without_payload(entry) for entry in entries)

    def after(self, offset: Offset, end: Offset) -> list[LogEntry] | None:
        """List entries after ``offset`` up to ``end``; None if expired."""
        wanted = end - offset
        if wanted <= 0:
            return []
        if wanted > len(self.entries):
            return None
        return list(islice(self.entries, len(self.entries) - wanted, None))


@dataclass(slots=True)
class _Subscriber:
    """A node that gets records.

    Attributes
    ----------
    sent
        Newest offset sent to it.
    heartbeats_only
        Whether another source sends it the records.
    greeted
        Whether it was sent all unlogged announcements once.
    """

    sent: Offset
    sent_at: Seconds
    renewed_at: Seconds
    heartbeats_only: bool
    has_unlogged: bool = False


class Relay:
    """Pushes records to a bounded number of subscribers.

    Nothing is sent before this node has caught up, because its statement of
    the current offset would mislead subscribers.
    """

    def __init__(
        self,
        settings: RelaySettings,
        replica: Replica,
        unlogged: Mapping[NodeId, Member],
    ) -> None:
        self.replica = replica
        self.unlogged = unlogged
        self.recent = RecentEntries()
        self.max_subscribers = (
            settings.children_per_parent * SUBSCRIBERS_PER_CHILD
        )
        self.interval_s = settings.status_interval_s
        self.subscribers: dict[NodeId, _Subscriber] = {}

    def subscribe(
        self,
        event: SubscribeReceived,
        now: Seconds,
    ) -> tuple[ControlAction, ...]:
        """Accept a subscriber and send what it lacks."""
        peer = event.peer
        known = self.subscribers.get(peer)
        if known is None and len(self.subscribers) >= self.max_subscribers:
            return (LogEvent('subscriber_refused', {'peer': peer}),)
        self.subscribers[peer] = _Subscriber(
            sent=event.applied,
            sent_at=now,
            renewed_at=now,
            heartbeats_only=event.heartbeats_only,
            has_unlogged=known is not None and known.has_unlogged,
        )
        return self._catch_up(peer, now)

    def drop(self, peer: NodeId) -> None:
        """Forget a subscriber whose link is gone."""
        self.subscribers.pop(peer, None)

    def push(self, now: Seconds) -> tuple[ControlAction, ...]:
        """Send new records to the subscribers that wait for them here."""
        actions: list[ControlAction] = []
        for peer, subscriber in self.subscribers.items():
            waits = not (subscriber.heartbeats_only and subscriber.has_unlogged)
            if waits and subscriber.sent < self.replica.state.offset:
                actions.extend(self._catch_up(peer, now))
        return tuple(actions)

    def send_heartbeats(self, now: Seconds) -> tuple[ControlAction, ...]:
        """Send a heartbeat to subscribers that got nothing for a while.

        Subscribers that did not renew are dropped.
        """
        self._drop_expired(now)
        quiet_since = now - self.interval_s / 2
        actions: list[ControlAction] = []
        for peer, subscriber in self.subscribers.items():
            if subscriber.sent_at > quiet_since:
                continue
            if subscriber.heartbeats_only and subscriber.has_unlogged:
                subscriber.sent_at = now
                actions.append(self._message(peer, ()))
            else:
                actions.extend(self._catch_up(peer, now))
        return tuple(actions)

    def send_unlogged(
        self,
        peers: Iterable[NodeId],
        members: tuple[Member, ...],
    ) -> tuple[ControlAction, ...]:
        """Send unlogged announcements to neighbours in the relay."""
        if not members or not self.replica.caught_up:
            return ()
        return tuple(self._message(peer, (), members) for peer in peers)

    def send_missing(
        self, peer: NodeId, behind: Offset
    ) -> tuple[ControlAction, ...]:
        """Send records to a source that is itself behind."""
        missing = self.recent.after(behind, self.replica.state.offset)
        if not missing or not self.replica.caught_up:
            return ()
        return self._chunks(peer, missing)

    def _catch_up(
        self,
        peer: NodeId,
        now: Seconds,
    ) -> tuple[ControlAction, ...]:
        if not self.replica.caught_up:
            return ()
        subscriber = self.subscribers[peer]
        state = self.replica.state
        missing = self.recent.after(subscriber.sent, state.offset)
        unlogged = (
            () if subscriber.has_unlogged else tuple(self.unlogged.values())
        )
        subscriber.sent = max(subscriber.sent, state.offset)
        subscriber.sent_at = now
        subscriber.has_unlogged = True
        if missing is None:
            return (
                SendState(peer, state),
                self._message(peer, (), unlogged),
            )
        if missing:
            return (
                *self.send_unlogged((peer,), unlogged),
                *self._chunks(peer, missing),
            )
        return (self._message(peer, (), unlogged),)

    def _chunks(
        self,
        peer: NodeId,
        entries: list[LogEntry],
    ) -> tuple[ControlAction, ...]:
        starts = range(0, len(entries), MAX_ENTRIES_PER_MESSAGE)
        return tuple(
            self._message(
                peer,
                tuple(entries[start : start + MAX_ENTRIES_PER_MESSAGE]),
            )
            for start in starts
        )

    def _drop_expired(self, now: Seconds) -> None:
        max_age_s = self.interval_s * RENEWAL_INTERVALS * MISSED_RENEWALS
        for peer, subscriber in tuple(self.subscribers.items()):
            if now - subscriber.renewed_at > max_age_s:
                self.drop(peer)

    def _message(
        self,
        peer: NodeId,
        entries: tuple[LogEntry, ...],
        unlogged: tuple[Member, ...] = (),
    ) -> SendRecords:
        current = max(self.replica.newest_offset, self.replica.state.offset)
        return SendRecords(peer, entries, current, unlogged)


def _without_payload(entry: LogEntry) -> LogEntry:
    """Strip snapshots; relayed whole they would exceed the byte budget."""
    if isinstance(entry.record, SnapshotPart):
        return replace(entry, record=replace(entry.record, payload=b''))
    return entry
