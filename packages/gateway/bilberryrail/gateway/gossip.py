"""What nodes tell each other unasked: load, and what operators want."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from bilberryrail.core.ids import AvailabilityZoneId, NodeId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import BackendLoad
from bilberryrail.forwarding.target import Target
from bilberryrail.gateway.link import Link
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.reading_duty import ReadingDuty

#: Interval at which a changed load is sent to nodes that use this target.
LOAD_INTERVAL_S: Final = 0.1

#: Time after a node's last request in which it is told about the load.
INTEREST_S: Final = 2.0

#: Changes of the load that are not worth a message.
LEAST_SLOWDOWN_CHANGE: Final = 0.4
LEAST_ROOM_CHANGE: Final = 0.25

#: Interval at which other nodes of the availability zone are told how much
#: this node knows.
PROGRESS_INTERVAL_S: Final = 1.0

#: The same for a node that the store turns away; any zone may help it.
ALONE_INTERVAL_S: Final = 0.4

#: Time after a change of the operators' state in which the store tells the
#: other nodes itself.
CHANGE_DELAY_S: Final = 0.4

#: The same for a reader, whose zone waits for it; changes that the store gives
#: together are told once.
FIRST_WORD_DELAY_S: Final = 0.02

#: Shortest time between two questions for the operators' state.
ASK_INTERVAL_S: Final = 0.3

#: Time after the start in which the store alone is asked.
STORE_FIRST_S: Final = 1.0


class Gossip:
    """Tells linked nodes about changes, at a bounded rate.

    The store tells its readers what operators want. All other nodes, and
    readers that the store turns away, hear it from others here.

    Attributes
    ----------
    is_store_up
        Tells whether the store answers this node.
    """

    def __init__(
        self,
        reactor: Any,
        random: Random,
        links: Links,
        membership: Membership,
        operators: OperatorState,
        target: Target,
        duty: ReadingDuty,
    ) -> None:
        self.reactor = reactor
        self.random = random
        self.links = links
        self.membership = membership
        self.operators = operators
        self.target = target
        self.duty = duty
        self.pushed = BackendLoad()
        self.started_at = reactor.seconds()
        self.is_store_up: Callable[[], bool] = bool
        self._has_news = False
        self._asked_at = 0
        self._sent_at: dict[NodeId, float] = {}

    def start(self) -> None:
        """Begin to tell others."""
        self.started_at = self.reactor.seconds()
        self._push_load()
        self._push_progress()

    def changed(self) -> None:
        """Tell others that the operators' state has changed."""
        if self._has_news:
            return
        self._has_news = True
        is_first = self.duty.serves_zone
        delay_s = FIRST_WORD_DELAY_S if is_first else CHANGE_DELAY_S
        self.reactor.callLater(delay_s, self._push_change)

    def heard(self, node: NodeId, progress: messages.Progress) -> None:
        """Help a node that knows less; ask one that knows more."""
        if progress.is_reader and self._is_near(node):
            self.duty.heard()
        own = self._progress()
        now = self.reactor.seconds()
        if (
            progress.offset > own.offset
            or progress.version_sum > own.version_sum
        ):
            self._ask(node, own, now)
        if (
            progress.offset < own.offset
            or progress.version_sum < own.version_sum
        ):
            self._give(node, progress, now)

    def _progress(self) -> messages.Progress:
        return messages.Progress(
            self.operators.next_offset,
            self.membership.version_sum,
            is_reader=self.is_store_up() and self.duty.serves_zone,
        )

    def _is_near(self, node: NodeId) -> bool:
        peer = self.membership.peers.get(node)
        return peer is not None and peer.zone == self.membership.own.zone

    def _ask(
        self,
        node: NodeId,
        own: messages.Progress,
        now: float,
    ) -> None:
        is_early = now - self.started_at < STORE_FIRST_S
        if is_early or now - self._asked_at < ASK_INTERVAL_S:
            return
        self._asked_at = now
        self.links.tell(node, own)

    def _give(
        self,
        node: NodeId,
        progress: messages.Progress,
        now: float,
    ) -> None:
        if now - self._sent_at.get(node, 0) < ASK_INTERVAL_S:
            return
        self._sent_at[node] = now
        if progress.offset < self.operators.next_offset:
            self.links.tell(node, self.operators.snapshot())
        if progress.version_sum < self.membership.version_sum:
            self.links.tell(node, messages.Nodes(self.membership.all()))

    def _push_change(self) -> None:
        """Tell the whole zone, and one node of each other zone.

        A node that hears from readers tells one neighbour only: the news may
        have come from another zone while its readers are cut off.
        """
        self._has_news = False
        if not self.duty.is_due:
            near = self.duty.near()
            if near:
                self.links.tell(self.random.choice(near), self._progress())
            return
        own = self.membership.own
        by_zone: dict[AvailabilityZoneId, list[NodeId]] = {}
        for peer in self.membership.others():
            by_zone.setdefault(peer.zone, []).append(peer.node)
        for zone, nodes in by_zone.items():
            told = nodes if zone == own.zone else [self.random.choice(nodes)]
            for node in told:
                self.links.tell(node, self._progress())

    def _push_progress(self) -> None:
        is_store_up = self.is_store_up()
        interval_s = PROGRESS_INTERVAL_S if is_store_up else ALONE_INTERVAL_S
        self.reactor.callLater(interval_s, self._push_progress)
        progress = self._progress()
        if progress.is_reader:
            for reading in self.duty.near():
                self.links.tell(reading, progress)
            return
        if self.duty.is_covered:
            return
        node = self._neighbour(is_near=is_store_up)
        if node is not None:
            self.links.tell(node, progress)

    def _neighbour(self, *, is_near: bool) -> NodeId | None:
        """Draw a linked node of this region, of this zone if there is one.

        A node that the store turns away asks all zones: those of its own may
        be turned away too.
        """
        own = self.membership.own
        peers = [
            peer
            for peer in self.membership.others()
            if peer.region == own.region and self.links.is_up(peer.node)
        ]
        near = [peer for peer in peers if peer.zone == own.zone]
        drawn = near if near and is_near else peers
        if not drawn:
            return None
        return self.random.choice(drawn).node

    def _push_load(self) -> None:
        self.reactor.callLater(LOAD_INTERVAL_S, self._push_load)
        load = self.target.load()
        if not self._is_news(load):
            return
        self.pushed = load
        now = self.reactor.seconds()
        for link in tuple(self.links.incoming.values()):
            if link.is_up and self._wants_load(link, now):
                link.send(messages.Load(load))

    def _wants_load(self, link: Link, now: float) -> bool:
        """Tell whether a node chooses among targets like this one.

        Traffic within an availability zone is free; others are told only
        while they use this target.
        """
        own = self.membership.own
        if link.peer.zone == own.zone:
            return True
        is_interested = now - link.used_at < INTEREST_S
        return is_interested and link.peer.region == own.region

    def _is_news(self, load: BackendLoad) -> bool:
        before = self.pushed
        if load.limit != before.limit:
            return True
        if abs(load.slowdown - before.slowdown) >= LEAST_SLOWDOWN_CHANGE:
            return True
        busy = load.running + load.waiting - before.running - before.waiting
        return abs(busy) >= LEAST_ROOM_CHANGE * max(1, load.limit)
