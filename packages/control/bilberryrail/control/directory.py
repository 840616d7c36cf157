"""Members of each region, in the order on which the relay tree is based."""

import hashlib
from bisect import bisect_left, insort
from collections.abc import Iterable
from typing import Final

from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.core.ids import NodeId, RegionId
from bilberryrail.core.records import Member

#: Length of ``hash_of`` in bits; collisions among 19,000 names are unlikely.
HASH_BITS: Final = 64

_Key = tuple[int, NodeId]


def hash_of(name: str) -> int:
    """Hash a name to 64 bits; the result is the same on every node."""
    digest = hashlib.blake2b(name.encode(), digest_size=HASH_BITS // 8).digest()
    return int.from_bytes(digest, 'big')


class Directory:
    """Members by node id and, for each region, sorted by hash of the node id.

    An update costs one binary search. Excluded members (suspected or
    leaving) stay in the sorted list but have no position.

    Attributes
    ----------
    version
        Number that changes whenever a position may have changed.
    """

    def __init__(self, settings: RelaySettings, identity: NodeIdentity) -> None:
        self.settings = settings
        self.identity = identity
        self.version = 0
        self.members: dict[NodeId, Member] = {}
        self.excluded: frozenset[NodeId] = frozenset()
        self._orders: dict[RegionId, list[_Key]] = {}
        self._excluded_by_region: dict[RegionId, list[_Key]] = {}
        self._excluded_version = 0

    def put(self, member: Member) -> None:
        """Add or replace a member."""
        known = self.members.get(member.node)
        if known == member:
            return
        if known is None or known.region != member.region:
            self.remove(member.node)
            order = self._orders.setdefault(member.region, [])
            insort(order, (hash_of(member.node), member.node))
        self.members[member.node] = member
        self.version += 1

    def remove(self, node: NodeId) -> None:
        """Remove a member."""
        member = self.members.pop(node, None)
        if member is None:
            return
        order = self._orders[member.region]
        order.pop(bisect_left(order, (hash_of(node), node)))
        if not order:
            self._orders.pop(member.region)
        self.version += 1

    def reset(self, members: Iterable[Member]) -> None:
        """Replace all members."""
        self.members = {member.node: member for member in members}
        self._orders = {}
        for member in self.members.values():
            order = self._orders.setdefault(member.region, [])
            order.append((hash_of(member.node), member.node))
        for order in self._orders.values():
            order.sort()
        self.version += 1

    def exclude(self, nodes: frozenset[NodeId]) -> None:
        """Set the members that have no position."""
        if nodes != self.excluded:
            self.excluded = nodes
            self.version += 1

    def other_regions(self) -> tuple[RegionId, ...]:
        """List the regions that have members, except the own one."""
        return tuple(
            sorted(set(self._orders) - {self.identity.region}),
        )

    def position(self) -> int:
        """Count live members of the own region before this node."""
        node = self.identity.node
        excluded_keys = self._excluded_keys(self.identity.region)
        return self.rank() - bisect_left(excluded_keys, (hash_of(node), node))

    def rank(self) -> int:
        """Count members of the own region before this node, live or not."""
        node = self.identity.node
        order = self._orders.get(self.identity.region, [])
        return bisect_left(order, (hash_of(node), node))

    def member_at(self, region: RegionId, position: int) -> Member | None:
        """Return the live member at a position of a region, or None."""
        order = self._orders.get(region, [])
        for key in self._excluded_keys(region):
            if bisect_left(order, key) <= position:
                position += 1
        if position >= len(order):
            return None
        return self.members[order[position][1]]

    def readers(self, region: RegionId) -> tuple[Member, ...]:
        """List the log readers of a region: its first live members."""
        found = (
            self.member_at(region, position)
            for position in range(self.settings.readers_per_region)
        )
        return tuple(member for member in found if member is not None)

    def parents(self) -> tuple[Member, ...]:
        """List the parents of this node, the first parent first.

        Every parent has a smaller hash than this node, so that subscription
        graphs stay acyclic when views differ.
        """
        own = self.position()
        first = max(own - 1, 0) // self.settings.children_per_parent
        second = first - 1 if first else 1
        found = (
            self.member_at(self.identity.region, position)
            for position in (first, second)
            if position < own
        )
        return tuple(member for member in found if member is not None)

    def earlier_readers(self) -> tuple[Member, ...]:
        """List live log readers of the own region before this node."""
        readers = self.readers(self.identity.region)
        return readers[: self.position()]

    def _excluded_keys(self, region: RegionId) -> list[_Key]:
        if self._excluded_version != self.version:
            self._excluded_version = self.version
            self._excluded_by_region = {}
        excluded_keys = self._excluded_by_region.get(region)
        if excluded_keys is None:
            excluded_keys = sorted(
                (hash_of(node), node)
                for node in self.excluded
                if node in self.members and self.members[node].region == region
            )
            self._excluded_by_region[region] = excluded_keys
        return excluded_keys
