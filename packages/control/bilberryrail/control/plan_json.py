"""JSON encoding of plans, which operators review, store and confirm."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from bilberryrail.control.capacity import ServiceCapacity
from bilberryrail.control.errors import PlanError
from bilberryrail.control.json_errors import field_and_reason
from bilberryrail.control.planning import (
    IN_FORCE_WITHIN_S,
    NEW_WORK_STOPS_WITHIN_S,
    Plan,
)
from bilberryrail.core.errors import DECODE_ERRORS
from bilberryrail.core.ids import Offset, RecordId
from bilberryrail.core.records import (
    AvailabilityZoneConfig,
    AvailabilityZoneEdit,
    Edit,
    ServiceConfig,
    ServiceEdit,
    TenantConfig,
    TenantEdit,
)


class _EditJson(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One edit, of which exactly one field is set."""

    service: ServiceConfig | None = None
    tenant: TenantConfig | None = None
    availability_zone: AvailabilityZoneConfig | None = None


class _PlanJson(msgspec.Struct, forbid_unknown_fields=True):
    """A plan whose edits are encoded for JSON."""

    record_id: RecordId
    base_offset: Offset
    edits: list[_EditJson]
    summary: list[str] = []
    capacity: list[ServiceCapacity] = []
    new_work_stops_within_s: float = NEW_WORK_STOPS_WITHIN_S
    in_force_within_s: float = IN_FORCE_WITHIN_S


def plan_to_json(made: Plan) -> bytes:
    """Encode a plan as JSON."""
    return msgspec.json.encode(
        _PlanJson(
            record_id=made.record_id,
            base_offset=made.base_offset,
            edits=[_edit_to_json(edit) for edit in made.edits],
            summary=list(made.summary),
            capacity=list(made.capacity),
            new_work_stops_within_s=made.new_work_stops_within_s,
            in_force_within_s=made.in_force_within_s,
        ),
    )


def plan_from_json(raw: bytes) -> Result[Plan, PlanError]:
    """Decode a plan that an operator has confirmed."""
    try:
        read = msgspec.json.decode(raw, type=_PlanJson)
    except DECODE_ERRORS as error:
        return Err(PlanError(*field_and_reason(error, 'plan')))
    edits: list[Edit] = []
    for index, encoded in enumerate(read.edits):
        edit = _edit_from_json(encoded)
        if edit is None:
            return Err(
                PlanError(
                    f'edits[{index}]',
                    'must have one of service, tenant, availability_zone',
                ),
            )
        edits.append(edit)
    if not edits:
        return Err(PlanError('edits', 'must not be empty'))
    if not read.record_id:
        return Err(PlanError('record_id', 'must not be empty'))
    return Ok(_plan(read, edits))


def _plan(read: _PlanJson, edits: list[Edit]) -> Plan:
    return Plan(
        record_id=read.record_id,
        base_offset=read.base_offset,
        edits=tuple(edits),
        summary=tuple(read.summary),
        capacity=tuple(read.capacity),
        new_work_stops_within_s=read.new_work_stops_within_s,
        in_force_within_s=read.in_force_within_s,
    )


def _edit_to_json(edit: Edit) -> _EditJson:
    match edit:
        case ServiceEdit(service=service):
            return _EditJson(service=service)
        case TenantEdit(tenant=tenant):
            return _EditJson(tenant=tenant)
        case AvailabilityZoneEdit(zone=zone):
            return _EditJson(availability_zone=zone)


def _edit_from_json(encoded: _EditJson) -> Edit | None:
    fields: list[Any] = [
        encoded.service,
        encoded.tenant,
        encoded.availability_zone,
    ]
    if sum(field is not None for field in fields) != 1:
        return None
    if encoded.service is not None:
        return ServiceEdit(encoded.service)
    if encoded.tenant is not None:
        return TenantEdit(encoded.tenant)
    if encoded.availability_zone is not None:
        return AvailabilityZoneEdit(encoded.availability_zone)
    return None
