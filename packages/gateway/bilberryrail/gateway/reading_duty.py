"""Whether this node reads the store, or hears from nodes that do."""

from typing import Any, Final

from bilberryrail.core.ids import NodeId
from bilberryrail.forwarding.membership import Membership
from bilberryrail.forwarding.readers import (
    has_readers,
    is_reader,
    other_nodes_in_zone,
)
from bilberryrail.gateway.links import Links

#: Time after the newest word of a reader in which this node reads the store
#: itself. A change has to be in force everywhere within 3 s.
UNHEARD_S: Final = 1.6

#: Time after the start in which nodes find and link each other. Until then
#: every node would choose itself, as it knows no other.
SETTLE_S: Final = 1.0


class ReadingDuty:
    """Decides who reads the store in this node's availability zone."""

    def __init__(
        self, clock: Any, membership: Membership, links: Links
    ) -> None:
        self.clock = clock
        self.membership = membership
        self.links = links
        self.started_at = clock.seconds()
        self.heard_at = self.started_at

    @property
    def is_chosen(self) -> bool:
        """Whether this node reads for its zone."""
        return is_reader(
            self.membership.own,
            self.membership.others(),
            self.links.is_up,
        )

    @property
    def serves_zone(self) -> bool:
        """Whether other nodes of the zone rely on this one."""
        return has_readers(self.near()) and self.is_chosen

    @property
    def is_covered(self) -> bool:
        """Whether another node has told lately that it reads."""
        return self.clock.seconds() - self.heard_at < UNHEARD_S

    @property
    def is_due(self) -> bool:
        """Whether this node has to read on."""
        if self.clock.seconds() - self.started_at < SETTLE_S:
            return False
        return not self.is_covered or self.is_chosen

    def near(self) -> list[NodeId]:
        """Return the other nodes of this node's availability zone."""
        membership = self.membership
        return other_nodes_in_zone(membership.own, membership.others())

    def heard(self) -> None:
        """Note that a node of this zone reads the store."""
        self.heard_at = self.clock.seconds()
