"""What the backend servers beside all nodes have stated."""

import math
from dataclasses import replace

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.records import Peer
from bilberryrail.forwarding.run_statements import KnownRun


class RunMemory:
    """Statements that outlive the processes of the nodes they were made to.

    A node forgets in a restart what its backend server has stated. The nodes
    that send requests to it remember, and tell it when a link to it opens.

    Attributes
    ----------
    by_node
        Runs that state a limit or have left, by the node beside them.
    """

    def __init__(self) -> None:
        self.by_node: dict[NodeId, KnownRun] = {}

    def limit_reported(self, peer: Peer, rate_limit: float | None) -> None:
        """Apply the limit in a load report.

        None means that the node has read no answer of its backend server yet;
        what is known from before remains.
        """
        if rate_limit is None:
            return
        has_departed = self._known(peer).has_departed
        if has_departed or not math.isinf(rate_limit):
            known = KnownRun(peer.run, rate_limit, has_departed=has_departed)
            self.by_node[peer.node] = known
        else:
            self.by_node.pop(peer.node, None)

    def announced(self, peer: Peer) -> None:
        """Apply an announcement: a departure, or another run."""
        known = self._known(peer)
        if peer.backend_departed:
            self.by_node[peer.node] = replace(known, has_departed=True)
        elif peer.instance and known == KnownRun(peer.run):
            self.by_node.pop(peer.node, None)

    def forget(self, node: NodeId) -> None:
        """Drop what is known of a node that has been replaced."""
        self.by_node.pop(node, None)

    def _known(self, peer: Peer) -> KnownRun:
        """Return what is known of the run that a node announces."""
        known = self.by_node.get(peer.node)
        if known is None or not known.run.is_same_as(peer.run):
            return KnownRun(peer.run)
        return replace(known, run=peer.run)
