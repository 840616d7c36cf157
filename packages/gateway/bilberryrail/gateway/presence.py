"""Announces this node to the others, and processes their announcements."""

import time
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any, Final

from twisted.internet.defer import Deferred

from bilberryrail.core.ids import (
    Incarnation,
    NodeId,
    RegionId,
    Seconds,
)
from bilberryrail.forwarding import messages
from bilberryrail.forwarding.backend import Backend
from bilberryrail.forwarding.ingress import Ingress
from bilberryrail.forwarding.membership import Membership, rejection_reason
from bilberryrail.forwarding.records import (
    BackendPhase,
    Clearance,
    CrashRecord,
    InstanceId,
    Peer,
)
from bilberryrail.gateway.links import Links
from bilberryrail.gateway.settings import GatewaySettings, parse_address

#: Nodes of each other region that receive a change and relay it within their
#: region; two, so that the change arrives although one of them is down.
RELAYS_PER_REGION: Final = 2

_INCARNATION_BITS: Final = 62
_MS_PER_S: Final = 1000

#: Smallest time by which the start of a node counts as later than that of its
#: earlier process, in milliseconds. ``Membership.version_sum`` only counts whole
#: seconds.
_MIN_START_STEP_MS: Final = 1000

_OnCrashes = Callable[[tuple[CrashRecord, ...], tuple[Clearance, ...]], None]


def wall_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(time.time() * _MS_PER_S)


def initial_announcement(settings: GatewaySettings, random: Random) -> Peer:
    """Build the announcement of a node that has just started."""
    listen = settings.listen
    links = parse_address(listen.public_links or listen.links)
    return Peer(
        node=settings.node,
        incarnation=Incarnation(random.getrandbits(_INCARNATION_BITS)),
        started_ms=wall_ms(),
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
    """Keeps links and candidates consistent with the membership.

    Attributes
    ----------
    is_leaving
        Whether this node is shutting down.
    store_announcement
        Writes this node's announcement to the store; the Deferred fires when
        the store has acknowledged it.
    on_crashes
        Called with the crashes and clearances that other nodes tell.
    on_own_crashes
        Called with those that this node's earlier process has announced.
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
        self.store_announcement: Callable[[], Deferred[bool]] | None = None
        self.on_crashes: _OnCrashes = _ignore
        self.on_own_crashes: _OnCrashes = _ignore

    def refresh(self) -> 'Deferred[bool] | None':
        """Announce the state of this node's backend server if it has changed.

        Returns a Deferred for the store's acknowledgement if the backend
        server leaves, and None otherwise.
        """
        own = self.membership.own
        phase = self.backend.phase
        if self.is_leaving:
            phase = BackendPhase.DRAINING
        service = self.backend.service or own.service
        instance = self.backend.instance or InstanceId('')
        departed = self.backend.phase is BackendPhase.DRAINING
        announced = replace(
            own,
            serial=own.serial + 1,
            service=service,
            instance=instance,
            phase=phase,
            leaving=self.is_leaving,
            born_ms=self.backend.born_ms,
            departed=departed,
        )
        if _is_same_state(own, announced):
            return None
        self._announce(announced)
        self.log(
            'backend',
            instance=instance,
            service=service,
            phase=phase.value,
            leaving=self.is_leaving,
        )
        if (
            phase is BackendPhase.DRAINING
            and self.store_announcement is not None
        ):
            return self.store_announcement()
        return None

    def announce_crashes(
        self,
        crashes: tuple[CrashRecord, ...],
        clearances: tuple[Clearance, ...],
    ) -> None:
        """Announce what this node has observed of crashes.

        The nodes of its service are told directly, also without a persistent
        link: their targets refuse the request for ingress nodes that do not
        know the crashes yet.
        """
        own = self.membership.own
        self._announce(
            replace(
                own,
                serial=own.serial + 1,
                crashes=crashes,
                clearances=clearances,
            )
        )
        message = messages.Announce(self.membership.own)
        for peer in self.membership.others():
            is_linked = peer.node in self.links.persistent
            if peer.service == own.service and not is_linked:
                self.links.send(peer.node, message)

    def announcement_received(self, sender: Peer, announced: Peer) -> None:
        """Merge an announcement; relay it if it came from another region.

        Only a change is relayed, and only while this node does not have links
        to all nodes.
        """
        has_changed = bool(self.merge_announcements([announced]))
        is_other_region = sender.region != self.membership.own.region
        if has_changed and is_other_region and not self.links.is_full_mesh:
            message = messages.Announce(announced)
            for node in self.links.persistent:
                self.links.send_if_open(node, message)

    def merge_announcements(self, peers: list[Peer]) -> list[Peer]:
        """Merge announcements of nodes; return those that changed something.

        Announcements that cannot be used are skipped.
        """
        peers = [peer for peer in peers if self._is_usable(peer)]
        changed = self.membership.merge(peers)
        for announced in changed:
            self.candidates.runs.announced(announced)
            self.on_crashes(announced.crashes, announced.clearances)
        for peer in peers:
            is_own = peer.node == self.membership.own.node
            if is_own and peer.incarnation != self.membership.own.incarnation:
                self._supersede(peer)
                self._restore_departure(peer)
                self.on_own_crashes(peer.crashes, peer.clearances)
        if changed:
            self.apply_membership()
        for found in changed:
            self.log(
                'peer',
                peer=found.node,
                service=found.service,
                instance=found.instance,
                phase=found.phase.value,
                leaving=found.leaving,
            )
        return changed

    def peer_replaced(self, node: NodeId, present: Peer) -> None:
        """Remove a node at whose address another node is present.

        The removed node may never have existed. If its announcement had
        replaced that of the present node, the latter is used again.
        """
        self.log('peer_replaced', peer=node, present=present.node)
        self.candidates.runs.forget(node)
        self.membership.forget(node)
        self.membership.restore(present.node)
        if not self.merge_announcements([present]):
            self.apply_membership()

    def apply_membership(self) -> None:
        """Update candidates and links to match the membership."""
        others = self.membership.others()
        self.candidates.update([*others, self.membership.own])
        self.links.update_peers(others)
        self.ingress.retry_budget.set_node_count(len(others) + 1)
        now = Seconds(self.clock.seconds())
        for node in self.links.persistent:
            if not self.links.is_up(node):
                self.candidates.avoid(node, now)

    def _is_usable(self, peer: Peer) -> bool:
        reason = rejection_reason(peer, wall_ms())
        if reason is not None:
            self.log('bad_announcement', key=peer.node, reason=reason)
        return reason is None

    def _announce(self, announced: Peer) -> None:
        self.membership.announce(announced)
        self._publish(messages.Announce(self.membership.own))
        self.apply_membership()

    def _publish(self, message: messages.Announce) -> None:
        """Send an announcement to linked nodes and to relays in other regions.

        The relays are nodes to which no persistent link is kept.
        """
        self.links.broadcast(message)
        if self.links.is_full_mesh:
            return
        by_region: dict[RegionId, list[NodeId]] = {}
        for peer in self.membership.others():
            if peer.node not in self.links.persistent:
                by_region.setdefault(peer.region, []).append(peer.node)
        for nodes in by_region.values():
            count = min(RELAYS_PER_REGION, len(nodes))
            for node in self.random.sample(nodes, count):
                self.links.send(node, message)

    def _supersede(self, earlier: Peer) -> None:
        """Make this node's announcement newer than one of its earlier process.

        It is not if the clock was set back between the starts of both.
        """
        own = self.membership.own
        if earlier.is_newer_than(own):
            started_ms = earlier.started_ms + _MIN_START_STEP_MS
            self.log('start_superseded', started_ms=earlier.started_ms)
            self._announce(replace(own, started_ms=started_ms))

    def _restore_departure(self, earlier: Peer) -> None:
        """Restore from the store that a backend server instance has left.

        This node may have restarted after the instance announced its
        departure; without the stored announcement it would use the instance
        again.
        """
        if earlier.backend_departed:
            self.backend.instance_left(earlier.instance, earlier.born_ms)
            self.refresh()


def _ignore(
    crashes: tuple[CrashRecord, ...], clearances: tuple[Clearance, ...]
) -> None:
    """Discard what is known of crashes; used until a receiver is attached."""


def _is_same_state(own: Peer, announced: Peer) -> bool:
    """Return whether other nodes need not learn of an announcement."""
    same_run = replace(announced, serial=own.serial, born_ms=own.born_ms)
    return same_run == own
