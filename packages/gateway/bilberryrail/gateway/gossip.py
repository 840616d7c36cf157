"""Exchanges load and the operators' state between nodes."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from bilberryrail.core.ids import AvailabilityZoneId, NodeId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import BackendLoad, ConfigVersion
from bilberryrail.forwarding.target import Target
from bilberryrail.gateway.link import Link
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.reader_selection import ReaderSelection

#: Interval at which a changed load is sent to the nodes that use this target,
#: in seconds.
LOAD_INTERVAL_S: Final = 0.1

#: Time after a node's last request during which it gets load reports, in
#: seconds.
LOAD_INTEREST_S: Final = 2.0

#: Smallest changes of the load that are sent: of the slowdown factor, and of
#: the requests in flight as a share of the concurrency limit.
MIN_SLOWDOWN_CHANGE: Final = 0.4
MIN_OCCUPANCY_CHANGE: Final = 0.25

#: Smallest change, in requests, of what a stated limit allows that is sent.
MIN_CREDIT_CHANGE: Final = 1.0

#: Interval at which this node sends its progress to other nodes of its
#: availability zone, in seconds.
PROGRESS_INTERVAL_S: Final = 1.0

#: The same for a node that does not reach the store, in seconds; it may get the
#: state from any zone.
STORE_DOWN_INTERVAL_S: Final = 0.4

#: Delay before a change of the operators' state is sent to other nodes, in
#: seconds. Until then, nodes that read the store have the change from there.
CHANGE_DELAY_S: Final = 0.4

#: The same for a reader, in seconds. It is short because the other nodes of the
#: zone depend on the reader; changes that the store returns together are still
#: sent once.
READER_CHANGE_DELAY_S: Final = 0.02

#: Minimum time between two requests for the operators' state, and between two
#: snapshots sent to one node, in seconds.
MIN_EXCHANGE_INTERVAL_S: Final = 0.3

#: Time after the start during which only the store is asked for the state, in
#: seconds.
STORE_ONLY_S: Final = 1.0


class Gossip:
    """Sends changes to linked nodes, at a bounded rate.

    Readers get the operators' state from the store. All other nodes, and
    readers that do not reach the store, get it from other nodes here.

    Attributes
    ----------
    is_store_up
        Returns whether the store answers this node's calls.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        links: Links,
        membership: Membership,
        operators: OperatorState,
        target: Target,
        reader_selection: ReaderSelection,
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.links = links
        self.membership = membership
        self.operators = operators
        self.target = target
        self.reader_selection = reader_selection
        self.reported_load = BackendLoad()
        self.started_at = reactor.seconds()
        self.is_store_up: Callable[[], bool] = bool
        self._has_pending_change = False
        self._requested_at = 0
        self._sent_at: dict[NodeId, float] = {}

    def start(self) -> None:
        """Start the periodic messages."""
        self.started_at = self.reactor.seconds()
        self._push_load()
        self._push_progress()

    def operators_changed(self) -> None:
        """Schedule a message about a change of the operators' state."""
        if self._has_pending_change:
            return
        self._has_pending_change = True
        is_first = self.reader_selection.serves_zone
        delay_s = READER_CHANGE_DELAY_S if is_first else CHANGE_DELAY_S
        self.reactor.callLater(delay_s, self._push_change)

    def progress_received(
        self, node: NodeId, progress: messages.Progress
    ) -> None:
        """Send state to a node that is behind; request it from one ahead."""
        if progress.is_reader and self._is_same_zone(node):
            self.reader_selection.reader_reported()
        own = self._progress()
        now = self.reactor.seconds()
        if progress.is_ahead_of(own):
            self._request_state(node, own, now)
        if own.is_ahead_of(progress):
            self._send_state(node, own, progress, now)

    def _progress(self) -> messages.Progress:
        position = self.operators.position
        config = self.operators.config
        return messages.Progress(
            position.offset,
            self.membership.version_sum,
            is_reader=self.is_store_up() and self.reader_selection.serves_zone,
            era=position.era,
            version=config.version if config else ConfigVersion(0),
        )

    def _is_same_zone(self, node: NodeId) -> bool:
        peer = self.membership.peers.get(node)
        return peer is not None and peer.zone == self.membership.own.zone

    def _request_state(
        self,
        node: NodeId,
        own: messages.Progress,
        now: float,
    ) -> None:
        is_starting = now - self.started_at < STORE_ONLY_S
        if is_starting or now - self._requested_at < MIN_EXCHANGE_INTERVAL_S:
            return
        self._requested_at = now
        self.links.send_if_open(node, own)

    def _send_state(
        self,
        node: NodeId,
        own: messages.Progress,
        progress: messages.Progress,
        now: float,
    ) -> None:
        if now - self._sent_at.get(node, 0) < MIN_EXCHANGE_INTERVAL_S:
            return
        self._sent_at[node] = now
        if own.has_newer_operators(progress):
            self.links.send_if_open(node, self.operators.snapshot())
        if own.has_newer_nodes(progress):
            self.links.send_if_open(node, messages.Nodes(self.membership.all()))

    def _push_change(self) -> None:
        """Send progress to the whole zone, and to one node of each other zone.

        A node that gets its state from readers sends it to one neighbour only.
        That message is needed because the change may have come from another
        zone while the readers of this zone are cut off.
        """
        self._has_pending_change = False
        if not self.reader_selection.must_read:
            zone_nodes = self.reader_selection.zone_nodes()
            if zone_nodes:
                self.links.send_if_open(
                    self.random.choice(zone_nodes), self._progress()
                )
            return
        own = self.membership.own
        by_zone: dict[AvailabilityZoneId, list[NodeId]] = {}
        for peer in self.membership.others():
            by_zone.setdefault(peer.zone, []).append(peer.node)
        for zone, nodes in by_zone.items():
            chosen = nodes if zone == own.zone else [self.random.choice(nodes)]
            for node in chosen:
                self.links.send_if_open(node, self._progress())

    def _push_progress(self) -> None:
        is_store_up = self.is_store_up()
        interval_s = (
            PROGRESS_INTERVAL_S if is_store_up else STORE_DOWN_INTERVAL_S
        )
        self.reactor.callLater(interval_s, self._push_progress)
        progress = self._progress()
        if progress.is_reader:
            for zone_node in self.reader_selection.zone_nodes():
                self.links.send_if_open(zone_node, progress)
            return
        if self.reader_selection.has_active_reader:
            return
        node = self._choose_neighbour(in_own_zone=is_store_up)
        if node is not None:
            self.links.send_if_open(node, progress)

    def _choose_neighbour(self, *, in_own_zone: bool) -> NodeId | None:
        """Choose a random linked node of this region.

        With ``in_own_zone``, nodes of this zone are preferred. A node that
        does not reach the store uses all zones, because the store may be
        unreachable for its whole zone.
        """
        own = self.membership.own
        peers = [
            peer
            for peer in self.membership.others()
            if peer.region == own.region and self.links.is_up(peer.node)
        ]
        zone_peers = [peer for peer in peers if peer.zone == own.zone]
        candidates = zone_peers if zone_peers and in_own_zone else peers
        if not candidates:
            return None
        return self.random.choice(candidates).node

    def _push_load(self) -> None:
        self.reactor.callLater(LOAD_INTERVAL_S, self._push_load)
        load = self.target.load()
        if not self._has_changed(load):
            return
        self.reported_load = load
        now = self.reactor.seconds()
        for link in tuple(self.links.incoming.values()):
            if link.is_up and self._needs_load(link, now):
                link.send(messages.Load(load))

    def _needs_load(self, link: Link, now: float) -> bool:
        """Return whether a node needs this target's load to choose targets.

        Traffic within an availability zone is free, so nodes of this zone
        always get the load; other nodes of the region only while they use
        this target.
        """
        own = self.membership.own
        if link.peer.zone == own.zone:
            return True
        is_recent = now - link.forwarded_at < LOAD_INTEREST_S
        return is_recent and link.peer.region == own.region

    def _has_changed(self, load: BackendLoad) -> bool:
        before = self.reported_load
        if load.limit != before.limit:
            return True
        if abs(load.slowdown - before.slowdown) >= MIN_SLOWDOWN_CHANGE:
            return True
        if load.rate_limit != before.rate_limit:
            return True
        if abs(load.rate_credit - before.rate_credit) >= MIN_CREDIT_CHANGE:
            return True
        busy = load.running + load.waiting - before.running - before.waiting
        return abs(busy) >= MIN_OCCUPANCY_CHANGE * max(1, load.limit)
