"""Simulated links between nodes: ordered, with latency, and able to fail."""

from collections.abc import Callable
from itertools import count

from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.core.ids import NodeId
from bilberryrail.proofs.deployment import ProofDeployment

Pair = frozenset[NodeId]


class Links:
    """At most one link per pair of nodes, over which messages arrive in order.

    A message is lost if its link closes before the message arrives.

    Attributes
    ----------
    cut
        Nodes to and from which no link can be opened.
    extra_s
        Latency in seconds added to all messages to and from a node.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        deployment: ProofDeployment,
    ) -> None:
        self.scheduler = scheduler
        self.deployment = deployment
        self.zones = {
            identity.node: identity.zone for identity in deployment.identities()
        }
        self.cut: set[NodeId] = set()
        self.extra_s: dict[NodeId, float] = {}
        self._numbers = count(1)
        self._up: dict[Pair, int] = {}
        self._busy_until: dict[tuple[NodeId, NodeId], float] = {}

    def delay_s(self, node: NodeId, peer: NodeId) -> float:
        """Return the current one-way latency in seconds."""
        extra_s = self.extra_s.get(node, 0) + self.extra_s.get(peer, 0)
        zones = self.zones
        return extra_s + self.deployment.latency_s(zones[node], zones[peer])

    def is_cut(self, node: NodeId, peer: NodeId) -> bool:
        """Return whether no link can be opened between two nodes."""
        return bool(self.cut & {node, peer})

    def open(self, node: NodeId, peer: NodeId) -> None:
        """Open a link unless one is open."""
        pair = frozenset((node, peer))
        if pair not in self._up:
            self._up[pair] = next(self._numbers)

    def close(self, node: NodeId, peer: NodeId) -> bool:
        """Close a link, and return whether one was open."""
        return self._up.pop(frozenset((node, peer)), None) is not None

    def send(
        self,
        node: NodeId,
        peer: NodeId,
        deliver: Callable[[], None],
    ) -> None:
        """Deliver a message in order, unless its link closes before."""
        pair = frozenset((node, peer))
        number = self._up.get(pair)
        if number is None:
            return
        # A message never arrives before an earlier one in the same direction.
        due = self.scheduler.now + self.delay_s(node, peer)
        due = max(due, self._busy_until.get((node, peer), 0))
        self._busy_until[node, peer] = due

        def arrive() -> None:  # noqa: WPS430
            if self._up.get(pair) == number:
                deliver()

        self.scheduler.at(due, arrive)
