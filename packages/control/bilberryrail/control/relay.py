"""Relay of records to the subscribers of this node."""

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

#: Entries kept in memory for subscribers that are behind; about 4 MB at 1 kB
#: each.
MAX_RECENT: Final = 4096
#: Entries in one message, so that calls on the same link do not wait long
#: behind it.
MAX_ENTRIES_PER_MESSAGE: Final = 256
#: Subscribers per configured child. A node is first or second parent of up to
#: three times ``children_per_parent`` nodes; the rest is a reserve for nodes
#: whose views differ.
SUBSCRIBERS_PER_CHILD: Final = 4
#: Status intervals between two renewals of a subscription. Renewals are needed
#: because links are shared with calls, so that a child that has moved to
#: another parent may keep the link open.
RENEWAL_INTERVALS: Final = 10
#: Number of missed renewals after which a subscriber is dropped.
MISSED_RENEWALS: Final = 3


class RecentEntries:
    """The newest applied entries, without gaps and at most ``MAX_RECENT``."""

    def __init__(self) -> None:
        self.entries: deque[LogEntry] = deque(maxlen=MAX_RECENT)

    def add(self, entries: Iterable[LogEntry]) -> None:
        """Append applied entries; the oldest ones are dropped if needed."""
        self.entries.extend(_without_payload(entry) for entry in entries)

    def after(self, offset: Offset, end: Offset) -> list[LogEntry] | None:
        """List entries after ``offset`` up to ``end``; None if any is gone."""
        wanted = end - offset
        if wanted <= 0:
            return []
        if wanted > len(self.entries):
            return None
        return list(islice(self.entries, len(self.entries) - wanted, None))


@dataclass(slots=True)
class _Subscriber:
    """A node to which this node sends records.

    Attributes
    ----------
    sent
        Newest offset sent to it.
    heartbeats_only
        Whether another source sends it the records.
    has_unlogged
        Whether all unlogged announcements were sent to it once.
    """

    sent: Offset
    sent_at: Seconds
    renewed_at: Seconds
    heartbeats_only: bool
    has_unlogged: bool = False


class Relay:
    """Sends records to a bounded number of subscribers.

    Nothing is sent before this node has caught up, because the newest offset
    that it would report could be too low.
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
        """Add or renew a subscriber and send the records that it lacks."""
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
        """Remove a subscriber."""
        self.subscribers.pop(peer, None)

    def push(self, now: Seconds) -> tuple[ControlAction, ...]:
        """Send new records to the subscribers that receive records here."""
        actions: list[ControlAction] = []
        for peer, subscriber in self.subscribers.items():
            waits = not (subscriber.heartbeats_only and subscriber.has_unlogged)
            if waits and subscriber.sent < self.replica.state.offset:
                actions.extend(self._catch_up(peer, now))
        return tuple(actions)

    def send_heartbeats(self, now: Seconds) -> tuple[ControlAction, ...]:
        """Send heartbeats to subscribers without a recent message.

        Subscribers whose subscription has expired are dropped first.
        """
        self._drop_expired(now)
        idle_since = now - self.interval_s / 2
        actions: list[ControlAction] = []
        for peer, subscriber in self.subscribers.items():
            if subscriber.sent_at > idle_since:
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
        """Send unlogged announcements to neighbours in the relay tree."""
        if not members or not self.replica.caught_up:
            return ()
        return tuple(self._message(peer, (), members) for peer in peers)

    def send_missing(
        self, peer: NodeId, behind: Offset
    ) -> tuple[ControlAction, ...]:
        """Send records to a source that is behind this node."""
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
    """Strip the payload of snapshots, which would exceed the byte budget."""
    if isinstance(entry.record, SnapshotPart):
        return replace(entry, record=replace(entry.record, payload=b''))
    return entry
