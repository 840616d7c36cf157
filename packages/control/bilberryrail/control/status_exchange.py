"""Who reports applied offsets to whom."""

from collections.abc import Iterator
from typing import Final

from bilberryrail.control.directory import hash_of
from bilberryrail.control.messages import SendStatus, StatusReport
from bilberryrail.control.placement import Placement
from bilberryrail.control.sources import Sources
from bilberryrail.control.status import StatusBoard, of_region, without_region
from bilberryrail.core.ids import NodeId, Offset, RegionId, Seconds

#: Reports to a parent for each summary to the children. The summary lists
#: all availability zones, and a parent sends it to eight children.
REPORTS_PER_SUMMARY: Final = 4


class StatusExchange:
    """Sends reports up the relay tree and summaries down.

    A child reports its subtree to its first parent. Readers of one region
    report their subtrees, and what they know of other regions, to each other.
    Readers of different regions exchange the summaries of their regions. A
    summary of everything goes down to the children that report here.
    """

    def __init__(
        self,
        board: StatusBoard,
        placement: Placement,
        sources: Sources,
    ) -> None:
        self.board = board
        self.placement = placement
        self.sources = sources
        self._rounds = 0
        self._parent: NodeId | None = None

    def report_received(
        self, peer: NodeId, report: StatusReport, now: Seconds
    ) -> None:
        """Take a report by what its sender is to this node."""
        region = self._region_of(peer)
        if not report:
            self.board.remove_peer(peer)
            return
        if region != self._own_region:
            self.board.update_summaries(of_region(report, region), now)
        elif self._is_sibling(peer):
            self.board.sibling_reported(peer, of_region(report, region), now)
            self.board.update_summaries(without_region(report, region), now)
        elif self.sources.is_source(peer):
            self.board.replace_summaries(report, now)
        elif self._can_be_child(peer):
            # A peer that holds itself for a reader adds other regions; as part
            # of a subtree they would replace newer summaries for ever.
            subtree = of_region(report, self._own_region)
            self.board.child_reported(peer, subtree, now)

    def send_reports(
        self, applied: Offset, now: Seconds
    ) -> Iterator[SendStatus]:
        """Send what is due each status interval."""
        parent = None if self.placement.is_reader else self.sources.first
        yield from self._switch_parent(parent)
        if self.placement.is_reader:
            yield from self._send_as_reader(applied, now)
        elif parent is not None:
            yield SendStatus(parent, self.board.subtree(applied, now))
        self._rounds += 1
        if self._rounds % REPORTS_PER_SUMMARY == 0:
            yield from self._send_down(now)

    def status(self, applied: Offset, now: Seconds) -> StatusReport:
        """Summarise the whole system as far as this node knows."""
        subtree = self.board.subtree(applied, now)
        return {**subtree, **self.board.all_zones(now)}

    def _switch_parent(self, parent: NodeId | None) -> Iterator[SendStatus]:
        """Withdraw this subtree from a former parent by an empty report."""
        former = self._parent
        self._parent = parent
        if former != parent and former in self.sources.open_links:
            yield SendStatus(former, {})

    def _send_as_reader(
        self,
        applied: Offset,
        now: Seconds,
    ) -> Iterator[SendStatus]:
        region = self.board.region(applied, now)
        self.board.replace_summaries(region, now)
        # Other regions too, in case the link of a sibling to them is broken.
        shared = {
            **without_region(self.board.all_zones(now), self._own_region),
            **self.board.subtree(applied, now),
        }
        for peer, member in self.sources.open_links.items():
            if self._is_sibling(peer):
                yield SendStatus(peer, shared)
            elif self._is_remote_reader(peer, member.region):
                yield SendStatus(peer, region)

    def _send_down(self, now: Seconds) -> Iterator[SendStatus]:
        all_zones = self.board.all_zones(now)
        for peer in self.board.current_children(now):
            if peer in self.sources.open_links:
                yield SendStatus(peer, all_zones)

    def _region_of(self, peer: NodeId) -> RegionId:
        known = self.sources.open_links.get(peer)
        known = known or self.placement.directory.members.get(peer)
        return known.region if known else self._own_region

    @property
    def _own_region(self) -> RegionId:
        return self.board.identity.region

    def _can_be_child(self, peer: NodeId) -> bool:
        """Tell whether a peer comes after this node in the relay's order.

        A summary from a former parent also arrives here. Taken for a child's
        report, it would be reported back to that parent, and the two nodes
        would count each other's numbers for ever.
        """
        own = self.board.identity.node
        return (hash_of(own), own) < (hash_of(peer), peer)

    def _is_sibling(self, peer: NodeId) -> bool:
        is_reader = self.placement.is_reader
        return is_reader and self._is_reader_of(peer, self._own_region)

    def _is_remote_reader(self, peer: NodeId, region: RegionId) -> bool:
        if region == self._own_region:
            return False
        return peer in self.sources.wanted_links or self._is_reader_of(
            peer, region
        )

    def _is_reader_of(self, peer: NodeId, region: RegionId) -> bool:
        readers = self.placement.directory.readers(region)
        return any(reader.node == peer for reader in readers)
