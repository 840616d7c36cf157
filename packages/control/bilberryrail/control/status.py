"""Status reports (applied offsets) of subtrees, regions and the system."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

from bilberryrail.control.messages import StatusReport, ZoneStatus
from bilberryrail.control.settings import NodeIdentity, RelaySettings
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    NodeId,
    Offset,
    RegionId,
    Seconds,
)

#: Number of missed reports after which a report is stale. A child that has
#: moved to another parent must not be counted twice.
MISSED_REPORTS: Final = 3


@dataclass(frozen=True, slots=True)
class _Received:
    """A report and the time of its arrival."""

    report: StatusReport
    at: Seconds

    def aged(self, now: Seconds) -> StatusReport:
        """Return the report with the time since its arrival added to ages."""
        waited = now - self.at
        return {
            zone: replace(status, age_s=status.age_s + waited)
            for zone, status in self.report.items()
        }


@dataclass(slots=True)
class StatusBoard:
    """Reports received, and the summaries computed from them.

    Attributes
    ----------
    children
        Reports of subtrees, by child.
    siblings
        Reports of subtrees from the other readers of the region.
    summaries
        Newest summary of each availability zone. A summary is kept when its
        reports stop, so that an unreachable region stays listed.
    """

    settings: RelaySettings
    identity: NodeIdentity
    children: dict[NodeId, _Received] = field(default_factory=dict)
    siblings: dict[NodeId, _Received] = field(default_factory=dict)
    summaries: dict[AvailabilityZoneId, _Received] = field(default_factory=dict)

    def child_reported(
        self,
        peer: NodeId,
        report: StatusReport,
        now: Seconds,
    ) -> None:
        """Store the report of a child."""
        self.children[peer] = _Received(report, now)

    def sibling_reported(
        self,
        peer: NodeId,
        report: StatusReport,
        now: Seconds,
    ) -> None:
        """Store the report of another log reader of the region."""
        self.siblings[peer] = _Received(report, now)

    def update_summaries(self, report: StatusReport, now: Seconds) -> None:
        """Update the summaries for which the report is newer."""
        for zone, status in report.items():
            known = self.summaries.get(zone)
            if known is None or known.aged(now)[zone].age_s >= status.age_s:
                self.summaries[zone] = _Received({zone: status}, now)

    def replace_summaries(self, report: StatusReport, now: Seconds) -> None:
        """Replace summaries by those of this node or of a parent."""
        for zone, status in report.items():
            self.summaries[zone] = _Received({zone: status}, now)

    def remove_peer(self, peer: NodeId) -> None:
        """Remove the reports of a peer."""
        self.children.pop(peer, None)
        self.siblings.pop(peer, None)

    def subtree(self, applied: Offset, now: Seconds) -> StatusReport:
        """Summarise this node and its children."""
        own = {
            self.identity.zone: ZoneStatus(
                region=self.identity.region,
                lowest=applied,
                nodes=1,
                age_s=0,
            ),
        }
        return merge([own, *self._fresh(self.children, now)])

    def region(self, applied: Offset, now: Seconds) -> StatusReport:
        """Summarise the region; called at a log reader."""
        siblings = self._fresh(self.siblings, now)
        return merge([self.subtree(applied, now), *siblings])

    def current_children(self, now: Seconds) -> list[NodeId]:
        """List children whose reports are fresh."""
        return [
            peer
            for peer, received in self.children.items()
            if self._is_fresh(received, now)
        ]

    def all_zones(self, now: Seconds) -> StatusReport:
        """Return the summaries of all availability zones with current ages."""
        listed: dict[AvailabilityZoneId, ZoneStatus] = {}
        for received in self.summaries.values():
            listed.update(received.aged(now))
        return listed

    def _fresh(
        self,
        reports: dict[NodeId, _Received],
        now: Seconds,
    ) -> list[StatusReport]:
        return [
            received.aged(now)
            for received in reports.values()
            if self._is_fresh(received, now)
        ]

    def _is_fresh(self, received: _Received, now: Seconds) -> bool:
        limit = self.settings.status_interval_s * MISSED_REPORTS
        return now - received.at <= limit


def of_region(report: StatusReport, region: RegionId) -> StatusReport:
    """Select the availability zones of a region."""
    return {
        zone: status
        for zone, status in report.items()
        if status.region == region
    }


def without_region(report: StatusReport, region: RegionId) -> StatusReport:
    """Select the availability zones of all regions but one."""
    return {
        zone: status
        for zone, status in report.items()
        if status.region != region
    }


def merge(reports: Iterable[StatusReport]) -> StatusReport:
    """Merge reports about disjoint sets of nodes."""
    merged: dict[AvailabilityZoneId, ZoneStatus] = {}
    for report in reports:
        for zone, status in report.items():
            known = merged.get(zone)
            merged[zone] = _combine(known, status) if known else status
    return merged


def _combine(left: ZoneStatus, right: ZoneStatus) -> ZoneStatus:
    return ZoneStatus(
        region=left.region,
        lowest=min(left.lowest, right.lowest),
        nodes=left.nodes + right.nodes,
        age_s=max(left.age_s, right.age_s),
    )
