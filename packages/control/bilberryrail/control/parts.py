"""Components of the control plane of a node."""

import random
from dataclasses import dataclass

from bilberryrail.control.announcer import Announcer
from bilberryrail.control.directory import Directory
from bilberryrail.control.evictions import Evictions
from bilberryrail.control.log_reader import LogReader
from bilberryrail.control.membership import Membership
from bilberryrail.control.outbox import Outbox
from bilberryrail.control.placement import Placement
from bilberryrail.control.relay import Relay
from bilberryrail.control.replica import Replica
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.control.sources import Sources
from bilberryrail.control.status import StatusBoard
from bilberryrail.control.status_exchange import StatusExchange
from bilberryrail.core.ids import Incarnation
from bilberryrail.core.records import Member


@dataclass(frozen=True, slots=True)
class Parts:
    """Components that share the replica and the membership of one node."""

    settings: RelaySettings
    own: Member
    replica: Replica
    directory: Directory
    membership: Membership
    relay: Relay
    sources: Sources
    placement: Placement
    board: StatusBoard
    exchange: StatusExchange
    log: LogReader
    outbox: Outbox
    announcer: Announcer
    evictions: Evictions


def build_parts(
    settings: RelaySettings,
    identity: NodeIdentity,
    incarnation: Incarnation,
    rng: random.Random,
) -> Parts:
    """Create the components of a node that has no state yet."""
    own = _member_of(identity, incarnation)
    replica = Replica()
    directory = Directory(settings, identity)
    membership = Membership(directory)
    sources = Sources(settings, directory)
    placement = Placement(membership, sources, replica)
    board = StatusBoard(settings, identity)
    outbox = Outbox(settings, rng)
    return Parts(
        settings=settings,
        own=own,
        replica=replica,
        directory=directory,
        membership=membership,
        relay=Relay(settings, replica, membership.unlogged),
        sources=sources,
        placement=placement,
        board=board,
        exchange=StatusExchange(board, placement, sources),
        log=LogReader(settings),
        outbox=outbox,
        announcer=Announcer(settings, own, outbox),
        evictions=Evictions(settings, identity),
    )


def _member_of(identity: NodeIdentity, incarnation: Incarnation) -> Member:
    return Member(
        node=identity.node,
        incarnation=incarnation,
        service=identity.service,
        zone=identity.zone,
        region=identity.region,
        host=identity.host,
        port=identity.port,
        http_port=identity.http_port,
    )
