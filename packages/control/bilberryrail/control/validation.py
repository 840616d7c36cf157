"""Rules that every edit must satisfy, checked in planning and in replay.

Replay checks them again because a record in the log may come from another
version or from outside the system;
all nodes must reject it for the same reason.
"""

from collections.abc import Mapping

from bilberryrail.core.ids import AvailabilityZoneId, Scope
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    BackendLimits,
    Edit,
    ServiceConfig,
    ServiceEdit,
    TenantConfig,
    TenantEdit,
)

#: All edits of availability zones share one scope, because taking two zones out
#: at the same time may leave less capacity than each plan showed.
ZONES_SCOPE = Scope('availability-zones')


def scope_of(edit: Edit) -> Scope:
    """Return the scope that an edit modifies; edits of one scope conflict."""
    match edit:
        case ServiceEdit(service=service):
            return Scope(f'service/{service.service}')
        case TenantEdit(tenant=tenant):
            return Scope(f'tenant/{tenant.tenant}')
        case AvailabilityZoneEdit():
            return ZONES_SCOPE


def edit_problem(
    edit: Edit,
    zones: Mapping[AvailabilityZoneId, AvailabilityZoneConfig],
) -> str | None:
    """Describe what is wrong with an edit; return None if it is valid.

    Parameters
    ----------
    edit
        Edit to check.
    zones
        Availability zones that exist before the edit.
    """
    match edit:
        case ServiceEdit(service=service):
            return _service_problem(service)
        case TenantEdit(tenant=tenant):
            return _tenant_problem(tenant)
        case AvailabilityZoneEdit(zone=zone):
            return _zone_problem(zone, zones.get(zone.zone))


def _service_problem(service: ServiceConfig) -> str | None:
    if not service.regions:
        return f'service {service.service!r} names no region'
    if service.deadline_s <= 0:
        return f'service {service.service!r}: deadline_s must be above 0'
    if service.expected_concurrency < 0:
        return (
            f'service {service.service!r}: expected_concurrency must not be '
            'negative'
        )
    problem = _limits_problem(service.limits)
    if problem is not None:
        return f'service {service.service!r}: {problem}'
    return None


def _limits_problem(limits: BackendLimits) -> str | None:
    if limits.slots < 1:
        return 'slots must be at least 1'
    if limits.connections < 1:
        return 'connections must be at least 1'
    if not 1 <= limits.cold_slots <= limits.slots:
        return f'cold_slots must be from 1 to slots ({limits.slots})'
    if limits.warm_up_s < 0:
        return 'warm_up_s must not be negative'
    return None


def _tenant_problem(tenant: TenantConfig) -> str | None:
    if tenant.weight <= 0:
        return f'tenant {tenant.tenant!r}: weight must be above 0'
    return None


def _zone_problem(
    zone: AvailabilityZoneConfig,
    known: AvailabilityZoneConfig | None,
) -> str | None:
    if known is not None and known.region != zone.region:
        return (
            f'availability zone {zone.zone!r} is in region {known.region!r} '
            f'and cannot move to {zone.region!r}'
        )
    return None
