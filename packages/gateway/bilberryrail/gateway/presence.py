"""What this node announces about itself, and what others announce."""

import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

from twisted.internet.defer import Deferred

from bilberryrail.core.ids import (
    Incarnation,
    NodeId,
    RegionId,
    Seconds,
    ServiceId,
)
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.records import BackendPhase, InstanceId, Peer
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.settings import GatewaySettings, parse_address

#: Nodes of another region that are told about a change and relay it there;
#: two, so that one of them may be down.
RELAYS: Final = 2

_INCARNATION_BITS: Final = 62
_MS_PER_S: Final = 1000


def first_announcement(settings: GatewaySettings, random: Random) -> Peer:
    """Build the announcement of a node that has just started."""
    listen = settings.listen
    links = parse_address(listen.public_links or listen.links)
    return Peer(
        node=settings.node,
        incarnation=Incarnation(random.getrandbits(_INCARNATION_BITS)),
        started_ms=int(time.time() * _MS_PER_S),
        serial=0,
        host=links.host,
        port=links.port,
        zone=settings.zone,
        region=settings.region,
        service=settings.service,
        instance=InstanceId(''),
        phase=BackendPhase.ABSENT,
    )


class Presence:
    """Keeps membership, links and candidates in step.

    Attributes
    ----------
    is_leaving
        Whether this node shuts down.
    store
        Stores this node's announcement; fires when it is kept.
    """

    def __init__(
        self,
        clock: Any,
        random: Random,
        membership: Membership,
        links: Links,
        ingress: Ingress,
        backend: Backend,
        log: Callable[..., None],
    ) -> None:
        self.clock = clock
        self.random = random
        self.membership = membership
        self.links = links
        self.ingress = ingress
        self.candidates = ingress.candidates
        self.backend = backend
        self.log = log
        self.is_leaving = False
        self.store: Callable[[], Deferred[bool]] | None = None

    def refresh(self) -> 'Deferred[bool] | None':
        """Announce the backend server beside this node, if it has changed.

        Returns the store's acknowledgement if the backend server leaves.
        """
        own = self.membership.own
        phase = self.backend.phase
        if self.is_leaving:
            phase = BackendPhase.DRAINING
        service = self.backend.service or own.service
        instance = self.backend.instance or InstanceId('')
        before = (own.service, own.instance, own.phase, own.leaving)
        if before == (service, instance, phase, self.is_leaving):
            return None
        self._announce(service, instance, phase)
        self.log(
            'backend',
            instance=instance,
            service=service,
            phase=phase.value,
            leaving=self.is_leaving,
        )
        if phase is BackendPhase.DRAINING and self.store is not None:
            return self.store()
        return None

    def heard(self, sender: Peer, announced: Peer) -> None:
        """Take an announcement, and relay it if it came from far away."""
        is_news = bool(self.learn([announced]))
        is_far = sender.region != self.membership.own.region
        if is_news and is_far and not self.links.is_full_mesh:
            news = messages.Announce(announced)
            for node in self.links.kept:
                self.links.tell(node, news)

    def learn(self, peers: list[Peer]) -> list[Peer]:
        """Take announcements of other nodes; return those that are news."""
        news = self.membership.merge(peers)
        for peer in peers:
            if peer.node == self.membership.own.node:
                self._remember_departure(peer)
        if news:
            self.follow()
        for found in news:
            self.log(
                'peer',
                peer=found.node,
                service=found.service,
                instance=found.instance,
                phase=found.phase.value,
                leaving=found.leaving,
            )
        return news

    def forget(self, node: NodeId) -> None:
        """Drop a node whose address another one has."""
        self.log('peer_replaced', peer=node)
        self.membership.forget(node)
        self.follow()

    def follow(self) -> None:
        """Bring candidates and links in step with the membership."""
        others = self.membership.others()
        self.candidates.update([*others, self.membership.own])
        self.links.follow(others)
        self.ingress.retry_budget.set_node_count(len(others) + 1)
        now = Seconds(self.clock.seconds())
        for node in self.links.kept:
            if not self.links.is_up(node):
                self.candidates.avoid(node, now)

    def _announce(
        self,
        service: ServiceId,
        instance: InstanceId,
        phase: BackendPhase,
    ) -> None:
        own = self.membership.own
        self.membership.announce(
            Peer(
                node=own.node,
                incarnation=own.incarnation,
                started_ms=own.started_ms,
                serial=own.serial + 1,
                host=own.host,
                port=own.port,
                zone=own.zone,
                region=own.region,
                service=service,
                instance=instance,
                phase=phase,
                leaving=self.is_leaving,
                born_ms=self.backend.born_ms,
            ),
        )
        self._spread(messages.Announce(self.membership.own))
        self.follow()

    def _spread(self, news: messages.Announce) -> None:
        """Tell linked nodes, and a few of each region without links."""
        self.links.broadcast(news)
        if self.links.is_full_mesh:
            return
        by_region: dict[RegionId, list[NodeId]] = {}
        for peer in self.membership.others():
            if peer.node not in self.links.kept:
                by_region.setdefault(peer.region, []).append(peer.node)
        for nodes in by_region.values():
            count = min(RELAYS, len(nodes))
            for node in self.random.sample(nodes, count):
                self.links.send(node, news)

    def _remember_departure(self, earlier: Peer) -> None:
        """Keep an instance away that has said that it leaves.

        This node may have forgotten that in a restart.
        """
        own = self.membership.own
        is_earlier = earlier.incarnation != own.incarnation
        is_draining = earlier.phase is BackendPhase.DRAINING
        if is_earlier and is_draining and not earlier.leaving:
            self.backend.instance_left(earlier.instance, earlier.born_ms)
            self.refresh()
