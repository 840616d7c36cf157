"""Selects the nodes that read the store for their availability zone."""

from typing import Any, Final

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.readers import (
    has_readers,
    is_reader,
    other_nodes_in_zone,
)
from bilberryrail.gateway.links import Links

#: Time after the latest message of a reader from which this node reads the
#: store itself, in seconds. A change has to apply on all nodes within 3 s.
READER_TIMEOUT_S: Final = 1.6

#: Time after the start in which nodes discover each other and open links, in
#: seconds. Until then every node would select itself, because it knows no
#: others.
SETTLE_S: Final = 1.0


class ReaderSelection:
    """Decides whether this node reads the store for its availability zone."""

    def __init__(
        self, clock: Any, membership: Membership, links: Links
    ) -> None:
        self.clock = clock
        self.membership = membership
        self.links = links
        self.started_at = clock.seconds()
        self.reader_seen_at = self.started_at

    @property
    def is_selected(self) -> bool:
        """Whether this node is selected as a reader of its zone."""
        return is_reader(
            self.membership.own,
            self.membership.others(),
            self.links.is_up,
        )

    @property
    def serves_zone(self) -> bool:
        """Whether other nodes of the zone depend on this one as a reader."""
        return has_readers(self.zone_nodes()) and self.is_selected

    @property
    def has_active_reader(self) -> bool:
        """Whether a reader of this zone has reported recently."""
        return self.clock.seconds() - self.reader_seen_at < READER_TIMEOUT_S

    @property
    def must_read(self) -> bool:
        """Whether this node has to keep reading the store."""
        if self.clock.seconds() - self.started_at < SETTLE_S:
            return False
        return not self.has_active_reader or self.is_selected

    def zone_nodes(self) -> list[NodeId]:
        """Return the other nodes of this node's availability zone."""
        membership = self.membership
        return other_nodes_in_zone(membership.own, membership.others())

    def reader_reported(self) -> None:
        """Record that another node of this zone reads the store."""
        self.reader_seen_at = self.clock.seconds()
