"""Nodes from which this node receives records instead of reading the log."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from bilberryrail.control.directory import Directory
from bilberryrail.control.messages import (
    CloseLink,
    ControlAction,
    LogEvent,
    OpenLink,
    OpenSeedLink,
    SendSubscribe,
)
from bilberryrail.control.relay import RENEWAL_INTERVALS
from bilberryrail.control.settings import RelaySettings
from bilberryrail.core.ids import NodeId, Offset, Seconds
from bilberryrail.core.records import Member

#: Number of missed heartbeats after which a source counts as silent.
MISSED_HEARTBEATS: Final = 3
#: Time for which a node that does not answer stays suspected and so has no
#: position in the relay tree, in seconds.
SUSPECT_DURATION_S: Final = 30.0
#: Time between two attempts to reach the seeds, in seconds.
SEED_RETRY_S: Final = 5.0
#: Sources used at the same time; a record is missed only if both fail.
MAX_SOURCES: Final = 2
#: Time for which all sources send records after the first one has failed to
#: send them, in seconds. With a shorter time the node falls behind repeatedly
#: while a parent stays behind.
ALL_SOURCES_SEND_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class _Subscription:
    """Time and kind of the last subscription to a source."""

    at: Seconds
    heartbeats_only: bool


class Sources:
    """Chooses sources, keeps links to them and notices silent ones.

    Attributes
    ----------
    open_links
        Nodes with an open link, whichever side opened it.
    chosen
        Current sources in order of preference, each with the time of its last
        message, or of its choice if it has sent none.
    wanted_links
        Nodes to which this node needs a link.
    suspects
        Nodes that do not answer, each with the end of its suspicion.
    """

    def __init__(self, settings: RelaySettings, directory: Directory) -> None:
        self.settings = settings
        self.directory = directory
        self.open_links: dict[NodeId, Member] = {}
        self.chosen: dict[NodeId, Seconds] = {}
        self.wanted_links: dict[NodeId, Member] = {}
        self.suspects: dict[NodeId, Seconds] = {}
        self._opened: dict[NodeId, Member] = {}
        self._subscribed: dict[NodeId, _Subscription] = {}
        self._from_first = False
        self._all_send_until = Seconds(float('-inf'))
        self._seeds_tried_at = Seconds(float('-inf'))
        self._checked_at = Seconds(float('-inf'))

    @property
    def first(self) -> NodeId | None:
        """The first source with an open link."""
        return next(
            (peer for peer in self.chosen if peer in self.open_links), None
        )

    def open_seeds(self, now: Seconds) -> Iterator[ControlAction]:
        """Open links to the seeds if no link is open."""
        if self.open_links or now < self._seeds_tried_at + SEED_RETRY_S:
            return
        self._seeds_tried_at = now
        for seed in self.settings.seeds:
            yield OpenSeedLink(seed.host, seed.port)

    def link_up(self, member: Member) -> None:
        """Record that a link is open."""
        self.open_links[member.node] = member
        self.suspects.pop(member.node, None)
        if any(
            _is_at(member, seed.host, seed.port) for seed in self.settings.seeds
        ):
            self._opened.setdefault(member.node, member)

    def link_down(self, peer: NodeId, now: Seconds) -> None:
        """Record a broken link; suspect the peer if the link is needed."""
        self.open_links.pop(peer, None)
        self._subscribed.pop(peer, None)
        if peer in self.wanted_links:
            self.suspects[peer] = Seconds(now + SUSPECT_DURATION_S)

    def message_received(self, peer: NodeId, now: Seconds) -> None:
        """Record the time of a message if its sender is a source."""
        if self.is_source(peer):
            self.chosen[peer] = now

    def is_source(self, peer: NodeId) -> bool:
        """Return whether a peer is a source of this node."""
        return peer in self.chosen

    def has_answering_source(self, now: Seconds) -> bool:
        """Return whether at least one source is not silent."""
        return any(self._is_recent(at, now) for at in self.chosen.values())

    def suspect_silent(self, now: Seconds) -> None:
        """Suspect silent sources and end suspicions that have expired.

        After a pause of this process no source is suspected, because the pause
        explains the missing heartbeats.
        """
        paused = not self._is_recent(self._checked_at, now)
        self._checked_at = now
        for peer, at in tuple(self.chosen.items()):
            if paused:
                self.chosen[peer] = now
            elif not self._is_recent(at, now):
                self.suspects[peer] = Seconds(now + SUSPECT_DURATION_S)
        for peer, until in tuple(self.suspects.items()):
            if until <= now:
                self.suspects.pop(peer)

    def choose(
        self,
        sources: tuple[Member, ...],
        links: tuple[Member, ...],
        now: Seconds,
        *,
        from_first: bool,
    ) -> Iterator[ControlAction]:
        """Set the sources, and open links to them and to ``links``.

        With ``from_first`` only the first source sends records; the others
        send only heartbeats with the newest offset.
        """
        self._from_first = from_first
        nodes = tuple(source.node for source in sources)
        if nodes != tuple(self.chosen):
            self.chosen = {node: self.chosen.get(node, now) for node in nodes}
            yield LogEvent('parents_chosen', {'parents': ','.join(nodes)})
        self.wanted_links = {
            member.node: member for member in (*sources, *links)
        }
        yield from self._close_links()
        yield from self._open_links()

    def subscribe(
        self,
        applied: Offset,
        now: Seconds,
    ) -> Iterator[SendSubscribe]:
        """Subscribe to sources with an open link, and renew subscriptions."""
        renewal_s = self.settings.status_interval_s * RENEWAL_INTERVALS
        for peer in tuple(self._subscribed):
            if peer not in self.chosen:
                self._subscribed.pop(peer)
        heartbeats_only = self._from_first and now >= self._all_send_until
        first = self.first
        for peer in self.chosen:
            wanted = _Subscription(now, heartbeats_only and peer != first)
            if peer in self.open_links and self._is_due(
                peer, wanted, renewal_s
            ):
                self._subscribed[peer] = wanted
                yield SendSubscribe(peer, applied, wanted.heartbeats_only)

    def request_missing(self, now: Seconds) -> None:
        """Subscribe to the missing records at all sources."""
        self._all_send_until = Seconds(now + ALL_SOURCES_SEND_S)
        self._subscribed.clear()

    def initial_sources(self) -> tuple[Member, ...]:
        """List nodes that serve as sources while no parent is known."""
        nodes = sorted(self.open_links.keys() - self.suspects.keys())
        return tuple(self.open_links[node] for node in nodes[:MAX_SOURCES])

    def _is_due(
        self,
        peer: NodeId,
        wanted: _Subscription,
        renewal_s: float,
    ) -> bool:
        known = self._subscribed.get(peer)
        if known is None or known.heartbeats_only != wanted.heartbeats_only:
            return True
        return wanted.at - known.at >= renewal_s

    def _is_recent(self, at: Seconds, now: Seconds) -> bool:
        limit = self.settings.status_interval_s * MISSED_HEARTBEATS
        return now - at <= limit

    def _close_links(self) -> Iterator[ControlAction]:
        for node, member in tuple(self._opened.items()):
            wanted = self.wanted_links.get(node)
            if wanted and _is_at(wanted, member.host, member.port):
                continue
            self._opened.pop(node)
            yield CloseLink(node)

    def _open_links(self) -> Iterator[ControlAction]:
        for node, member in self.wanted_links.items():
            if node not in self._opened:
                self._opened[node] = member
                yield OpenLink(node, member.host, member.port)


def _is_at(member: Member, host: str, port: int) -> bool:
    return (member.host, member.port) == (host, port)
