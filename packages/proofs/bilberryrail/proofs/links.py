"""Links between nodes: ordered, with latency, and broken or slow at will."""

from collections.abc import Callable
from itertools import count

from bilberryrail.bench.scheduler import Scheduler
from bilberryrail.core.ids import NodeId
from bilberryrail.proofs.deployment import ProofDeployment

Pair = frozenset[NodeId]


class Links:
    """One link per pair of nodes; a message arrives only over its own link.

    Attributes
    ----------
    cut
        Nodes that no link can be opened to or from.
    extra_s
        Added latency of all messages to and from a node.
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
        """Give the one-way latency now, in seconds."""
        extra_s = self.extra_s.get(node, 0) + self.extra_s.get(peer, 0)
        zones = self.zones
        return extra_s + self.deployment.latency_s(zones[node], zones[peer])

    def is_cut(self, node: NodeId, peer: NodeId) -> bool:
        """Tell whether no link can be opened."""
        return bool(self.cut & {node, peer})

    def open(self, node: NodeId, peer: NodeId) -> None:
        """Open a link unless there is one."""
        pair = frozenset((node, peer))
        if pair not in self._up:
            self._up[pair] = next(self._numbers)

    def close(self, node: NodeId, peer: NodeId) -> bool:
        """Close a link, and tell whether there was one."""
        return self._up.pop(frozenset((node, peer)), None) is not None

    def send(
        self,
        node: NodeId,
        peer: NodeId,
        deliver: Callable[[], None],
    ) -> None:
        """Deliver a message in order, unless its link breaks before."""
        pair = frozenset((node, peer))
        number = self._up.get(pair)
        if number is None:
            return
        # Messages of one stream never overtake each other.
        due = self.scheduler.now + self.delay_s(node, peer)
        due = max(due, self._busy_until.get((node, peer), 0))
        self._busy_until[node, peer] = due

        def arrive() -> None:  # noqa: WPS430
            if self._up.get(pair) == number:
                deliver()

        self.scheduler.at(due, arrive)
