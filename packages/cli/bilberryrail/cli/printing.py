"""Text of plans and status for the terminal."""

from collections.abc import Iterator

from bilberryrail.cli.messages import Capacity, Plan, Status, Zone

#: Age up to which a report is fresh, in seconds: reports are sent every second
#: and pass up to four hops.
MAX_REPORT_AGE_S = 5.0


def plan_lines(plan: Plan) -> Iterator[str]:
    """Yield what a plan changes, when, and if capacity is sufficient."""
    yield f'Plan {plan.record_id}, made from offset {plan.base_offset}'
    yield 'Changes:'
    yield from (f'  {line}' for line in plan.summary or ('nothing',))
    yield 'When:'
    yield f'  new work stops within {plan.new_work_stops_within_s:g} s'
    yield f'  in force everywhere within {plan.in_force_within_s:g} s'
    yield 'Capacity:'
    yield from (f'  {_capacity_line(row)}' for row in plan.capacity)


def status_lines(status: Status) -> Iterator[str]:
    """Yield up to which offset each availability zone has applied the log."""
    yield f'Node {status.node} has applied offset {status.applied}'
    yield f'Log: {status.log}'
    for name, zone in sorted(status.zones.items()):
        yield f'  {zone_line(name, zone)}'
    yield from missing_report_lines(status)


def zone_line(name: str, zone: Zone) -> str:
    """Return the lowest applied offset of an availability zone as text."""
    out = ', out of service' if zone.out else ''
    lowest = '-' if zone.lowest is None or not zone.nodes else zone.lowest
    return (
        f'{name} ({zone.region}): lowest applied offset {lowest}, '
        f'{zone.nodes} of {zone.expected} nodes heard from{out}'
    )


def missing_report_lines(status: Status) -> Iterator[str]:
    """Yield the regions and availability zones without a fresh report."""
    for name, region in sorted(status.regions.items()):
        report_age_s = region.heard_s_ago
        if report_age_s is None:
            yield f'region {name} was never heard from'
        elif report_age_s > MAX_REPORT_AGE_S:
            yield f'region {name} was last heard from {report_age_s:.0f} s ago'
    for zone_name, zone in sorted(status.zones.items()):
        if not is_reporting(zone):
            yield f'availability zone {zone_name} was not heard from'


def is_reporting(zone: Zone) -> bool:
    """Return whether a zone has a fresh report or no nodes to report."""
    if not zone.expected:
        return True
    return bool(zone.nodes) and (zone.age_s or 0) <= MAX_REPORT_AGE_S


def is_in_force(status: Status, offset: int) -> bool:
    """Return whether every availability zone has applied an offset.

    Only nodes that report must have applied it, because a node that crashed
    stays a member for hours. A zone that has members but no fresh report has
    not applied it.
    """
    return all(
        is_reporting(zone) and (not zone.nodes or _lowest(zone) >= offset)
        for zone in status.zones.values()
    )


def _lowest(zone: Zone) -> int:
    return -1 if zone.lowest is None else zone.lowest


def _capacity_line(row: Capacity) -> str:
    verdict = 'sufficient' if row.sufficient else 'NOT SUFFICIENT'
    share = '' if row.share is None else f' ({row.share:.0%} in use)'
    return (
        f'{row.service}: {row.slots_before} -> {row.slots_after} slots, '
        f'expected concurrency {row.expected_concurrency}{share}: {verdict}'
    )
