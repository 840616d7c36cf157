"""What nodes tell each other unasked: load, and what operators want."""

from typing import Any, Final

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.records import BackendLoad

#: Interval at which a changed load is sent to nodes that use this target.
LOAD_INTERVAL_S: Final = 0.1

#: Time after a node's last request in which it is told about the load.
INTEREST_S: Final = 2.0

#: Changes of the load that are not worth a message.
LEAST_SLOWDOWN_CHANGE: Final = 0.4
LEAST_ROOM_CHANGE: Final = 0.25

#: Interval at which one node of the availability zone is told how far this
#: node has read the operators' records.
OFFSET_INTERVAL_S: Final = 1.0

#: Shortest time between two questions for the operators' state.
ASK_INTERVAL_S: Final = 0.3

#: Time after the start in which the store alone is asked.
STORE_FIRST_S: Final = 1.0


class Gossip:
    """Tells linked nodes about changes, at a bounded rate.

    The store tells every node what operators want. Nodes that the store turns
    away hear it from others here.
    """

    def __init__(self, process: Any) -> None:
        self.process = process
        self.reactor = process.reactor
        self.pushed = BackendLoad()
        self.started_at = self.reactor.seconds()
        self._asked_at = 0.0
        self._sent_at: dict[NodeId, float] = {}

    def start(self) -> None:
        """Begin to tell others."""
        self.started_at = self.reactor.seconds()
        self._push_load()
        self._push_offset()

    def changed(self) -> None:
        """Note that the operators' state has changed; the store tells all."""

    def heard_offset(self, node: NodeId, offset: int) -> None:
        """Compare another node's progress with this node's."""
        own = self.process.operators.next_offset
        now = self.reactor.seconds()
        if offset > own:
            self._ask(node, now)
        elif offset < own:
            self._give(node, now)

    def _ask(self, node: NodeId, now: float) -> None:
        is_early = now - self.started_at < STORE_FIRST_S
        if is_early or now - self._asked_at < ASK_INTERVAL_S:
            return
        self._asked_at = now
        own = self.process.operators.next_offset
        self.process.links.tell(node, messages.OperatorOffset(own))

    def _give(self, node: NodeId, now: float) -> None:
        if now - self._sent_at.get(node, 0) < ASK_INTERVAL_S:
            return
        self._sent_at[node] = now
        snapshot = self.process.operators.snapshot()
        self.process.links.tell(node, snapshot)

    def _push_offset(self) -> None:
        self.reactor.callLater(OFFSET_INTERVAL_S, self._push_offset)
        node = self._neighbour()
        if node is not None:
            own = self.process.operators.next_offset
            self.process.links.tell(node, messages.OperatorOffset(own))

    def _neighbour(self) -> NodeId | None:
        """Draw a linked node, of this zone or at least of this region."""
        settings = self.process.settings
        peers = [
            peer
            for peer in self.process.membership.others()
            if peer.region == settings.region
            and self.process.links.is_up(peer.node)
        ]
        near = [peer for peer in peers if peer.zone == settings.zone]
        drawn = near or peers
        if not drawn:
            return None
        return self.process.random.choice(drawn).node

    def _push_load(self) -> None:
        self.reactor.callLater(LOAD_INTERVAL_S, self._push_load)
        load = self.process.target.load()
        if not self._is_news(load):
            return
        self.pushed = load
        now = self.reactor.seconds()
        region = self.process.settings.region
        for link in tuple(self.process.links.incoming.values()):
            is_interested = now - link.used_at < INTEREST_S
            if link.is_up and is_interested and link.peer.region == region:
                link.send(messages.Load(load))

    def _is_news(self, load: BackendLoad) -> bool:
        before = self.pushed
        if load.limit != before.limit:
            return True
        if abs(load.slowdown - before.slowdown) >= LEAST_SLOWDOWN_CHANGE:
            return True
        busy = load.running + load.waiting - before.running - before.waiting
        return abs(busy) >= LEAST_ROOM_CHANGE * max(1, load.limit)
