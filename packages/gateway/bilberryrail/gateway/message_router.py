"""Routes messages between the roles of this node and other nodes."""

from typing import Any

from bilberryrail.core.ids import NodeId, Seconds
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.operators import OperatorState
from bilberryrail.forwarding.records import (
    InstanceId,
    Peer,
    Refusal,
)
from bilberryrail.forwarding.run_statements import KnownRun
from bilberryrail.forwarding.target import Reply, Target
from bilberryrail.forwarding.work_queue import Work
from bilberryrail.gateway.backend_pool import BackendPool
from bilberryrail.gateway.gossip import Gossip
from bilberryrail.gateway.health_checker import HealthChecker
from bilberryrail.gateway.link import Link
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.presence import Presence


class RolePorts:
    """Port of both roles; messages to this node itself skip the network."""

    def __init__(self, node: NodeId, pool: BackendPool) -> None:
        self.node = node
        self.pool = pool
        self.links: Links | None = None
        self.target: Target | None = None
        self.ingress: Ingress | None = None
        self.health: HealthChecker | None = None

    def dispatch(self, work: Work, instance: InstanceId) -> None:
        """Send a request to the backend server."""
        self.pool.dispatch(work, instance)

    def abort(self, work: Work) -> None:
        """Close the connection on which a request is in flight."""
        self.pool.abort(work)

    def check_health(self) -> None:
        """Start a health check now, to measure how slow the host is."""
        self.health.check_now()

    def reply(self, node: NodeId, reply: Reply) -> None:
        """Send an outcome to the ingress of the request, local or remote."""
        if node == self.node:
            self.deliver_outcome(node, reply)
        else:
            self.links.reply(node, reply)

    def send(
        self, node: NodeId, message: messages.Forward | messages.Cancel
    ) -> None:
        """Send a request or its cancellation to a target, local or remote."""
        if node != self.node:
            self.links.send(node, message)
        elif isinstance(message, messages.Forward):
            self.target.offer(node, message)
        else:
            self.target.cancel(node, message.attempt)

    def deliver_outcome(self, node: NodeId, reply: Reply) -> None:
        """Pass an outcome to the ingress role of this node."""
        match reply:
            case messages.Answered():
                self.ingress.answered(node, reply)
            case messages.Refused():
                self.ingress.refused(node, reply)
            case messages.Failed():
                self.ingress.failed(node, reply)


class LinkEventHandler:
    """Handles the events that links report.

    Attributes
    ----------
    on_operators
        Called after the operators' state has changed.
    """

    def __init__(
        self,
        clock: Any,
        ports: RolePorts,
        operators: OperatorState,
        presence: Presence,
        gossip: Gossip,
        on_operators: Any,
    ) -> None:
        self.clock = clock
        self.ports = ports
        self.operators = operators
        self.presence = presence
        self.gossip = gossip
        self.on_operators = on_operators

    def make_hello(self, expected: NodeId) -> messages.Hello:
        """Build the Hello message, the first one of a link."""
        own = self.presence.membership.own
        return messages.Hello(
            own,
            expected,
            accepts_compression=True,
            known=self.presence.candidates.runs.by_node.get(expected),
            crashes=self.ports.target.quarantine.ledger.evidence(),
            accepts_body_parts=True,
        )

    def received(self, link: Link, message: messages.Message) -> None:
        """Pass a message of another node to the part that it concerns."""
        node = link.peer.node
        match message:
            case messages.Forward():
                self.ports.target.offer(node, message)
            case messages.Cancel(attempt=attempt):
                self.ports.target.cancel(node, attempt)
            case messages.Answered() | messages.Refused() | messages.Failed():
                self.ports.deliver_outcome(node, message)
            case messages.Load(load=load) | messages.Pong(load=load):
                self.ports.ingress.load_reported(node, load)
            case messages.Ping():
                link.send(messages.Pong(self.ports.target.load()))
            case messages.Announce(peer=peer):
                self.presence.announcement_received(link.peer, peer)
            case messages.Hello(peer=peer, known=known, crashes=crashes):
                self.presence.merge_announcements([peer])
                self._recall(known)
                self.presence.on_crashes(crashes, ())
            case messages.Nodes(peers=peers):
                self.presence.merge_announcements(peers)
            case messages.Progress():
                self.gossip.progress_received(node, message)
            case messages.OperatorSnapshot():
                if self.operators.replace(message):
                    self.on_operators()

    def opened(self, link: Link) -> None:
        """Use a target again after its link was opened.

        A new incoming link means that the peer's earlier link is gone.
        """
        if link.is_outgoing:
            self.presence.candidates.mark_reachable(link.peer.node)
        else:
            self.ports.target.peer_lost(link.peer.node)

    def closed(self, link: Link) -> None:
        """End the requests that were sent over a closed link."""
        node = link.peer.node
        if link.is_outgoing:
            self.presence.candidates.mark_unreachable(node)
            self.ports.ingress.link_lost(node)
        else:
            self.presence.log('incoming_link_closed', peer=node)
            self.ports.target.peer_lost(node)

    def unreachable(self, node: NodeId) -> None:
        """Stop using a target to which no link can be opened."""
        self.presence.candidates.mark_unreachable(node)

    def peer_replaced(self, node: NodeId, present: Peer) -> None:
        """Remove a node at whose address another node is present."""
        self.presence.peer_replaced(node, present)

    def suspected(self, node: NodeId) -> None:
        """Avoid a target whose outcomes are overdue."""
        self.presence.candidates.avoid(node, Seconds(self.clock.seconds()))

    def stalled(self, node: NodeId) -> None:
        """Give up the requests at a silent target that others can run."""
        self.presence.candidates.avoid(node, Seconds(self.clock.seconds()))
        self.ports.ingress.link_lost(node, may_recover=True)

    def round_trip_measured(self, peer: Peer, round_trip_s: float) -> None:
        """Record the measured round-trip time to a peer."""
        self.presence.candidates.distances.round_trip_measured(
            peer, round_trip_s
        )

    def not_sent(self, node: NodeId, message: messages.Message) -> None:
        """Refuse a request that could not be sent over any link."""
        if isinstance(message, messages.Forward):
            refusal = messages.Refused(
                message.attempt,
                Refusal.LINK_DOWN,
                0,
                None,
            )
            self.ports.ingress.refused(node, refusal)

    def _recall(self, known: KnownRun | None) -> None:
        """Apply what a peer knows that this node's backend server has stated.

        This node may have restarted since.
        """
        if known is not None:
            now = Seconds(self.clock.seconds())
            self.ports.target.backend.recall(known, now)
            self.presence.refresh()
            self.ports.target.process_queue()
