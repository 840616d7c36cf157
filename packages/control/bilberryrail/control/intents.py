"""Intents: changes that operators request, decoded from JSON and checked."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bilberryrail.control.errors import IntentError
from bilberryrail.control.json_errors import field_and_reason
from bilberryrail.control.settings import MAX_DURATION_S, NAME
from bilberryrail.core.errors import DECODE_ERRORS
from bilberryrail.core.ids import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    TenantId,
)

_Regions = tuple[Annotated[RegionId, NAME], ...]
_Positive = Annotated[int, msgspec.Meta(ge=1)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]


class LimitsIntent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one backend server; see ``BackendLimits``."""

    slots: _Positive
    connections: _Positive
    cold_slots: _Positive = 1
    warm_up_s: _Seconds = 10.0


class ServiceIntent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and the regions it is served from; see ``ServiceConfig``."""

    service: Annotated[ServiceId, NAME]
    idempotent: bool
    regions: Annotated[_Regions, msgspec.Meta(min_length=1)]
    limits: LimitsIntent
    expected_concurrency: Annotated[int, msgspec.Meta(ge=0)] = 0
    deadline_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] = 1.0


class TenantIntent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant, its share and its home regions; see ``TenantConfig``."""

    tenant: Annotated[TenantId, NAME]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    home_regions: _Regions = ()


class ZoneIntent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone and its region."""

    zone: Annotated[AvailabilityZoneId, NAME]
    region: Annotated[RegionId, NAME]


class Intent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All changes that an operator requests in one plan."""

    zones: tuple[ZoneIntent, ...] = ()
    services: tuple[ServiceIntent, ...] = ()
    tenants: tuple[TenantIntent, ...] = ()
    zones_out: tuple[Annotated[AvailabilityZoneId, NAME], ...] = ()
    zones_in: tuple[Annotated[AvailabilityZoneId, NAME], ...] = ()


def parse_intent(raw: bytes) -> Result[Intent, IntentError]:
    """Decode an intent and check that it does not contradict itself."""
    try:
        intent = msgspec.json.decode(raw, type=Intent)
    except DECODE_ERRORS as error:
        field, reason = field_and_reason(error, 'intent')
        return Err(IntentError(field, reason))
    problem = next(_contradictions(intent), None)
    return Ok(intent) if problem is None else Err(problem)


def _contradictions(intent: Intent) -> Iterator[IntentError]:
    yield from _repeated('zones', (zone.zone for zone in intent.zones))
    yield from _repeated(
        'services',
        (service.service for service in intent.services),
    )
    yield from _repeated(
        'tenants', (tenant.tenant for tenant in intent.tenants)
    )
    yield from _repeated('zones_out', intent.zones_out)
    yield from _repeated('zones_in', intent.zones_in)
    for zone in intent.zones_out:
        if zone in intent.zones_in:
            yield IntentError(
                'zones_out',
                f'availability zone {zone!r} is also in zones_in',
            )
    for index, service in enumerate(intent.services):
        if service.limits.cold_slots > service.limits.slots:
            yield IntentError(
                f'services[{index}].limits.cold_slots',
                f'must be at most slots ({service.limits.slots})',
            )


def _repeated(field: str, names: Iterable[str]) -> Iterator[IntentError]:
    for name, count in Counter(names).items():
        if count > 1:
            yield IntentError(field, f'{name!r} is named {count} times')
