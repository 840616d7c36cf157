"""Plans: effects of an intent, their timing and the remaining capacity."""

from collections.abc import Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from bilberryrail.control.capacity import (
    ServiceCapacity,
    compare_capacity,
    lost_home_regions,
)
from bilberryrail.control.errors import PlanError
from bilberryrail.control.intents import Intent, ServiceIntent
from bilberryrail.control.replay import replay
from bilberryrail.control.validation import edit_problem
from bilberryrail.core.ids import AvailabilityZoneId, Offset, RecordId
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    BackendLimits,
    Change,
    ClusterState,
    Edit,
    LogEntry,
    ServiceConfig,
    ServiceEdit,
    TenantConfig,
    TenantEdit,
)

#: Time within which a zone that is taken out receives no new calls, in seconds;
#: the brief demands "a few seconds".
NEW_WORK_STOPS_WITHIN_S = 3.0
#: Time within which a change is in force on all nodes, in seconds; follows from
#: the largest system designed for.
IN_FORCE_WITHIN_S = 12.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A change that awaits confirmation by an operator.

    Attributes
    ----------
    record_id
        Identifier of the change. Confirming twice appends two records with the
        same identifier, of which replay drops the second.
    base_offset
        Offset of the state the plan was made from.
    summary
        What will change and when, with one statement per line.
    capacity
        Capacity of each service before and after the change.
    """

    record_id: RecordId
    base_offset: Offset
    edits: tuple[Edit, ...]
    summary: tuple[str, ...]
    capacity: tuple[ServiceCapacity, ...]
    new_work_stops_within_s: float = NEW_WORK_STOPS_WITHIN_S
    in_force_within_s: float = IN_FORCE_WITHIN_S


def plan(
    state: ClusterState,
    intent: Intent,
    record_id: RecordId,
) -> Result[Plan, PlanError]:
    """Compute the changes that an intent makes to a state.

    Returns an error if the intent names something that does not exist, violates
    a rule for edits, or changes nothing.
    """
    problem = next(_unknown_names(state, intent), None)
    if problem is not None:
        return Err(problem)
    edits = tuple(_effective_edits(state, intent))
    if not edits:
        return Err(PlanError('intent', 'the intent changes nothing'))
    reasons = (edit_problem(edit, state.zones) for edit in edits)
    reason = next((found for found in reasons if found is not None), None)
    if reason is not None:
        return Err(PlanError('intent', reason))
    after = _state_after(state, edits)
    summary = [_describe(state, edit) for edit in edits]
    summary += lost_home_regions(state, after)
    return Ok(
        Plan(
            record_id=record_id,
            base_offset=state.offset,
            edits=edits,
            summary=tuple(summary),
            capacity=compare_capacity(state, after),
        ),
    )


def change_of(confirmed: Plan, author: str) -> Change:
    """Create the record to append for a confirmed plan."""
    return Change(
        record_id=confirmed.record_id,
        base_offset=confirmed.base_offset,
        author=author,
        edits=confirmed.edits,
    )


def _unknown_names(state: ClusterState, intent: Intent) -> Iterator[PlanError]:
    zones = {**state.zones, **{zone.zone: zone for zone in intent.zones}}
    regions = {zone.region for zone in zones.values()}
    for field in ('zones_out', 'zones_in'):
        for zone in getattr(intent, field):
            if zone not in zones:
                yield PlanError(
                    field,
                    f'availability zone {zone!r} does not exist; '
                    f'known: {sorted(zones)}',
                )
    named = [
        (f'services[{index}].regions', service.regions)
        for index, service in enumerate(intent.services)
    ]
    named += [
        (f'tenants[{index}].home_regions', tenant.home_regions)
        for index, tenant in enumerate(intent.tenants)
    ]
    for field, wanted in named:
        for region in wanted:
            if region not in regions:
                yield PlanError(
                    field,
                    f'region {region!r} has no availability zone; '
                    f'known: {sorted(regions)}',
                )


def _effective_edits(state: ClusterState, intent: Intent) -> Iterator[Edit]:
    """Yield only the edits that change the state."""
    yield from _zone_edits(state, intent)
    for service_intent in intent.services:
        service = _service_config(service_intent)
        if state.services.get(service.service) != service:
            yield ServiceEdit(service)
    for tenant_intent in intent.tenants:
        tenant = TenantConfig(
            tenant_intent.tenant,
            tenant_intent.weight,
            tenant_intent.home_regions,
        )
        if state.tenants.get(tenant.tenant) != tenant:
            yield TenantEdit(tenant)


def _zone_edits(
    state: ClusterState,
    intent: Intent,
) -> Iterator[AvailabilityZoneEdit]:
    regions = {zone.zone: zone.region for zone in state.zones.values()}
    regions.update({zone.zone: zone.region for zone in intent.zones})
    named = dict.fromkeys(
        [zone.zone for zone in intent.zones]
        + list(intent.zones_out)
        + list(intent.zones_in),
    )
    for zone in named:
        wanted = AvailabilityZoneConfig(
            zone=zone,
            region=regions[zone],
            out=_is_out(state, intent, zone),
        )
        if state.zones.get(zone) != wanted:
            yield AvailabilityZoneEdit(wanted)


def _is_out(
    state: ClusterState,
    intent: Intent,
    zone: AvailabilityZoneId,
) -> bool:
    if zone in intent.zones_out:
        return True
    if zone in intent.zones_in:
        return False
    known = state.zones.get(zone)
    return known is not None and known.out


def _service_config(service: ServiceIntent) -> ServiceConfig:
    return ServiceConfig(
        service=service.service,
        idempotent=service.idempotent,
        regions=service.regions,
        limits=BackendLimits(
            slots=service.limits.slots,
            connections=service.limits.connections,
            cold_slots=service.limits.cold_slots,
            warm_up_s=service.limits.warm_up_s,
        ),
        expected_concurrency=service.expected_concurrency,
        deadline_s=service.deadline_s,
    )


def _state_after(
    state: ClusterState,
    edits: tuple[Edit, ...],
) -> ClusterState:
    trial = Change(RecordId('trial'), state.offset, '', edits)
    entry = LogEntry(Offset(state.offset + 1), trial)
    after, _ = replay(state, [entry])
    return after


def _describe(state: ClusterState, edit: Edit) -> str:
    match edit:
        case ServiceEdit(service=service):
            verb = 'change' if service.service in state.services else 'add'
            return (
                f'{verb} service {service.service}: regions '
                f'{", ".join(service.regions)}; {service.limits.slots} slots '
                f'({service.limits.cold_slots} when cold) and '
                f'{service.limits.connections} connections per backend server'
            )
        case TenantEdit(tenant=tenant):
            verb = 'change' if tenant.tenant in state.tenants else 'add'
            homes = ', '.join(tenant.home_regions) or 'any region'
            return f'{verb} tenant {tenant.tenant}: weight {tenant.weight}, {homes}'
        case AvailabilityZoneEdit(zone=zone):
            return _describe_zone(state, zone)


def _describe_zone(state: ClusterState, zone: AvailabilityZoneConfig) -> str:
    members = sum(
        announcement.member.zone == zone.zone
        for announcement in state.members.values()
    )
    if zone.out:
        return (
            f'take out availability zone {zone.zone}: new work to its '
            f'{members} backend servers stops within '
            f'{NEW_WORK_STOPS_WITHIN_S:g} s, calls in flight finish'
        )
    if zone.zone in state.zones:
        return (
            f'bring back availability zone {zone.zone}: its {members} backend '
            'servers start on the cold-start ramp'
        )
    return f'add availability zone {zone.zone} in region {zone.region}'
