"""The status for operators, from the control plane of one node."""

from collections import Counter
from typing import Any

from bilberryrail.control.messages import StatusReport
from bilberryrail.core.ids import NO_OFFSET, AvailabilityZoneId, NodeId, Seconds
from bilberryrail.core.records import AvailabilityZoneConfig, ClusterState


def status_json(node: NodeId, plane: Any, now: Seconds) -> dict[str, Any]:
    """Build the body of ``GET /v1/operator/status``.

    A zone without a status report has ``lowest`` -1, zero ``nodes`` and no
    ``age_s``.
    """
    state: ClusterState = plane.state
    report: StatusReport = plane.status(now)
    expected = Counter(
        announcement.member.zone for announcement in state.members.values()
    )
    return {
        'node': node,
        'applied': state.offset,
        'log': 'up' if plane.log_available else 'down',
        'members': len(state.members),
        'zones': {
            name: _zone(zone, report, expected[name])
            for name, zone in state.zones.items()
        },
        'regions': _regions(state, report),
    }


def _zone(
    zone: AvailabilityZoneConfig,
    report: StatusReport,
    expected: int,
) -> dict[str, Any]:
    name: AvailabilityZoneId = zone.zone
    status = report.get(name)
    return {
        'region': zone.region,
        'lowest': NO_OFFSET if status is None else status.lowest,
        'nodes': 0 if status is None else status.nodes,
        'expected': expected,
        'age_s': None if status is None else status.age_s,
        'out': zone.out,
    }


def _regions(
    state: ClusterState,
    report: StatusReport,
) -> dict[str, dict[str, float | None]]:
    ages: dict[str, float | None] = {
        zone.region: None for zone in state.zones.values()
    }
    for status in report.values():
        known = ages.get(status.region)
        newest = status.age_s if known is None else min(known, status.age_s)
        ages[status.region] = newest
    return {region: {'heard_s_ago': age} for region, age in ages.items()}
