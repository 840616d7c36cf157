"""Exchange of status reports (applied offsets) between nodes."""

from collections.abc import Iterator
from typing import Final

from bilberryrail.control.directory import hash_of
from bilberryrail.control.messages import SendStatus, StatusReport
from bilberryrail.control.placement import Placement
from bilberryrail.control.sources import Sources
from bilberryrail.control.status import StatusBoard, of_region, without_region
from bilberryrail.core.ids import NodeId, Offset, RegionId, Seconds

#: Number of status intervals between two summaries to the children. Summaries
#: are sent less often than reports to the parent because a summary lists all
#: availability zones and goes to eight children.
REPORTS_PER_SUMMARY: Final = 4


class StatusExchange:
    """Sends status reports up the relay tree and summaries down.

    A child reports its subtree to its first parent. Log readers of one region
    send each other reports of their subtrees and of other regions. Log readers
    of different regions exchange the summaries of their regions. Each node
    sends a summary of the whole system to the children that report to it.
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
        """Store a report according to the role of its sender.

        An empty report means that the sender has moved to another parent.
        """
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
            # A child that wrongly acts as a log reader also reports other
            # regions. Counted as part of its subtree, they would keep
            # replacing newer summaries.
            subtree = of_region(report, self._own_region)
            self.board.child_reported(peer, subtree, now)

    def send_reports(
        self, applied: Offset, now: Seconds
    ) -> Iterator[SendStatus]:
        """Send the reports that are due; called once per status interval."""
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
        """Summarise the whole system from the reports that this node has."""
        subtree = self.board.subtree(applied, now)
        return {**subtree, **self.board.all_zones(now)}

    def _switch_parent(self, parent: NodeId | None) -> Iterator[SendStatus]:
        """Withdraw this subtree from the former parent with an empty report."""
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
        # Other regions are included because the link of a sibling to them may
        # be broken.
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
        """Return whether a peer comes after this node in the relay order.

        A former parent may still send a summary. If it were stored as the
        report of a child, it would be reported back to that parent, and the
        two nodes would keep counting each other's subtrees.
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
