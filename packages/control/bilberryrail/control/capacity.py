"""Capacity of services before and after a configuration change."""

from collections import Counter
from dataclasses import dataclass

from bilberryrail.core.ids import RegionId, ServiceId
from bilberryrail.core.records import ClusterState, Member, TenantConfig


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Concurrency slots of one service before and after a change.

    Attributes
    ----------
    slots_at_once
        Slots right after the change, while backend servers that return to
        service are still cold.
    share
        Expected concurrency divided by ``slots_after``; 0 if there are no slots
        or no expected concurrency.
    sufficient
        Whether ``slots_after`` covers the expected concurrency.
    """

    service: ServiceId
    slots_before: int
    slots_at_once: int
    slots_after: int
    expected_concurrency: int
    share: float
    sufficient: bool


def compare_capacity(
    before: ClusterState,
    after: ClusterState,
) -> tuple[ServiceCapacity, ...]:
    """Compare the slots of every service that exists after the change."""
    slots_before = _slots(before)
    slots_after = _slots(after)
    at_once = _slots_at_once(before, after)
    return tuple(
        _service_capacity(
            after,
            service,
            slots_before[service],
            at_once[service],
            slots_after[service],
        )
        for service in sorted(after.services)
    )


def lost_home_regions(
    before: ClusterState,
    after: ClusterState,
) -> list[str]:
    """Describe tenants whose home regions lose all slots of a service.

    Calls of such a tenant may only run in its home regions, so that capacity
    in other regions is of no use to it.
    """
    slots_before = _slots_by_region(before)
    slots_after = _slots_by_region(after)
    return [
        f'tenant {tenant.tenant} can no longer call {service}: no slots are '
        f'left in its home regions {", ".join(tenant.home_regions)}'
        for tenant in after.tenants.values()
        for service in sorted(after.services)
        if _home_slots(slots_before, tenant, service)
        and not _home_slots(slots_after, tenant, service)
    ]


def _service_capacity(
    state: ClusterState,
    service: ServiceId,
    slots_before: int,
    slots_at_once: int,
    slots_after: int,
) -> ServiceCapacity:
    expected = state.services[service].expected_concurrency
    return ServiceCapacity(
        service=service,
        slots_before=slots_before,
        slots_at_once=slots_at_once,
        slots_after=slots_after,
        expected_concurrency=expected,
        share=round(expected / slots_after, 3) if slots_after else 0,
        sufficient=expected <= slots_after,
    )


def _serving(state: ClusterState) -> list[Member]:
    """List members that may receive new calls."""
    return [
        announcement.member
        for announcement in state.members.values()
        if _can_serve(state, announcement.member)
    ]


def _can_serve(state: ClusterState, member: Member) -> bool:
    service = state.services.get(member.service)
    if service is None or member.region not in service.regions:
        return False
    zone = state.zones.get(member.zone)
    return zone is None or not zone.out


def _slots(state: ClusterState) -> Counter[ServiceId]:
    slots: Counter[ServiceId] = Counter()
    for member in _serving(state):
        slots[member.service] += state.services[member.service].limits.slots
    return slots


def _slots_at_once(
    before: ClusterState,
    after: ClusterState,
) -> Counter[ServiceId]:
    warm = {member.node for member in _serving(before)}
    slots: Counter[ServiceId] = Counter()
    for member in _serving(after):
        limits = after.services[member.service].limits
        is_warm = member.node in warm
        slots[member.service] += limits.slots if is_warm else limits.cold_slots
    return slots


def _slots_by_region(
    state: ClusterState,
) -> Counter[tuple[ServiceId, RegionId]]:
    slots: Counter[tuple[ServiceId, RegionId]] = Counter()
    for member in _serving(state):
        limits = state.services[member.service].limits
        slots[member.service, member.region] += limits.slots
    return slots


def _home_slots(
    slots: Counter[tuple[ServiceId, RegionId]],
    tenant: TenantConfig,
    service: ServiceId,
) -> int:
    return sum(slots[service, region] for region in tenant.home_regions)
