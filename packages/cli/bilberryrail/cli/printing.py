"""Text of plans, verdicts and status for a terminal."""

from collections.abc import Iterator

from bilberryrail.cli.messages import Capacity, Plan, Status, Zone

#: Age from which a report counts as not heard; reports come every second
#: and take up to four hops.
NOT_HEARD_AFTER_S = 5.0


def plan_lines(plan: Plan) -> Iterator[str]:
    """Tell what a plan changes, when, and whether capacity suffices."""
    yield f'Plan {plan.record_id}, made from offset {plan.base_offset}'
    yield 'Changes:'
    yield from (f'  {line}' for line in plan.summary or ('nothing',))
    yield 'When:'
    yield f'  new work stops within {plan.new_work_stops_within_s:g} s'
    yield f'  in force everywhere within {plan.in_force_within_s:g} s'
    yield 'Capacity:'
    yield from (f'  {_capacity_line(row)}' for row in plan.capacity)


def status_lines(status: Status) -> Iterator[str]:
    """Tell how far each availability zone has applied the log."""
    yield f'Node {status.node} has applied offset {status.applied}'
    yield f'Log: {status.log}'
    for name, zone in sorted(status.zones.items()):
        yield f'  {zone_line(name, zone)}'
    yield from not_heard_lines(status)


def zone_line(name: str, zone: Zone) -> str:
    """Tell the lowest applied offset of an availability zone."""
    out = ', out of service' if zone.out else ''
    lowest = '-' if zone.lowest is None or not zone.nodes else zone.lowest
    return (
        f'{name} ({zone.region}): lowest applied offset {lowest}, '
        f'{zone.nodes} of {zone.expected} nodes heard from{out}'
    )


def not_heard_lines(status: Status) -> Iterator[str]:
    """Name regions and availability zones that were not heard from."""
    for name, region in sorted(status.regions.items()):
        heard = region.heard_s_ago
        if heard is None:
            yield f'region {name} was never heard from'
        elif heard > NOT_HEARD_AFTER_S:
            yield f'region {name} was last heard from {heard:.0f} s ago'
    for zone_name, zone in sorted(status.zones.items()):
        if not is_heard(zone):
            yield f'availability zone {zone_name} was not heard from'


def is_heard(zone: Zone) -> bool:
    """Tell whether a zone reported lately, or has no nodes to report."""
    if not zone.expected:
        return True
    return bool(zone.nodes) and (zone.age_s or 0) <= NOT_HEARD_AFTER_S


def is_in_force(status: Status, offset: int) -> bool:
    """Tell whether every availability zone has applied an offset.

    Nodes that crashed stay members for hours, so single nodes that were not
    heard from do not count; a zone without any does.
    """
    return all(
        is_heard(zone) and (not zone.nodes or _lowest(zone) >= offset)
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
